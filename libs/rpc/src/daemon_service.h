#pragma once

#include "daemon.capnp.h"
#include "toucan/base/worker_pool.h"
#include "toucan/rpc/daemon_handlers.h"

#include <kj/async.h>

#include <cstddef>

namespace toucan::rpc {

/// Takes calls off the wire, runs each on the worker pool and sends its reply. Lives on the thread
/// of the event loop. Owned by Cap'n Proto, which keeps its real type.
class daemon_service final // NOLINT(cppcoreguidelines-virtual-class-destructor)
    : public schema::Daemon::Server {
public:
    /// Calls under way, shared by all connections of one server.
    struct call_count {
        std::size_t under_way = 0;
        bool refusing = false;
    };

    daemon_service(const daemon_handlers& handlers, worker_pool& workers, call_count& calls);

protected:
    kj::Promise<void> forward(ForwardContext context) override;
    kj::Promise<void> sync(SyncContext context) override;
    kj::Promise<void> fetch(FetchContext context) override;
    kj::Promise<void> recordIntent(RecordIntentContext context) override;
    kj::Promise<void> requestCredit(RequestCreditContext context) override;

private:
    template <typename Reply, typename Context, typename Handler>
    kj::Promise<void> run(Context context, const Handler& handler);

    const daemon_handlers& handlers_;
    worker_pool& workers_;
    call_count& calls_;
};

} // namespace toucan::rpc
