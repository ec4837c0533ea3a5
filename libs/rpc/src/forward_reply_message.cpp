#include "forward_reply_message.h"

#include "field_message.h"
#include "http_header_message.h"
#include "list_message.h"
#include "toucan/base/http_syntax.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace toucan::rpc::schema {

namespace {

constexpr std::uint16_t kind_unknown = 0;
constexpr std::uint16_t kind_completed = 1;
constexpr std::uint16_t kind_not_run = 2;

/// Checks a response as its first reader, the daemon that sent the request, must have done.
std::optional<response_fault> find_fault(const http_response& it)
{
    const bool interim = it.status / 100 == 1;
    if (interim || !is_status_code(it.status)) {
        return response_fault::status;
    }
    const bool sound =
        std::all_of(it.headers.begin(), it.headers.end(), [](const http_header& each) {
            return is_token(each.name) && is_line_text(each.value);
        });
    return sound ? std::nullopt : std::optional(response_fault::head);
}

} // namespace

void encode(const forward_reply& value, ForwardReply::Builder out)
{
    if (const auto* done = std::get_if<completed>(&value.result)) {
        out.setKind(kind_completed);
        out.setStatus(done->response.status);
        encode_list(done->response.headers, [&](unsigned n) { return out.initHeaders(n); });
        set_data(done->response.body, [&](auto bytes) { out.setBody(bytes); });
    }
    else if (const auto* refused = std::get_if<not_run>(&value.result)) {
        out.setKind(kind_not_run);
        set_text(refused->reason, [&](auto text) { out.setReason(text); });
        out.setRetryAfterMs(refused->retry_after.count());
    }
    else if (const auto* open = std::get_if<unknown>(&value.result)) {
        out.setKind(kind_unknown);
        set_text(open->reason, [&](auto text) { out.setReason(text); });
    }
}

forward_reply decode(ForwardReply::Reader in)
{
    if (in.getKind() == kind_completed) {
        completed done;
        done.response.status = in.getStatus();
        decode_list(in.getHeaders(), done.response.headers);
        if (const auto fault = find_fault(done.response)) {
            return {unknown{"broken response from another daemon"}, fault};
        }
        done.response.body = bytes_of(in.getBody());
        return {std::move(done)};
    }
    if (in.getKind() == kind_not_run) {
        return {not_run{text_of(in.getReason()), std::chrono::milliseconds(in.getRetryAfterMs())}};
    }
    // An empty message or an unrecognized kind must not be decoded as `not_run`.
    return {unknown{text_of(in.getReason())}};
}

} // namespace toucan::rpc::schema
