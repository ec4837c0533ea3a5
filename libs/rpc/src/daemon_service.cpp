#include "daemon_service.h"

#include "credit_reply_message.h"
#include "credit_request_message.h"
#include "fetch_reply_message.h"
#include "fetch_request_message.h"
#include "forward_reply_message.h"
#include "forward_request_message.h"
#include "intent_reply_message.h"
#include "intent_request_message.h"
#include "message_limit.h"
#include "sync_reply_message.h"
#include "sync_request_message.h"

#include <kj/debug.h>

#include <exception>
#include <memory>
#include <utility>

namespace toucan::rpc {

daemon_service::daemon_service(const daemon_handlers& handlers, worker_pool& workers,
                               call_state& calls)
    : handlers_(handlers), workers_(workers), calls_(calls)
{
}

template <typename Reply, typename Context, typename Handler>
kj::Promise<void> daemon_service::run(Context context, const Handler& handler)
{
    if (calls_.rejecting) {
        return KJ_EXCEPTION(OVERLOADED, "the daemon is stopping");
    }
    if (!handler) {
        return KJ_EXCEPTION(UNIMPLEMENTED, "the daemon has no handler for this call");
    }
    auto request = decode(context.getParams());
    context.releaseParams();

    auto pair = kj::newPromiseAndCrossThreadFulfiller<Reply>();
    // Shared, because std::function requires a copyable task and the fulfiller is move-only.
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Reply>>>(kj::mv(pair.fulfiller));
    const bool queued = workers_.submit([&handler, fulfiller, request = std::move(request)] {
        try {
            (*fulfiller)->fulfill(handler(request));
        }
        catch (const std::exception& ex) {
            (*fulfiller)->reject(KJ_EXCEPTION(FAILED, "the handler failed", ex.what()));
        }
    });
    if (!queued) {
        return KJ_EXCEPTION(OVERLOADED, "all workers are busy and their queue is full");
    }
    ++calls_.in_progress;
    return pair.promise
        .then([context](Reply&& reply) mutable {
            encode(reply, context.getResults());
            if (context.getResults().totalSize().wordCount * sizeof(capnp::word) >
                max_message_bytes) {
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "the reply is too large"));
            }
        })
        .attach(kj::defer([&calls = calls_] { --calls.in_progress; }));
}

kj::Promise<void> daemon_service::forward(ForwardContext context)
{
    return run<forward_reply>(context, handlers_.forward);
}

kj::Promise<void> daemon_service::sync(SyncContext context)
{
    return run<sync_reply>(context, handlers_.sync);
}

kj::Promise<void> daemon_service::fetch(FetchContext context)
{
    return run<fetch_reply>(context, handlers_.fetch);
}

kj::Promise<void> daemon_service::recordIntent(RecordIntentContext context)
{
    return run<intent_reply>(context, handlers_.record_intent);
}

kj::Promise<void> daemon_service::requestCredit(RequestCreditContext context)
{
    return run<credit_reply>(context, handlers_.request_credit);
}

} // namespace toucan::rpc
