#pragma once

#include "daemon.capnp.h"
#include "toucan/base/worker_pool.h"
#include "toucan/rpc/daemon_handlers.h"

#include <kj/async.h>

#include <cstddef>

namespace toucan::rpc {

/// Cap'n Proto service of one connection. Decodes calls, runs their handlers on the worker pool and
/// sends the replies. Used on the thread of the event loop. Cap'n Proto owns it by its concrete
/// type.
class daemon_service final // NOLINT(cppcoreguidelines-virtual-class-destructor)
    : public schema::Daemon::Server {
public:
    /// State of the calls of one server, shared by all its connections.
    struct call_state {
        std::size_t in_progress = 0;
        /// Set when the server stops: new calls fail.
        bool rejecting = false;
    };

    daemon_service(const daemon_handlers& handlers, worker_pool& workers, call_state& calls);

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
    call_state& calls_;
};

} // namespace toucan::rpc
