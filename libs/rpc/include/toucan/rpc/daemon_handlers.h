#pragma once

#include "toucan/rpc/credit_reply.h"
#include "toucan/rpc/credit_request.h"
#include "toucan/rpc/fetch_reply.h"
#include "toucan/rpc/fetch_request.h"
#include "toucan/rpc/forward_reply.h"
#include "toucan/rpc/forward_request.h"
#include "toucan/rpc/intent_reply.h"
#include "toucan/rpc/intent_request.h"
#include "toucan/rpc/sync_reply.h"
#include "toucan/rpc/sync_request.h"

#include <functional>

namespace toucan::rpc {

/// Handlers for the calls of other daemons. They run concurrently on the worker pool and may block.
/// A call whose handler is empty fails.
struct daemon_handlers {
    std::function<forward_reply(const forward_request&)> forward;
    std::function<sync_reply(const sync_request&)> sync;
    std::function<fetch_reply(const fetch_request&)> fetch;
    std::function<intent_reply(const intent_request&)> record_intent;
    std::function<credit_reply(const credit_request&)> request_credit;
};

} // namespace toucan::rpc
