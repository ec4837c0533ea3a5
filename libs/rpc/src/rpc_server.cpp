#include "toucan/rpc/rpc_server.h"

#include "daemon_service.h"
#include "message_limit.h"
#include "socket_options.h"
#include "task_errors.h"
#include "toucan/base/last_reason.h"
#include "toucan/base/log.h"
#include "toucan/base/worker_pool.h"

#include <capnp/rpc-twoparty.h>
#include <fmt/format.h>
#include <kj/async-io.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <future>
#include <list>
#include <string>
#include <thread>
#include <utility>

namespace toucan::rpc {

namespace {

/// Interval at which a stopping server checks for calls in progress and unsent replies.
constexpr auto stop_poll_interval = 2 * kj::MILLISECONDS;
/// Maximum number of intervals that a stop waits for unsent replies (2 s in total). A peer that
/// does not read its replies would otherwise block the stop.
constexpr int max_flush_polls = 1000;
/// Delay after a failed accept, for example when no file descriptors are left.
constexpr auto accept_retry_delay = 10 * kj::MILLISECONDS;

/// One accepted connection. The order of the members matters: each refers to those before it.
struct accepted_connection {
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;

    accepted_connection(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client service)
        : stream(kj::mv(accepted)),
          network(*stream, capnp::rpc::twoparty::Side::SERVER, reader_options()),
          system(capnp::makeRpcServer(network, kj::mv(service)))
    {
    }
};

} // namespace

struct rpc_server::state {
    daemon_handlers handlers;
    std::size_t worker_threads = 1;
    std::size_t max_queued = 0;
    vm_address bound;
    kj::Own<kj::PromiseFulfiller<void>> stop_requested;
    std::thread thread;

    /// Body of the event loop thread. Sets `started` to an empty text when the server accepts
    /// calls, or to the reason why it cannot listen.
    void run(vm_address listen, std::promise<std::string>& started);

private:
    kj::Own<kj::ConnectionReceiver> bind(kj::AsyncIoContext& io, vm_address listen);
    kj::Promise<void> accept_all(kj::ConnectionReceiver& receiver, kj::Timer& timer);
    void accept(kj::Own<kj::AsyncIoStream> stream);
    void drain(kj::AsyncIoContext& io);

    std::unique_ptr<worker_pool> workers_;
    daemon_service::call_state calls_;
    std::list<accepted_connection> connections_;
    task_errors errors_;
    std::unique_ptr<kj::TaskSet> tasks_;
};

kj::Own<kj::ConnectionReceiver> rpc_server::state::bind(kj::AsyncIoContext& io, vm_address listen)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(listen.port());
    address.sin_addr.s_addr = htonl(listen.ip());
    auto receiver = io.provider->getNetwork().getSockaddr(&address, sizeof(address))->listen();
    bound = listen.with_port(static_cast<std::uint16_t>(receiver->getPort()));
    return receiver;
}

void rpc_server::state::accept(kj::Own<kj::AsyncIoStream> stream)
{
    set_no_delay(*stream);
    connections_.emplace_back(kj::mv(stream),
                              kj::heap<daemon_service>(handlers, *workers_, calls_));
    const auto it = std::prev(connections_.end());
    tasks_->add(it->network.onDisconnect().then([this, it] {
        // Deferred, because this runs within a continuation of the connection.
        tasks_->add(kj::evalLater([this, it] { connections_.erase(it); }));
    }));
}

kj::Promise<void> rpc_server::state::accept_all(kj::ConnectionReceiver& receiver, kj::Timer& timer)
{
    return receiver.accept()
        .then([this](kj::Own<kj::AsyncIoStream> stream) { accept(kj::mv(stream)); })
        .catch_([&timer](kj::Exception&& ex) -> kj::Promise<void> {
            log(log_part::rpc)
                .warn("Accepting an RPC connection failed: {}.", ex.getDescription().cStr());
            return timer.afterDelay(accept_retry_delay);
        })
        .then([this, &receiver, &timer] { return accept_all(receiver, timer); });
}

void rpc_server::state::drain(kj::AsyncIoContext& io)
{
    auto& timer = io.provider->getTimer();
    calls_.rejecting = true;
    do {
        timer.afterDelay(stop_poll_interval).wait(io.waitScope);
    } while (calls_.in_progress > 0);
    const auto all_flushed = [this] {
        return std::all_of(connections_.begin(), connections_.end(),
                           [](auto& it) { return it.network.getCurrentQueueCount() == 0; });
    };
    for (int it = 0; it < max_flush_polls && !all_flushed(); ++it) {
        timer.afterDelay(stop_poll_interval).wait(io.waitScope);
    }
}

void rpc_server::state::run(vm_address listen, std::promise<std::string>& started)
{
    auto io = kj::setupAsyncIo();
    kj::Own<kj::ConnectionReceiver> receiver;
    try {
        receiver = bind(io, listen);
    }
    catch (const kj::Exception& ex) {
        started.set_value(
            fmt::format("cannot listen on {}: {}", listen.to_string(), ex.getDescription().cStr()));
        return;
    }
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    stop_requested = kj::mv(stop.fulfiller);
    workers_ = std::make_unique<worker_pool>(worker_threads, max_queued);
    tasks_ = std::make_unique<kj::TaskSet>(errors_);
    {
        const auto accepting =
            accept_all(*receiver, io.provider->getTimer()).eagerlyEvaluate(nullptr);
        started.set_value({});
        stop.promise.wait(io.waitScope);
    }
    receiver = nullptr;
    drain(io);
    tasks_.reset();
    connections_.clear();
    // Waits for handlers that still run for calls cancelled by their clients.
    workers_.reset();
}

std::unique_ptr<rpc_server> rpc_server::start(vm_address listen, daemon_handlers handlers,
                                              std::size_t workers, std::size_t max_queued)
{
    auto new_state = std::make_unique<state>();
    new_state->handlers = std::move(handlers);
    new_state->worker_threads = workers;
    new_state->max_queued = max_queued;
    std::promise<std::string> started;
    new_state->thread =
        std::thread([it = new_state.get(), listen, &started] { it->run(listen, started); });
    const auto failure = started.get_future().get();
    if (!failure.empty()) {
        new_state->thread.join();
        fail(failure);
        return nullptr;
    }
    return std::unique_ptr<rpc_server>(new rpc_server(std::move(new_state)));
}

rpc_server::rpc_server(std::unique_ptr<state> started) : state_(std::move(started)) {}

rpc_server::~rpc_server()
{
    stop();
}

vm_address rpc_server::address() const
{
    return state_->bound;
}

void rpc_server::stop()
{
    if (state_->thread.joinable()) {
        state_->stop_requested->fulfill();
        state_->thread.join();
    }
}

} // namespace toucan::rpc
