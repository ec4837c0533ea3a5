#include "request_router.h"
#include "scripted_client.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>

namespace toucan::daemon {

class request_router_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_router_test);
    CPPUNIT_TEST(refusal_after_attempt_without_reply_is_unknown);
    CPPUNIT_TEST(refusals_only_are_not_run);
    CPPUNIT_TEST_SUITE_END();

    static constexpr vm_address self{0x7f000001U, 1};
    static constexpr vm_address peer{0x7f000001U, 2};

    /// One service with two backend servers, whose home is another daemon.
    static std::shared_ptr<const routing_view> view_with_two_backends()
    {
        auto config = std::make_shared<steering::configuration>();
        steering::service service;
        service.name = service_name("checkdesk");
        service.retry_share = 1;
        config->services.push_back(service);
        auto it = std::make_shared<routing_view>();
        it->config = config;
        it->local_region = region_name("west");
        it->local_domain = failure_domain_name("west-a");
        service_view routes;
        routes.service = &config->services.front();
        routes.local_backends = {{backend_server_name("b1"), 8, peer, false},
                                 {backend_server_name("b2"), 8, peer, false}};
        it->services.emplace(service.name, routes);
        return it;
    }

    /// Routes an idempotent request.
    /// @param first reply to the first attempt; all later attempts are refused.
    static outcome route_with_first_reply(const rpc::rpc_result<rpc::forward_reply>& first)
    {
        manual_clock time;
        const vm_id id{self, incarnation(1)};
        backend::backend_pool pool(time);
        home::environment homes_env;
        homes_env.time = &time;
        home_table homes(id, pool, homes_env);
        scripted_client client;
        int calls = 0;
        client.on_forward = [&]() -> rpc::rpc_result<rpc::forward_reply> {
            return calls++ == 0 ? first : rpc::forward_reply{not_run{"backend server is full", {}}};
        };
        request_router::environment env;
        env.time = &time;
        env.self = id;
        request_router router(env, homes, client);
        router.update(view_with_two_backends());
        rpc::forward_request request;
        request.service = service_name("checkdesk");
        auto result = router.route(request, true, time.now() + std::chrono::seconds(2), {});
        CPPUNIT_ASSERT(calls >= 2);
        return result;
    }

public:
    // Guards against the outcome "not run" if the first attempt got no reply, so that it may have
    // run, and the retry is refused.
    void refusal_after_attempt_without_reply_is_unknown()
    {
        CPPUNIT_ASSERT(
            std::holds_alternative<unknown>(route_with_first_reply(scripted_client::failure())));
    }

    // Guards against the outcome "unknown" for a request that certainly did not run.
    void refusals_only_are_not_run()
    {
        const rpc::forward_reply refused{not_run{"backend server is full", {}}};
        CPPUNIT_ASSERT(std::holds_alternative<not_run>(route_with_first_reply(refused)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_router_test);

} // namespace toucan::daemon
