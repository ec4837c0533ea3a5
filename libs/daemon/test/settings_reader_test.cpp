#include "toucan/daemon/settings_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace toucan::daemon {

class settings_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_reader_test);
    CPPUNIT_TEST(flag_overrides_environment_variable);
    CPPUNIT_TEST(all_errors_are_listed);
    CPPUNIT_TEST(test_switches_require_environment_variable);
    CPPUNIT_TEST(help_is_not_an_error);
    CPPUNIT_TEST_SUITE_END();

    using variables = std::map<std::string, std::string>;

    static settings_result read(std::vector<std::string> flags, const variables& environment)
    {
        flags.insert(flags.begin(), "toucand");
        return read_settings(flags, [&](const std::string& name) -> std::optional<std::string> {
            const auto it = environment.find(name);
            return it == environment.end() ? std::nullopt : std::optional(it->second);
        });
    }

    static std::vector<std::string> complete_flags()
    {
        return {"--listen-http", "127.0.0.1:1",      "--listen-rpc", "127.0.0.1:2", "--region",
                "west",          "--failure-domain", "west-a",       "--platform",  "127.0.0.1:3"};
    }

public:
    // Guards against an environment variable overriding an explicit flag.
    void flag_overrides_environment_variable()
    {
        const auto result = read(complete_flags(), {{"TOUCAN_REGION", "east"},
                                                    {"TOUCAN_SEEDS", "127.0.0.2:5,127.0.0.3:5"}});
        const auto* found = std::get_if<settings>(&result);
        CPPUNIT_ASSERT(found != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("west"), found->region.text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found->seeds.size());
    }

    // Guards against a report of only the first error, which would cost the operator a restart for
    // each error.
    void all_errors_are_listed()
    {
        const auto result = read({"--listen-http", "nowhere", "--drain-limit-s", "0"}, {});
        const auto* found = std::get_if<settings_errors>(&result);
        CPPUNIT_ASSERT(found != nullptr);
        // Two invalid values and three missing flags.
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, found->errors.size());
    }

    // Guards against `--disable` switching off a mechanism on a production VM, where
    // TOUCAN_TEST_SWITCHES is not set.
    void test_switches_require_environment_variable()
    {
        auto flags = complete_flags();
        flags.insert(flags.end(), {"--disable", "seal"});
        CPPUNIT_ASSERT(std::holds_alternative<settings_errors>(read(flags, {})));
        const auto allowed = read(flags, {{"TOUCAN_TEST_SWITCHES", "1"}});
        CPPUNIT_ASSERT(std::get<settings>(allowed).is_disabled("seal"));
    }

    // Guards against `--help` being rejected because required flags are absent.
    void help_is_not_an_error()
    {
        CPPUNIT_ASSERT(std::holds_alternative<settings_help>(read({"--help"}, {})));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_reader_test);

} // namespace toucan::daemon
