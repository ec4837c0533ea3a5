#include "load_monitor.h"

#include "toucan/base/manual_clock.h"
#include "toucan/base/stable_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace toucan::edge {

/// Figures by which an operator sees how evenly servers are loaded.
class load_monitor_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_monitor_test);
    CPPUNIT_TEST(figures_show_an_uneven_load);
    CPPUNIT_TEST_SUITE_END();

    static void expect(const std::string& text, const std::string& line)
    {
        CPPUNIT_ASSERT_MESSAGE(line + " in\n" + text, text.find(line + "\n") != std::string::npos);
    }

public:
    // Guards against figures that hide the busiest server, count refusals or errors wrongly, or mix
    // two intervals.
    void figures_show_an_uneven_load()
    {
        asio::io_context loop;
        manual_clock time;
        settings daemon_settings;
        daemon_settings.region = region_name("west");
        daemon_settings.regions[failure_domain_name("west-a")] = region_name("west");
        const wire_names names;
        metrics all;
        fleet servers(loop, time, daemon_settings);
        load_monitor monitor(time, servers, names, all);
        for (const auto* name : {"b1", "b2", "b3", "b4"}) {
            backend_record record;
            record.name = backend_server_name(name);
            record.service = service_name("desk");
            record.failure_domain = failure_domain_name("west-a");
            record.slots = 4;
            servers.apply(record);
        }
        const auto busiest = servers.find(short_hash("b1"));
        const auto sent = time.now();
        servers.add_load(busiest, 2, sent);
        servers.add_load(servers.find(short_hash("b2")), 1, sent);
        servers.add_load(servers.find(short_hash("b3")), 1, sent);
        policy::load_summary reported;
        reported.add_backend(busiest->id, {1, 1});
        servers.set_peer_loads(reported, time.now());
        time.advance(milliseconds(100));
        monitor.record_choice(*busiest);
        monitor.record_refusal(*busiest);
        server_notice notice;
        monitor.record_notice(notice);
        notice.unreadable = {names.leaving, names.load};
        monitor.record_notice(notice);
        // Of the five requests that the server states, one is this daemon's.
        const auto error = servers.record_load(busiest, {5, 0, 4}, sent, true);
        CPPUNIT_ASSERT(error && *error == 3);
        monitor.record_error(*busiest, *error);
        time.advance(milliseconds(2000));
        const service_name desk("desk");
        monitor.sample(desk);
        monitor.log_when_due();
        expect(all.render(), "toucan_edge_load_error_slots{service=\"desk\",quantile=\"0.5\"} 0");
        time.advance(milliseconds(8000));
        monitor.log_when_due();
        const auto text = all.render();
        const std::string server_use =
            "toucan_edge_server_utilization{service=\"desk\",region=\"west\",quantile=";
        expect(text, server_use + "\"0.5\"} 0.25");
        expect(text, server_use + "\"1\"} 0.75");
        expect(text, "toucan_edge_server_utilization_max_over_mean{service=\"desk\",region="
                     "\"west\"} 2.4");
        expect(text, "toucan_edge_server_refusals_total{service=\"desk\"} 1");
        expect(text, "toucan_edge_load_error_slots{service=\"desk\",quantile=\"0.5\"} 3");
        expect(text, "toucan_edge_load_age_ms_count{service=\"desk\"} 1");
        expect(text, "toucan_edge_load_age_ms_sum{service=\"desk\"} 100");
        expect(text, "toucan_edge_load_header_unreadable_total 1");
        // The next interval begins without the values of this one.
        servers.remove_load(busiest, 2, sent);
        monitor.sample(desk);
        time.advance(milliseconds(10'000));
        monitor.log_when_due();
        expect(all.render(), server_use + "\"1\"} 0.25");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_monitor_test);

} // namespace toucan::edge
