#include "redirecting_client.h"

#include <utility>

namespace toucan::daemon {

redirecting_client::redirecting_client(rpc::daemon_client& next,
                                       std::map<vm_address, vm_address> overrides)
    : next_(next), overrides_(std::move(overrides))
{
}

vm_address redirecting_client::target(vm_address peer) const
{
    const auto it = overrides_.find(peer);
    return it == overrides_.end() ? peer : it->second;
}

rpc::rpc_result<rpc::forward_reply>
redirecting_client::forward(vm_address peer, const rpc::forward_request& request, duration timeout)
{
    return next_.forward(target(peer), request, timeout);
}

rpc::rpc_result<rpc::sync_reply>
redirecting_client::sync(vm_address peer, const rpc::sync_request& request, duration timeout)
{
    return next_.sync(target(peer), request, timeout);
}

rpc::rpc_result<rpc::fetch_reply>
redirecting_client::fetch(vm_address peer, const rpc::fetch_request& request, duration timeout)
{
    return next_.fetch(target(peer), request, timeout);
}

rpc::rpc_result<rpc::intent_reply>
redirecting_client::record_intent(vm_address peer, const rpc::intent_request& request,
                                  duration timeout)
{
    return next_.record_intent(target(peer), request, timeout);
}

rpc::rpc_result<rpc::credit_reply>
redirecting_client::request_credit(vm_address peer, const rpc::credit_request& request,
                                   duration timeout)
{
    return next_.request_credit(target(peer), request, timeout);
}

} // namespace toucan::daemon
