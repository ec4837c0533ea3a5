// Case 9: what callers are told when a backend server has run a request and fails it with 429 or
// 408.
#include "rig.h"

namespace {

constexpr int requests = 60;
constexpr int failing_every = 3;

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

int play(rig::deployment& it)
{
    std::atomic<int> orders{0};
    const auto fail_some = [&](const rig::backend& server, const rig::message& in) {
        if (!it.trouble || in.method() != "POST") {
            return std::string();
        }
        const int n = ++orders;
        if (n % failing_every != 0) {
            return std::string();
        }
        // The server's own failure of a request that has run: sealed, and without X-Not-Executed.
        const int status = n % (2 * failing_every) == 0 ? 408 : 429;
        return rig::response(status, server.headers(in), "failed");
    };
    it.start(4, fail_some);
    int answered = 0;
    int broken = 0;
    for (int n = 0; n < requests; ++n) {
        const auto id = "order-" + std::to_string(n);
        const auto& to = it.daemons[static_cast<std::size_t>(n) % it.daemons.size()]->callers;
        const int fd = rig::connect_to(to);
        std::string buf;
        rig::message answer;
        const bool complete =
            fd >= 0 &&
            rig::send_all(fd, "POST /order/" + std::to_string(n) + " HTTP/1.1\r\nHost: " +
                                  rig::deployment::host + "\r\nX-Attempt-Id: " + id +
                                  "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbook") &&
            rig::read_message(fd, buf, answer, rig::now_s() + 3) == rig::read_end::complete;
        ::close(fd);
        std::size_t runs = 0;
        for (const auto& server : it.backends) {
            const auto all = server->runs();
            const auto found = all.find(id);
            runs += found == all.end() ? 0 : found->second.size();
        }
        const int status = complete ? answer.status() : 0;
        const bool false_promise = promises_not_run(status) && runs > 0;
        answered += complete ? 1 : 0;
        broken += false_promise ? 1 : 0;
        it.log.line("answered id=%s status=%d seal=%s runs=%zu%s", id.c_str(), status,
                    answer.header("X-Server-Seal").c_str(), runs,
                    false_promise ? " PROMISED NOT RUN, HAS RUN" : "");
    }
    it.log.line("requests=%d answered=%d promised_not_run_but_run=%d", requests, answered, broken);
    if (answered < requests) {
        return rig::could_not_run;
    }
    return broken > 0 ? rig::rule_broken : rig::rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, play);
}
