#include "outcome_writer.h"

#include "header_names.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace toucan::daemon {

namespace {

constexpr int status_not_run = 503;
constexpr int status_unknown = 504;

/// Replaces all but printable ASCII by spaces: reasons can quote untrusted input, and a header
/// value must stay on one line.
std::string header_text(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char it) { return it < ' ' || it > '~'; }, ' ');
    return text;
}

std::string entry_vm_list(const std::vector<rpc::entry_vm>& entry_vms)
{
    std::string text;
    for (const auto& it : entry_vms) {
        text += text.empty() ? "" : ",";
        text += it.id.address.with_port(it.http_port).to_string();
    }
    return text;
}

class writer {
public:
    writer(const std::vector<rpc::entry_vm>& alternatives, httplib::Response& response)
        : alternatives_(alternatives), response_(response)
    {
    }

    void operator()(const completed& it)
    {
        response_.set_header(outcome_header, "completed");
        response_.status = it.response.status;
        for (const auto& header : it.response.headers) {
            response_.headers.emplace(header.name, header.value);
        }
        response_.body = it.response.body;
    }

    void operator()(const not_run& it)
    {
        using std::chrono::seconds;
        const auto wait = std::chrono::ceil<seconds>(it.retry_after);
        response_.set_header("Retry-After", std::to_string(std::max(wait, seconds(1)).count()));
        if (!alternatives_.empty()) {
            response_.set_header(entry_vms_header, entry_vm_list(alternatives_));
        }
        write_failure(status_not_run, "not-run", it.reason);
    }

    void operator()(const unknown& it) { write_failure(status_unknown, "unknown", it.reason); }

private:
    void write_failure(int status, const char* name, const std::string& reason)
    {
        response_.status = status;
        response_.set_header(outcome_header, name);
        response_.set_header(reason_header, header_text(reason));
        response_.set_content(reason + "\n", "text/plain");
    }

    const std::vector<rpc::entry_vm>& alternatives_;
    httplib::Response& response_;
};

} // namespace

void write_outcome(const outcome& result, const std::vector<rpc::entry_vm>& alternatives,
                   httplib::Response& response)
{
    std::visit(writer(alternatives, response), result);
}

} // namespace toucan::daemon
