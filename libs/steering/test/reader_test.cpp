#include "random_text.h"
#include "toucan/steering/read_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace toucan::steering {

namespace {

const std::string valid_topology = R"([[region]]
name = "west"
[[region]]
name = "east"
[[failure_domain]]
name = "west-a"
region = "west"
entry_vms = 2
[[failure_domain]]
name = "east-a"
region = "east"
entry_vms = 1
[[link]]
between = ["west", "east"]
mbit_per_s = 4000
one_way_delay_ms = 55
[[client_blocks]]
failure_domain = "west-a"
blocks = ["10.0.0.0/8", "10.1.0.0/16"]
)";

const std::string valid_service = R"([service]
name = "checkdesk"
objective = "latency"
class = "urgent"
deadline_ms = 1500
rate = 120
headroom = 0.8
retry_share = 0.05
[service.shift_cap]
share = 0.2
interval_s = 5
[[service.operation]]
method = "POST"
path = "/consents"
idempotent = false
[[service.upstream]]
name = "b1"
address = "127.1.1.11:8080"
failure_domain = "west-a"
slots = 9
connections = 700
)";

/// Replaces `from` with `to` in a valid file; `expected` is the start of the error text.
struct replacement {
    std::string from;
    std::string to;
    std::string expected;
};

} // namespace

class reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reader_test);
    CPPUNIT_TEST(reads_every_field);
    CPPUNIT_TEST(reports_each_error_with_its_line);
    CPPUNIT_TEST(reports_all_errors);
    CPPUNIT_TEST(rejects_duplicates);
    CPPUNIT_TEST(requires_topology_and_services);
    CPPUNIT_TEST(handles_random_input);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field of a steering file that is parsed but not stored: the default would be
    // used without an error.
    void reads_every_field()
    {
        std::vector<steering_error> errors;
        const auto source = read_files(
            {{topology_file, valid_topology}, {"checkdesk.toml", valid_service}}, errors);
        CPPUNIT_ASSERT(source && errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, source->topology.failure_domains.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, source->blocks.size());
        const auto* link = source->topology.find_link(region_name("east"), region_name("west"));
        CPPUNIT_ASSERT(link != nullptr && link->mbit_per_s == 4000);
        service expected;
        expected.name = service_name("checkdesk");
        expected.default_deadline = std::chrono::milliseconds(1500);
        expected.rate = 120;
        expected.headroom = 0.8;
        expected.retry_share = 0.05;
        expected.shift = {0.2, std::chrono::seconds(5)};
        expected.operations = {{"POST", "/consents", false}};
        expected.upstreams = {{backend_server_name("b1"), *vm_address::parse("127.1.1.11:8080"),
                               failure_domain_name("west-a"), 9, 700, false}};
        CPPUNIT_ASSERT(source->services.at(0) == expected);
    }

    // Guards against accepting a mistake in a steering file, or reporting it without its line and
    // the allowed values.
    void reports_each_error_with_its_line()
    {
        const std::vector<replacement> topology_errors = {
            {"entry_vms = 2", "entry_vms = 0",
             "places.toml:8: entry_vms is 0; allowed: an integer"},
            {"entry_vms = 2", "entry_vms = \"2\"", "places.toml:8: entry_vms is a string"},
            {"entry_vms = 2", "entry_vm = 2", "places.toml:8: unknown key 'entry_vm'; allowed: "},
            {"region = \"west\"", "region = \"wset\"", "places.toml:7: there is no region wset"},
            {"name = \"east-a\"", "name = \"west-a\"", "places.toml:10: the failure domain west-a"},
            {"name = \"east\"", "name = \"west\"", "places.toml:4: the region west is defined"},
            {"\"west\", \"east\"", "\"west\", \"west\"", "places.toml:14: between does not name"},
            {"mbit_per_s = 4000", "mbit_per_s = -5", "places.toml:15: mbit_per_s is -5"},
            {"10.1.0.0/16", "10.0.0.0/8", "places.toml:19: the client block 10.0.0.0/8 is already"},
            {"10.1.0.0/16", "10.1.0.1/16", "places.toml:19: '10.1.0.1/16' has address bits"},
            {"10.1.0.0/16", "10.1.0.0/33", "places.toml:19: '33' is not a prefix length"},
            {"failure_domain = \"west-a\"", "failure_domain = \"no\"", "places.toml:18: there is"},
            {"[[link]]", "[[lnik]]", "places.toml:13: unknown key 'lnik'"},
            {"[[link]]", "[[link", "places.toml:13: "},
        };
        const std::vector<replacement> service_errors = {
            {"\"latency\"", "\"speed\"",
             "s.toml:3: objective is 'speed'; allowed: \"latency\" or \"headroom\""},
            {"\"urgent\"", "7", "s.toml:4: class is an integer"},
            {"deadline_ms = 1500", "deadline_ms = 0", "s.toml:5: deadline_ms is 0"},
            {"rate = 120", "", "s.toml:1: rate is missing; allowed: a number"},
            {"rate = 120", "rate = nan", "s.toml:6: rate is nan"},
            {"headroom = 0.8", "headroom = 1.01", "s.toml:7: headroom is 1.01; allowed"},
            {"share = 0.2", "share = 2", "s.toml:10: share is 2"},
            {"\"POST\"", "\"post\"", "s.toml:13: method is 'post'"},
            {"\"/consents\"", "\"consents\"", "s.toml:14: path is 'consents'"},
            {"idempotent = false", "idempotent = 0", "s.toml:15: idempotent is an integer"},
            {"127.1.1.11:8080", "127.1.1.11", "s.toml:18: '127.1.1.11' has no port"},
            {"\"west-a\"", "\"west-b\"", "s.toml:19: there is no failure domain west-b"},
            {"slots = 9", "slots = 9.5", "s.toml:20: slots is a floating-point number"},
            {"\"checkdesk\"", "\"check/desk\"", "s.toml:2: name is 'check/desk'; allowed: 1 to"},
        };
        for (const auto& it : topology_errors) {
            expect_error({{topology_file, replace(valid_topology, it)}, {"s.toml", valid_service}},
                         it);
        }
        for (const auto& it : service_errors) {
            expect_error({{topology_file, valid_topology}, {"s.toml", replace(valid_service, it)}},
                         it);
        }
    }

    // Guards against stopping at the first error: an operator would need one check for each
    // mistake.
    void reports_all_errors()
    {
        std::vector<steering_error> errors;
        auto topology = replace(valid_topology, {"entry_vms = 2", "entry_vms = 0", ""});
        topology = replace(topology, {"mbit_per_s = 4000", "mbit = 1", ""});
        auto service = replace(valid_service, {"slots = 9", "slots = 0\ncolour = 1", ""});
        CPPUNIT_ASSERT(!read_files({{topology_file, topology}, {"s.toml", service}}, errors));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, errors.size());
    }

    // Guards against two definitions of one service, backend server or operation, of which only one
    // would take effect.
    void rejects_duplicates()
    {
        expect_error(
            {{topology_file, valid_topology}, {"a.toml", valid_service}, {"b.toml", valid_service}},
            {"", "", "b.toml:2: the service checkdesk is already in a.toml"});
        const auto upstream = valid_service.substr(valid_service.find("[[service.upstream]]"));
        expect_error({{topology_file, valid_topology}, {"a.toml", valid_service + upstream}},
                     {"", "", "a.toml:23: the upstream b1 is defined twice"});
        const auto operation =
            "[[service.operation]]\nmethod = \"POST\"\npath = \"/consents\"\nidempotent = true\n";
        expect_error({{topology_file, valid_topology}, {"a.toml", valid_service + operation}},
                     {"", "", "a.toml:22: the operation POST /consents is defined twice"});
    }

    // Guards against publishing a directory without a topology or without a service.
    void requires_topology_and_services()
    {
        expect_error({{"s.toml", valid_service}}, {"", "", "places.toml: the file is missing"});
        expect_error({{topology_file, valid_topology}},
                     {"", "", "places.toml: there is no service file"});
        std::vector<steering_error> errors;
        CPPUNIT_ASSERT(!read_directory("/nonexistent", errors) && errors.size() == 1);
    }

    // Guards against a crash on malformed steering files, and against a rejected file without an
    // error or an accepted file with one.
    void handles_random_input()
    {
        int accepted_count = 0;
        run_random_texts("places", 11, valid_topology, 4000, [&](const std::string& text) {
            std::vector<steering_error> errors;
            const bool valid =
                read_files({{topology_file, text}, {"s.toml", valid_service}}, errors).has_value();
            CPPUNIT_ASSERT(valid == errors.empty());
            accepted_count += valid ? 1 : 0;
        });
        run_random_texts("service", 12, valid_service, 4000, [&](const std::string& text) {
            std::vector<steering_error> errors;
            const bool valid =
                read_files({{topology_file, valid_topology}, {"s.toml", text}}, errors).has_value();
            CPPUNIT_ASSERT(valid == errors.empty());
            accepted_count += valid ? 1 : 0;
        });
        CPPUNIT_ASSERT(accepted_count > 0);
    }

private:
    static std::string replace(std::string text, const replacement& it)
    {
        const auto at = text.find(it.from);
        CPPUNIT_ASSERT_MESSAGE(it.from, at != std::string::npos);
        return text.replace(at, it.from.size(), it.to);
    }

    static void expect_error(const std::vector<steering_file>& files, const replacement& it)
    {
        std::vector<steering_error> errors;
        CPPUNIT_ASSERT_MESSAGE(it.expected, !read_files(files, errors));
        std::string all;
        bool found = false;
        for (const auto& error : errors) {
            all += error.to_string() + "\n";
            found = found || error.to_string().rfind(it.expected, 0) == 0;
        }
        CPPUNIT_ASSERT_MESSAGE("expected: " + it.expected + "\nseen:\n" + all, found);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_test);

} // namespace toucan::steering
