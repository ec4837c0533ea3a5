#include "caller.h"
#include "case_main.h"
#include "configuration.h"
#include "deployment.h"

#include <algorithm>
#include <iostream>

// A caller sends a body whose transfer coding doesn't end with `chunked`, so that its length can't
// be known. The body is the text of another request. With TROUBLE=0 the same body is sent with its
// length.
namespace review {

namespace {

constexpr milliseconds start_limit{20000};
constexpr milliseconds answer_limit{2000};
constexpr const char* inner_id = "inner-text";

class coding_case {
public:
    coding_case(const char* program, const char* folder, bool trouble)
        : trouble_(trouble), machines_(program, folder, platform_, log_, {"rs-a", "rs-b"}, {})
    {
    }

    int run();
    void write_record(const std::string& path) { log_.write(path); }

private:
    void send(const std::string& id, const std::string& coding);
    /// @return whether an upstream ran what no caller has sent.
    bool judge();

    bool trouble_;
    record log_;
    store platform_;
    arrivals arrivals_;
    upstream first_{{"i-first", service, "rs-a"}, platform_, arrivals_};
    upstream second_{{"i-second", service, "rs-b"}, platform_, arrivals_};
    deployment machines_;
    const std::string inner_ =
        request_head("GET", std::string(safe_prefix) + "inner", inner_id, "");
    std::set<std::string> sent_;
};

void coding_case::send(const std::string& id, const std::string& coding)
{
    sent_.insert(id);
    auto to = link::to(machines_.machines().front().callers);
    const auto framing = trouble_ ? "Transfer-Encoding: " + coding + "\r\n"
                                  : "Content-Length: " + std::to_string(inner_.size()) + "\r\n";
    log_.add(id + " is sent: POST " + unsafe_prefix + "2f, " +
             framing.substr(0, framing.size() - 2) + ", body of " + std::to_string(inner_.size()) +
             " bytes");
    to.send(request_head("POST", std::string(unsafe_prefix) + "2f", id, framing) + inner_);
    for (auto answer = to.read(answer_limit, true); answer; answer = to.read(answer_limit, true)) {
        log_.add("on the connection of " + id + ": " + answer->first_line + ", X-Attempt-Id " +
                 answer->header("X-Attempt-Id") + ", body \"" + answer->body + "\"");
    }
}

bool coding_case::judge()
{
    bool broken = false;
    for (const auto& it : arrivals_.all()) {
        const bool asked = sent_.count(it.id) > 0;
        const bool whole = !asked || it.body == inner_;
        log_.add("at " + std::to_string(it.at.count()) + " ms " + it.upstream +
                 (it.ran ? " runs " : " turns away ") + it.id + ": " + it.method + " " + it.target +
                 ", body of " + std::to_string(it.body.size()) + " bytes" +
                 (asked ? "" : "  <- no caller has sent this request") +
                 (whole ? "" : "  <- not the body that was sent"));
        broken = broken || (it.ran && (!asked || !whole));
    }
    return broken;
}

int coding_case::run()
{
    platform_.put("op", "config", configuration(7));
    if (!machines_.wait_until_ready(start_limit)) {
        log_.add("the machines are not ready");
        return 2;
    }
    send("outer-1", "gzip");
    send("outer-2", "identity");
    send("outer-3", "chunked, identity");
    const bool broken = judge();
    log_.add(broken ? "BROKEN" : "held");
    std::cout << (broken ? "BROKEN" : "held") << std::endl;
    return broken ? 1 : arrivals_.all().empty() ? 2 : 0;
}

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    return review::case_main<review::coding_case>(count, arguments);
}
