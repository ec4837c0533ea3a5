#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <condition_variable>
#include <map>

namespace toucan::review {

/// What an upstream was asked to do with one request, taken from fields of its query: `work` (ms),
/// `size` (bytes of the answer's body) and `status`. A client of a case sends them; the system
/// passes the query on unchanged.
struct order {
    milliseconds work{20};
    std::size_t size = 100;
    int status = 200;
};

/// Stand-in of one upstream of PROTOCOL.md: it registers in the store, runs `slots` requests at a
/// time and queues some more, and seals its answers.
class upstream {
public:
    struct settings {
        std::string id;
        std::string service;
        std::string zone;
        address at;
        unsigned slots = 9;
        unsigned queue = 27;
        /// Time for which the upstream is cold after its start.
        double cold_s = 0;
    };

    /// Registers the upstream in the store. All references must outlive it.
    upstream(settings it, store& platform, record& out);

    /// Reports `draining` to the store.
    void drain();
    /// Ends: its connections close, and what it has not answered is lost.
    void exit();
    /// Requests that have begun to run here after a time.
    [[nodiscard]] std::vector<std::string> runs_since(steady_time from);
    /// Number of times that a request has run here.
    [[nodiscard]] std::size_t runs(const std::string& attempt_id);
    /// Whether a run of the request has ended with an answer that was sent in full.
    [[nodiscard]] bool answered(const std::string& attempt_id);

private:
    void serve(connection& peer);
    /// @return the answer, or nothing if the connection ended while the request was in the queue.
    std::optional<message> answer(const message& request, const connection& peer);
    std::optional<message> run(const message& request, const connection& peer);
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    answer_headers(const std::string& attempt_id) const;

    [[nodiscard]] nlohmann::json entry(const std::string& state) const;

    settings settings_;
    store& platform_;
    record& record_;
    std::int64_t born_ms_;
    std::mutex mutex_;
    std::condition_variable released_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::map<std::string, std::size_t> runs_;
    std::map<std::string, bool> answered_;
    std::vector<std::pair<steady_time, std::string>> starts_;
    std::unique_ptr<server> server_;
};

/// Body of an answer: `size` bytes that follow from the id, so that a client can check each byte.
std::string answer_body(const std::string& attempt_id, std::size_t size);

} // namespace toucan::review
