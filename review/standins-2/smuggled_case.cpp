// Case 9: requests whose body has a transfer coding that the daemon does not know. The bytes of
// the body look like a request.
#include "rig.h"

namespace {

constexpr int requests = 20;

int play(rig::deployment& it)
{
    it.start(4, {});
    int broken = 0;
    int refused = 0;
    for (int n = 0; n < requests; ++n) {
        const auto number = std::to_string(n);
        const auto outer = "outer-" + number;
        const auto inner = "inner-" + number;
        const auto host = rig::text({"Host: ", rig::deployment::host, "\r\n"});
        const auto body =
            rig::text({"POST /order/", number, " HTTP/1.1\r\n", host, "X-Attempt-Id: ", inner,
                       "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"});
        // RFC 9112, 6.3: the length of such a body is unknown, so the server answers 400 and closes
        // the connection. Without the trouble the same body has a length.
        const auto framing =
            it.trouble ? std::string("Transfer-Encoding: gzip\r\n")
                       : rig::text({"Content-Length: ", std::to_string(body.size()), "\r\n"});
        const auto& to = it.daemons[static_cast<std::size_t>(n) % it.daemons.size()]->callers;
        const int fd = rig::connect_to(to);
        std::string buf;
        rig::message answer;
        int answers = 0;
        std::string statuses;
        const auto request =
            rig::text({"POST /check/", number, " HTTP/1.1\r\n", host, "X-Attempt-Id: ", outer,
                       "\r\nX-Deadline-Ms: 2000\r\n", framing, "\r\n", body});
        if (fd < 0 || !rig::send_all(fd, request)) {
            return rig::could_not_run;
        }
        while (rig::read_message(fd, buf, answer, rig::now_s() + 0.5) == rig::read_end::complete) {
            ++answers;
            statuses.append(statuses.empty() ? "" : ",").append(std::to_string(answer.status()));
        }
        ::close(fd);
        std::string outer_runs;
        std::string inner_runs;
        for (const auto& server : it.backends) {
            for (const auto& [id, runs] : server->runs()) {
                for (const auto& run : runs) {
                    auto& to_runs = id == outer ? outer_runs : inner_runs;
                    if (id == outer || id == inner) {
                        to_runs.append("[").append(run).append("]");
                    }
                }
            }
        }
        const bool smuggled = !inner_runs.empty();
        broken += smuggled ? 1 : 0;
        refused += outer_runs.empty() ? 1 : 0;
        it.log.line("sent one request id=%s body_bytes=%zu answers=%d statuses=%s run=%s%s",
                    outer.c_str(), body.size(), answers, statuses.c_str(), outer_runs.c_str(),
                    smuggled ? rig::text({" SMUGGLED RUN OF ", inner, " ", inner_runs}).c_str()
                             : "");
    }
    it.log.line("requests=%d not_run=%d smuggled=%d", requests, refused, broken);
    return broken > 0 ? rig::rule_broken : rig::rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, play);
}
