#include "support/address_range.h"
#include "support/child_process.h"
#include "support/deployment.h"
#include "support/execution_judge.h"
#include "support/http.h"
#include "support/steering_files.h"
#include "support/temporary_folder.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace toucan::test {

class test_support_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(test_support_test);
    CPPUNIT_TEST(child_status_is_reported);
    CPPUNIT_TEST(stopped_child_makes_no_progress);
    CPPUNIT_TEST(children_end_with_their_owner);
    CPPUNIT_TEST(ranges_do_not_overlap);
    CPPUNIT_TEST(judge_accepts_a_valid_log);
    CPPUNIT_TEST(judge_accepts_a_retry_after_a_true_refusal);
    CPPUNIT_TEST(judge_finds_a_second_execution);
    CPPUNIT_TEST(judge_finds_a_second_execution_under_a_new_key);
    CPPUNIT_TEST(judge_finds_a_false_refusal);
    CPPUNIT_TEST(judge_finds_an_execution_after_the_refusal);
    CPPUNIT_TEST(judge_finds_a_false_refusal_between_attempts);
    CPPUNIT_TEST(judge_finds_a_refusal_after_another_attempt_completed);
    CPPUNIT_TEST(judge_accepts_a_refusal_beside_a_running_attempt);
    CPPUNIT_TEST(judge_finds_a_false_refusal_of_an_idempotent_request);
    CPPUNIT_TEST(judge_finds_a_wrong_answer);
    CPPUNIT_TEST(judge_finds_an_answer_without_an_execution);
    CPPUNIT_TEST(judge_finds_an_answer_outside_the_protocol);
    CPPUNIT_TEST(deployment_starts_its_stand_ins);
    CPPUNIT_TEST(steering_files_describe_the_plan);
    CPPUNIT_TEST_SUITE_END();

public:
    void child_status_is_reported()
    {
        child_process ended("/bin/sh", {"-c", "echo \"$TEXT\"; exit 3"}, folder_.file("a"),
                            {"TEXT=hello"});
        CPPUNIT_ASSERT(ended.wait_exit(wait_deadline) == 3);
        CPPUNIT_ASSERT_EQUAL(std::string("hello\n"), ended.log_text());
        child_process killed("/bin/sleep", {"60"}, folder_.file("b"));
        CPPUNIT_ASSERT(!killed.wait_exit(std::chrono::milliseconds(50)));
        killed.kill();
        CPPUNIT_ASSERT(killed.wait_exit(wait_deadline) == -SIGKILL);
        child_process termed("/bin/sleep", {"60"}, folder_.file("c"));
        termed.terminate();
        CPPUNIT_ASSERT(termed.wait_exit(wait_deadline) == -SIGTERM);
    }

    // Guards against a suspend() without effect: tests of pauses would then pass without a pause.
    void stopped_child_makes_no_progress()
    {
        child_process it("/bin/sh", {"-c", "while :; do echo x; sleep 0.01; done"},
                         folder_.file("d"));
        CPPUNIT_ASSERT(wait_until([&] { return it.log_text().size() > 4; }));
        it.suspend();
        const auto n = it.log_text().size();
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(n, it.log_text().size());
        CPPUNIT_ASSERT(it.running());
        it.resume();
        CPPUNIT_ASSERT(wait_until([&] { return it.log_text().size() > n; }));
    }

    // Guards against processes that outlive a failed test and affect the next one.
    void children_end_with_their_owner()
    {
        auto it = std::make_unique<child_process>("/bin/sleep", std::vector<std::string>{"60"},
                                                  folder_.file("e"));
        const auto pid = it->pid();
        it.reset();
        CPPUNIT_ASSERT(::kill(pid, 0) != 0);

        pid_t orphan = 0;
        const auto path = folder_.file("orphan");
        const auto owner = fork();
        if (owner == 0) {
            const child_process child("/bin/sleep", {"60"}, folder_.file("f"));
            std::ofstream(path) << child.pid() << std::endl;
            ::kill(getpid(), SIGKILL);
        }
        int status = 0;
        waitpid(owner, &status, 0);
        std::ifstream(path) >> orphan;
        CPPUNIT_ASSERT(orphan > 0);
        CPPUNIT_ASSERT(wait_until([orphan] { return ended(orphan); }));
    }

    // Guards against address conflicts between test programs that run at the same time.
    void ranges_do_not_overlap()
    {
        address_range first;
        address_range second;
        CPPUNIT_ASSERT((first.next().ip() >> 8U) != (second.next().ip() >> 8U));
    }

    void judge_accepts_a_valid_log()
    {
        add_execution("r1", "k.1", 15);
        add_log({record("r1", "k.1", attempt_outcome::connection_error, 10, 20),
                 record("r1", "k.1", attempt_outcome::completed, 30, 40)});
        CPPUNIT_ASSERT_EQUAL(std::string(), judge_.violations_text());
    }

    void judge_accepts_a_retry_after_a_true_refusal()
    {
        // Once with a new key, once with the same key.
        add_execution("r1", "k.2", 35);
        add_log({record("r1", "k.1", attempt_outcome::not_run, 10, 20),
                 record("r1", "k.2", attempt_outcome::completed, 30, 40)});
        add_execution("r2", "c1-1-a", 35);
        add_log({record("r2", "c1-1-a", attempt_outcome::not_run, 10, 20),
                 record("r2", "c1-1-a", attempt_outcome::unknown, 30, 40)});
        CPPUNIT_ASSERT_EQUAL(std::string(), judge_.violations_text());
    }

    void judge_finds_a_second_execution()
    {
        add_execution("r1", "k.1", 15);
        add_execution("r1", "k.1", 35);
        add_log({record("r1", "k.1", attempt_outcome::connection_error, 10, 20),
                 record("r1", "k.1", attempt_outcome::completed, 30, 40)});
        expect_violations("ran 2 times", 2);
    }

    void judge_finds_a_second_execution_under_a_new_key()
    {
        add_execution("r1", "k.1", 15);
        add_execution("r1", "k.2", 35);
        add_log({record("r1", "k.1", attempt_outcome::unknown, 10, 20),
                 record("r1", "k.2", attempt_outcome::completed, 30, 40)});
        expect_violations("request r1 ran 2 times", 1);
    }

    void judge_finds_a_false_refusal()
    {
        add_execution("r1", "k.1", 15);
        add_log({record("r1", "k.1", attempt_outcome::not_run, 10, 20)});
        expect_violations("reported not run", 1);
    }

    void judge_finds_an_execution_after_the_refusal()
    {
        add_execution("r1", "k.1", 25);
        add_log({record("r1", "k.1", attempt_outcome::connection_error, 5, 8),
                 record("r1", "k.1", attempt_outcome::not_run, 10, 20)});
        expect_violations("reported not run", 1);
    }

    void judge_finds_a_false_refusal_between_attempts()
    {
        add_execution("r1", "k.1", 6);
        add_log({record("r1", "k.1", attempt_outcome::connection_error, 5, 8),
                 record("r1", "k.1", attempt_outcome::not_run, 10, 20),
                 record("r1", "k.1", attempt_outcome::completed, 30, 40)});
        expect_violations("reported not run", 1);
    }

    void judge_finds_a_refusal_after_another_attempt_completed()
    {
        add_execution("r1", "k.1", 15);
        add_log({record("r1", "k.1", attempt_outcome::not_run, 10, 40),
                 record("r1", "k.1", attempt_outcome::completed, 12, 20)});
        expect_violations("reported not run", 1);
    }

    // Guards against a false report: the execution belongs to the other attempt, which is still
    // waiting for its response when the refusal arrives.
    void judge_accepts_a_refusal_beside_a_running_attempt()
    {
        add_execution("r1", "k.1", 15);
        add_log({record("r1", "k.1", attempt_outcome::not_run, 10, 20),
                 record("r1", "k.1", attempt_outcome::completed, 12, 40)});
        CPPUNIT_ASSERT_EQUAL(std::string(), judge_.violations_text());
    }

    void judge_finds_a_false_refusal_of_an_idempotent_request()
    {
        add_execution("r1", "", 15);
        auto it = record("r1", "", attempt_outcome::not_run, 10, 20);
        it.idempotent = true;
        add_log({it});
        expect_violations("reported not run", 1);
    }

    // Guards against a completed response whose body differs from the expected one.
    void judge_finds_a_wrong_answer()
    {
        add_execution("r1", "k.1", 15);
        auto it = record("r1", "k.1", attempt_outcome::completed, 10, 20);
        it.body_matches = false;
        add_log({it});
        expect_violations("lacks Content-Length or the expected body", 1);
    }

    void judge_finds_an_answer_without_an_execution()
    {
        add_log({record("r1", "k.1", attempt_outcome::completed, 10, 20)});
        expect_violations("no backend server executed it", 1);
    }

    void judge_finds_an_answer_outside_the_protocol()
    {
        add_log({record("r1", "k.1", attempt_outcome::bad_answer, 10, 20)});
        expect_violations("violates the protocol", 1);
    }

    void deployment_starts_its_stand_ins()
    {
        deployment_plan plan;
        plan.proxied = true;
        deployment system(plan);
        system.start_standins();
        const auto list = *get_json(system.platform(), "/vms");
        CPPUNIT_ASSERT_EQUAL(system.entry_vms().size() + system.backends().size(), list.size());
        system.set_vm_list({system.backends()[0].address});
        int leaving = 0;
        const auto changed = *get_json(system.platform(), "/vms");
        for (const auto& it : changed) {
            leaving += it["leaving"].get<bool>() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, leaving);
        // Each call throws if no route matches.
        system.set_link("north-a", "south-a", {{"cut", true}});
        system.set_platform_link("south-a", {{"blackhole", true}});
        system.set_route(0, 1, {{"drop_back", true}});
        CPPUNIT_ASSERT_THROW(system.set_route(0, 0, {{"cut", true}}), std::logic_error);
    }

    // Guards against settings of the plan that are missing in the published steering files.
    void steering_files_describe_the_plan()
    {
        deployment_plan plan;
        plan.services[0].leaving = {"b1"};
        plan.services[0].shift_share = 0.1;
        plan.services[0].shift_interval_s = 10;
        write_steering_files(folder_.path(), plan,
                             {{"b1", "checkdesk", "north-a", vm_address(0x7f000001, 7000)}});
        std::ostringstream places;
        places << std::ifstream(folder_.file("places.toml")).rdbuf();
        std::ostringstream service;
        service << std::ifstream(folder_.file("checkdesk.toml")).rdbuf();
        const auto has = [](const std::ostringstream& text, const std::string& part) {
            return text.str().find(part) != std::string::npos;
        };
        CPPUNIT_ASSERT(has(places, "[[region]]\nname = \"north\"\n[[region]]\nname = \"south\""));
        CPPUNIT_ASSERT(has(places, "blocks = [\"10.2.0.0/24\"]\nfailure_domain = \"south-a\""));
        CPPUNIT_ASSERT(has(service, "address = \"127.0.0.1:7000\""));
        CPPUNIT_ASSERT(has(service, "leaving = true"));
        CPPUNIT_ASSERT(has(service, "[service.shift_cap]\nshare = 0.100\ninterval_s = 10"));
    }

private:
    /// True if the process does not exist or is a zombie.
    static bool ended(pid_t pid)
    {
        std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
        std::string number;
        std::string name;
        std::string state;
        in >> number >> name >> state;
        return !in || state == "Z";
    }

    static attempt_record record(const std::string& test_id, const std::string& key,
                                 attempt_outcome result, std::int64_t sent, std::int64_t answered)
    {
        attempt_record out;
        out.test_id = test_id;
        out.operation_key = key;
        out.result = result;
        out.body_matches = result == attempt_outcome::completed;
        out.sent_us = sent;
        out.received_us = answered;
        return out;
    }
    void add_execution(const std::string& test_id, const std::string& key, int at)
    {
        judge_.add_executions({{{"test_id", test_id},
                                {"operation_key", key},
                                {"backend", "b"},
                                {"monotonic_us", at}}});
    }
    void add_log(const std::vector<attempt_record>& it) { judge_.add_log(it); }
    void expect_violations(const std::string& text, std::size_t n)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(judge_.violations_text(), n, judge_.violations().size());
        CPPUNIT_ASSERT_MESSAGE(judge_.violations_text(),
                               judge_.violations_text().find(text) != std::string::npos);
    }

    temporary_folder folder_;
    execution_judge judge_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_support_test);

} // namespace toucan::test
