#include "toucan/rpc/rpc_client.h"

#include "client_loop.h"
#include "credit_reply_message.h"
#include "credit_request_message.h"
#include "fetch_reply_message.h"
#include "fetch_request_message.h"
#include "forward_reply_message.h"
#include "forward_request_message.h"
#include "intent_reply_message.h"
#include "intent_request_message.h"
#include "sync_reply_message.h"
#include "sync_request_message.h"

#include <kj/async-io.h>

#include <future>
#include <thread>

namespace toucan::rpc {

struct rpc_client::state {
    kj::Own<const kj::Executor> executor;
    kj::Own<kj::PromiseFulfiller<void>> stop_requested;
    client_loop* loop = nullptr;
    std::thread thread;
    std::function<void(vm_address peer, response_fault fault)> broken_reply;

    void run(const rpc_client_options& options, std::promise<void>& started)
    {
        auto io = kj::setupAsyncIo();
        client_loop connections(*io.provider, options);
        loop = &connections;
        executor = kj::getCurrentThreadExecutor().addRef();
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        stop_requested = kj::mv(stop.fulfiller);
        started.set_value();
        stop.promise.wait(io.waitScope);
    }

    template <typename Reply, typename Build>
    rpc_result<Reply> call(vm_address peer, duration timeout, const Build& build)
    {
        return executor->executeSync([&] { return loop->call<Reply>(peer, timeout, build); });
    }
};

rpc_client::rpc_client(const rpc_client_options& options) : state_(std::make_unique<state>())
{
    state_->broken_reply = options.broken_reply;
    std::promise<void> started;
    state_->thread = std::thread([this, options, &started] { state_->run(options, started); });
    started.get_future().wait();
}

rpc_client::~rpc_client()
{
    state_->stop_requested->fulfill();
    state_->thread.join();
}

rpc_result<forward_reply> rpc_client::forward(vm_address peer, const forward_request& request,
                                              duration timeout)
{
    auto result = state_->call<forward_reply>(peer, timeout, [&](schema::Daemon::Client& daemon) {
        auto message = daemon.forwardRequest();
        encode(request, static_cast<schema::ForwardRequest::Builder&>(message));
        return message;
    });
    const auto* reply = std::get_if<forward_reply>(&result);
    if (reply != nullptr && reply->fault && state_->broken_reply) {
        state_->broken_reply(peer, *reply->fault);
    }
    return result;
}

rpc_result<sync_reply> rpc_client::sync(vm_address peer, const sync_request& request,
                                        duration timeout)
{
    return state_->call<sync_reply>(peer, timeout, [&](schema::Daemon::Client& daemon) {
        auto message = daemon.syncRequest();
        encode(request, static_cast<schema::PackedSyncRequest::Builder&>(message));
        return message;
    });
}

rpc_result<fetch_reply> rpc_client::fetch(vm_address peer, const fetch_request& request,
                                          duration timeout)
{
    return state_->call<fetch_reply>(peer, timeout, [&](schema::Daemon::Client& daemon) {
        auto message = daemon.fetchRequest();
        encode(request, static_cast<schema::FetchRequest::Builder&>(message));
        return message;
    });
}

rpc_result<intent_reply> rpc_client::record_intent(vm_address peer, const intent_request& request,
                                                   duration timeout)
{
    return state_->call<intent_reply>(peer, timeout, [&](schema::Daemon::Client& daemon) {
        auto message = daemon.recordIntentRequest();
        encode(request, static_cast<schema::IntentRequest::Builder&>(message));
        return message;
    });
}

rpc_result<credit_reply> rpc_client::request_credit(vm_address peer, const credit_request& request,
                                                    duration timeout)
{
    return state_->call<credit_reply>(peer, timeout, [&](schema::Daemon::Client& daemon) {
        auto message = daemon.requestCreditRequest();
        encode(request, static_cast<schema::CreditRequest::Builder&>(message));
        return message;
    });
}

std::size_t rpc_client::open_connections() const
{
    return state_->executor->executeSync([this] { return state_->loop->open_connections(); });
}

} // namespace toucan::rpc
