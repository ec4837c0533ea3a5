#pragma once

// Stand-ins of the second review, for the scripts in review/6 to review/9: the platform's store,
// backend servers, callers, and the processes of a small deployment. All of them follow the users'
// pages (PROTOCOL.md, DEPLOY.md). They use threads and blocking sockets on loopback addresses.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using json = nlohmann::json;

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline double now_s()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_s(double s)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

/// The file record.txt of a case: what was sent, answered and run.
class record {
public:
    explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w"))
    {
        if (file_ == nullptr) {
            throw std::runtime_error("cannot write " + path);
        }
    }
    record(const record&) = delete;
    record& operator=(const record&) = delete;
    ~record() { std::fclose(file_); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f ", now_s());
        va_list args;
        va_start(args, format);
        std::vfprintf(file_, format, args);
        va_end(args);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

struct address {
    std::string ip = "127.0.0.1";
    int port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in native(const address& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(it.port));
    ::inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

/// Listens on a free port if the port is 0.
inline int listen_on(address& it)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto to = native(it);
    socklen_t size = sizeof to;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&to), size) != 0 || ::listen(fd, 1024) != 0) {
        throw std::runtime_error("cannot listen on " + it.text());
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size);
    it.port = ntohs(to.sin_port);
    return fd;
}

/// Returns an address whose port is free for TCP and UDP at the moment.
inline address free_address()
{
    address it;
    const int fd = listen_on(it);
    ::close(fd);
    return it;
}

/// @return a descriptor, or -1.
inline int connect_to(const address& it, int timeout_ms = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto to = native(it);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
        pollfd wait{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&wait, 1, timeout_ms) != 1 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& data)
{
    std::size_t sent = 0;
    while (sent < data.size()) {
        const auto n = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline std::string lower(std::string it)
{
    std::transform(it.begin(), it.end(), it.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return it;
}

/// A request or a response.
struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const
    {
        return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
    }
};

enum class read_end { complete, closed, timeout };

/// Reads one message. @param buf holds bytes that belong to the next one.
inline read_end read_message(int fd, std::string& buf, message& out, double until_s)
{
    const auto more = [&]() {
        const double left = until_s - now_s();
        pollfd wait{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left * 1e3) + 1) <= 0) {
            return read_end::timeout;
        }
        char part[16384];
        const auto n = ::recv(fd, part, sizeof part, 0);
        if (n <= 0) {
            return read_end::closed;
        }
        buf.append(part, static_cast<std::size_t>(n));
        return read_end::complete;
    };
    std::size_t head = 0;
    while ((head = buf.find("\r\n\r\n")) == std::string::npos) {
        if (const auto it = more(); it != read_end::complete) {
            return it;
        }
    }
    out = {};
    std::size_t begin = buf.find("\r\n");
    out.first_line = buf.substr(0, begin);
    while (begin < head) {
        begin += 2;
        const auto end = buf.find("\r\n", begin);
        const auto line = buf.substr(begin, end - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            out.headers.emplace_back(line.substr(0, colon), value);
        }
        begin = end;
    }
    buf.erase(0, head + 4);
    const auto length = static_cast<std::size_t>(std::atoll(out.header("Content-Length").c_str()));
    while (buf.size() < length) {
        if (const auto it = more(); it != read_end::complete) {
            return it;
        }
    }
    out.body = buf.substr(0, length);
    buf.erase(0, length);
    return read_end::complete;
}

/// Joins parts of a text.
inline std::string text(std::initializer_list<std::string> parts)
{
    std::string out;
    for (const auto& it : parts) {
        out += it;
    }
    return out;
}

inline std::string response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each in a thread of its own.
class server {
public:
    virtual ~server() = default;
    [[nodiscard]] const address& where() const { return where_; }

protected:
    void open()
    {
        listener_ = listen_on(where_);
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    const int on = 1;
                    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                    std::thread([this, fd] {
                        try {
                            serve(fd);
                        }
                        catch (...) {
                            // The connection ends.
                        }
                        ::close(fd);
                    }).detach();
                }
            }
        }).detach();
    }
    virtual void serve(int fd) = 0;

private:
    address where_;
    int listener_ = -1;
};

inline std::string base64(const std::string& in)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < in.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8U | (n + k < in.size() ? static_cast<unsigned char>(in[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += n + k <= in.size() ? letters[bits >> (18U - 6U * k) & 63U] : '=';
        }
    }
    return out;
}

/// The platform's store: `rows-get`, `rows-feed` and `rows-tx` of PROTOCOL.md. Values are kept as
/// they came (base64).
class store : public server {
public:
    store() { open(); }

    /// A write of the operator or of a backend server.
    void put(const std::string& table, const std::string& key, const json& value)
    {
        const std::lock_guard lock(mutex_);
        tables_[table][key] = {base64(value.dump()), ++version_, false};
        changed_.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        tables_[table][key] = {{}, ++version_, true};
        changed_.notify_all();
    }

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    void serve(int fd) override
    {
        std::string buf;
        message in;
        while (read_message(fd, buf, in, now_s() + 3600) == read_end::complete) {
            int status = 200;
            const auto body = answer(in, status);
            if (!send_all(fd, response(status, "Content-Type: application/json\r\nStore-Era: 1\r\n",
                                       body))) {
                return;
            }
        }
    }

    static std::string decoded(const std::string& in)
    {
        std::string out;
        for (std::size_t n = 0; n < in.size(); ++n) {
            if (in[n] == '%' && n + 2 < in.size()) {
                out += static_cast<char>(std::stoi(in.substr(n + 1, 2), nullptr, 16));
                n += 2;
            }
            else {
                out += in[n];
            }
        }
        return out;
    }

    static std::string query(const std::string& target, const std::string& name)
    {
        auto begin = target.find('?');
        while (begin != std::string::npos) {
            const auto end = target.find('&', begin + 1);
            const auto pair = target.substr(begin + 1, end == std::string::npos ? std::string::npos
                                                                                : end - begin - 1);
            if (pair.substr(0, name.size() + 1) == name + "=") {
                return decoded(pair.substr(name.size() + 1));
            }
            begin = end;
        }
        return {};
    }

    [[nodiscard]] std::string page(json rows, bool more) const
    {
        return json{{"rows", std::move(rows)},
                    {"row_version", version_},
                    {"has_more", more},
                    {"now_s", now_s()}}
            .dump();
    }

    static json shown(const std::string& table, const std::string& key, const row& it)
    {
        json out{{"table", table}, {"part", ""}, {"key", key}, {"row_version", it.version}};
        if (it.removed) {
            out["removed"] = true;
        }
        else {
            out["value"] = it.value;
        }
        return out;
    }

    std::string answer(const message& in, int& status)
    {
        const auto target = in.target();
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(mutex_);
        if (path == "/toucanpoint/rows-get") {
            return get(target);
        }
        if (path == "/toucanpoint/rows-feed") {
            return feed(target, lock);
        }
        if (path == "/toucanpoint/rows-tx") {
            return transaction(json::parse(in.body), status);
        }
        status = 404;
        return "{}";
    }

    std::string get(const std::string& target)
    {
        const auto table = query(target, "table");
        const auto from = query(target, "from");
        const auto end = query(target, "target");
        const auto asked = query(target, "limit");
        const std::size_t limit = asked.empty() ? 500 : std::min(500, std::stoi(asked));
        auto rows = json::array();
        for (const auto& [key, it] : tables_[table]) {
            if (it.removed || key < from || (!end.empty() && key >= end)) {
                continue;
            }
            if (rows.size() == limit) {
                return page(std::move(rows), true);
            }
            rows.push_back(shown(table, key, it));
        }
        return page(std::move(rows), false);
    }

    std::string feed(const std::string& target, std::unique_lock<std::mutex>& lock)
    {
        const auto table = query(target, "table");
        const auto after = std::stoull("0" + query(target, "after"));
        const auto until = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds(std::stoi("0" + query(target, "wait_ms")));
        while (true) {
            std::vector<std::pair<std::string, row>> news;
            for (const auto& [key, it] : tables_[table]) {
                if (it.version > after) {
                    news.emplace_back(key, it);
                }
            }
            if (!news.empty()) {
                std::sort(news.begin(), news.end(), [](const auto& a, const auto& b) {
                    return a.second.version < b.second.version;
                });
                auto rows = json::array();
                for (const auto& [key, it] : news) {
                    rows.push_back(shown(table, key, it));
                }
                return page(std::move(rows), false);
            }
            if (changed_.wait_until(lock, until) == std::cv_status::timeout) {
                return page(json::array(), false);
            }
        }
    }

    std::string transaction(const json& call, int& status)
    {
        auto rows = json::array();
        bool holds = true;
        for (const auto& it : call.at("expected_revision")) {
            auto& known = tables_[it.at("table")][it.at("key")];
            const auto version = known.removed ? 0 : known.version;
            holds = holds && version == it.at("row_version").get<std::uint64_t>();
            rows.push_back(shown(it.at("table"), it.at("key"), known));
        }
        if (!holds) {
            status = 412;
            return page(std::move(rows), false);
        }
        ++version_;
        for (const auto& it : call.at("puts")) {
            tables_[it.at("table")][it.at("key")] = {it.at("value"), version_, false};
        }
        for (const auto& it : call.at("remove")) {
            tables_[it.at("table")][it.at("key")] = {{}, version_, true};
        }
        changed_.notify_all();
        return page(json::array(), false);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 1;
};

/// A backend server. Registers itself, and runs one request at a time on a connection.
class backend : public server {
public:
    struct settings {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 9;
        double work_s = 0.02;
    };
    /// Called for a request that has run. Returns the bytes to send, or nothing for the usual
    /// answer.
    using behaviour = std::function<std::string(const backend&, const message&)>;

    backend(store& registry, record& log, settings it, behaviour special = {})
        : registry_(registry), log_(log), settings_(std::move(it)), special_(std::move(special))
    {
        open();
        std::thread([this] {
            for (int sequence = 1;; ++sequence) {
                registry_.put("servers", settings_.id,
                              {{"service", settings_.service},
                               {"address", where().text()},
                               {"zone", settings_.zone},
                               {"version", "v1"},
                               {"slots", settings_.slots},
                               {"state", "ready"},
                               {"cold_remaining_s", 0},
                               {"born", born_},
                               {"sequence", sequence}});
                sleep_s(1.5);
            }
        }).detach();
    }

    [[nodiscard]] const settings& own() const { return settings_; }

    /// Headers of every answer to a request that has run.
    [[nodiscard]] std::string headers(const message& in) const
    {
        return "X-Attempt-Id: " + in.header("X-Attempt-Id") + "\r\nX-Server-Seal: " + settings_.id +
               "." + in.header("X-Attempt-Id") + "\r\nX-Server-Load: " + std::to_string(running_) +
               ",0," + std::to_string(settings_.slots) + "\r\n";
    }

    /// Number of times that a request has run, by its id; `method path body-length` of each run.
    [[nodiscard]] std::map<std::string, std::vector<std::string>> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    void serve(int fd) override
    {
        std::string buf;
        message in;
        while (read_message(fd, buf, in, now_s() + 60) == read_end::complete) {
            if (!send_all(fd, answer(in))) {
                return;
            }
        }
    }

    std::string answer(const message& in)
    {
        const auto id = in.header("X-Attempt-Id");
        if (in.target() == "/health") {
            return response(200, "X-Instance-Id: " + settings_.id + "\r\n", {});
        }
        const auto expected = in.header("X-Expect-Instance");
        if (!expected.empty() && expected != settings_.id) {
            return response(421, "X-Not-Executed: 1\r\nX-Instance-Id: " + settings_.id + "\r\n",
                            {});
        }
        if (id.empty()) {
            return response(400, "X-Not-Executed: 1\r\n", {});
        }
        if (++running_ > settings_.slots) {
            --running_;
            return response(503, "X-Not-Executed: 1\r\nX-Attempt-Id: " + id + "\r\n", {});
        }
        {
            const std::lock_guard lock(mutex_);
            runs_[id].push_back(in.method() + " " + in.target() + " " +
                                std::to_string(in.body.size()));
        }
        log_.line("run server=%s id=%s %s %s body_bytes=%zu", settings_.id.c_str(), id.c_str(),
                  in.method().c_str(), in.target().substr(0, 60).c_str(), in.body.size());
        sleep_s(settings_.work_s);
        --running_;
        auto out = special_ ? special_(*this, in) : std::string();
        return out.empty() ? response(200, headers(in), "done " + id) : out;
    }

    store& registry_;
    record& log_;
    settings settings_;
    behaviour special_;
    std::atomic<int> running_{0};
    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> runs_;
    std::int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
};

/// One process of toucand, started with the command of deploy/system.toml.
class entry {
public:
    entry(std::string program, std::string folder, std::string name, std::string zone,
          std::string region)
        : program_(std::move(program)), folder_(std::move(folder)), name_(std::move(name)),
          zone_(std::move(zone)), region_(std::move(region))
    {
    }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry() { kill_now(); }

    address callers = free_address();
    address readiness = free_address();
    address directory = free_address();
    address peers = free_address();
    address metrics = free_address();

    /// Writes the settings as deploy/entry.toml gives them, with the figures of the example in
    /// `fleetbench wire` (a machine of 182 MB and 2,870 descriptors), and starts the process.
    void start(const address& store_address,
               const std::vector<std::pair<std::string, std::string>>& zones)
    {
        const auto path = folder_ + "/" + name_ + ".toml";
        std::ofstream out(path);
        out << "[daemon]\nname = \"" << name_ << "\"\nfailure_domain = \"" << zone_
            << "\"\nregion = \"" << region_
            << "\"\ncapacity_cores = 0.14\nmemory_mb = 182\nmax_descriptors = 2870\n\n[listen]\n"
            << "callers = \"" << callers.text() << "\"\nreadiness = \"" << readiness.text()
            << "\"\ndirectory = \"" << directory.text() << "\"\npeers = \"" << peers.text()
            << "\"\nmetrics = \"" << metrics.text() << "\"\n\n[store]\naddress = \""
            << store_address.text() << "\"\n\n[regions]\n";
        for (const auto& [zone, region] : zones) {
            out << '"' << zone << "\" = \"" << region << "\"\n";
        }
        out << "\n[bounds]\nstop_grace_s = 6\nmax_directory_lifetime_s = 5\nretry_ratio = 0.2\n"
               "retry_extra = 120\nretry_window_s = 10\ncold_factor = 1.5\ncold_slack = 5\n"
               "max_shift = 0.15\n";
        out.close();
        const auto log = folder_ + "/" + name_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            // Ends with the case, also if that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(program_.c_str(), program_.c_str(), "edge", "--settings", path.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    [[nodiscard]] bool ready() const
    {
        const int fd = connect_to(readiness);
        if (fd < 0) {
            return false;
        }
        std::string buf;
        message out;
        const bool ok = send_all(fd, "GET /toucanpoint/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                        read_message(fd, buf, out, now_s() + 1) == read_end::complete &&
                        out.status() == 200;
        ::close(fd);
        return ok;
    }

    /// Whether the process has ended by itself.
    [[nodiscard]] bool ended() const
    {
        int status = 0;
        return pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != 0;
    }

    /// Most memory so far, in kB.
    [[nodiscard]] long peak_kb() const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        while (in >> word) {
            if (word == "VmHWM:") {
                long kb = 0;
                in >> kb;
                return kb;
            }
        }
        return 0;
    }

    /// Processor time so far, in s.
    [[nodiscard]] double processor_s() const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
        std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        text.erase(0, text.rfind(')') + 2);
        std::vector<double> fields;
        std::size_t begin = 0;
        while (begin < text.size() && fields.size() < 14) {
            fields.push_back(std::atof(text.c_str() + begin));
            const auto end = text.find(' ', begin);
            begin = end == std::string::npos ? text.size() : end + 1;
        }
        return fields.size() < 13
                   ? 0
                   : (fields[11] + fields[12]) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }

    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] const std::string& name() const { return name_; }

    void kill_now()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    std::string zone_;
    std::string region_;
    pid_t pid_ = 0;
};

/// What all cases share: a store, the configuration, backend servers of the service `desk`, and
/// daemons in two failure domains of one region.
class deployment {
public:
    static constexpr const char* host = "desk.example";

    /// @param arguments program toucand, folder for settings and logs, path of record.txt.
    explicit deployment(const std::vector<std::string>& arguments)
        : program_(arguments.at(1)), folder_(arguments.at(2)), log(arguments.at(3))
    {
        ::signal(SIGPIPE, SIG_IGN);
        const char* asked = std::getenv("TROUBLE");
        trouble = asked == nullptr || std::string(asked) != "0";
        log.line("trouble=%d", trouble ? 1 : 0);
    }

    void start(int servers, const backend::behaviour& special, double work_s = 0.02)
    {
        const json service{{"health_path", "/health"}, {"max_connections", 720},
                           {"protocol", "h1"},         {"tls", false},
                           {"cold_start_s", 3.0},      {"warmup_per_s", 3.4}};
        const auto route = [](const char* prefix, const char* type) {
            return json{{"host", host},
                        {"prefix", prefix},
                        {"route_type", type},
                        {"timeout_s", 2.5},
                        {"target_latency_s", 0.6},
                        {"priority", 1},
                        {"service", "desk"},
                        {"max_attempts", 2},
                        {"cache_affinity", true},
                        {"allowed_regions", json::array()}};
        };
        registry.put(
            "op", "config",
            {{"version", 7},
             {"routes",
              {{"r-order", route("/order/", "unsafe")}, {"r-check", route("/check/", "safe")}}},
             {"services", {{"desk", service}}},
             {"limits",
              {{"max_header_bytes", 16384},
               {"max_body_bytes", 67108864},
               {"header_timeout_s", 3},
               {"idle_timeout_s", 15}}}});
        for (int n = 0; n < servers; ++n) {
            backends.push_back(std::make_unique<backend>(
                registry, log,
                backend::settings{"i-" + std::to_string(n + 1), "desk",
                                  n % 2 == 0 ? "west-a" : "west-b", 9, work_s},
                special));
        }
        for (const auto& [zone, region] : zones) {
            daemons.push_back(
                std::make_unique<entry>(program_, folder_, "entry-" + zone, zone, region));
            daemons.back()->start(registry.where(), zones);
        }
        const double until = now_s() + 30;
        for (const auto& it : daemons) {
            while (!it->ready()) {
                if (now_s() > until || it->ended()) {
                    throw std::runtime_error("daemon is not ready");
                }
                sleep_s(0.1);
            }
            log.line("ready %s", it->name().c_str());
        }
        sleep_s(2);
    }

    /// Ends the daemons. The threads of the stand-ins end with the process, which must not run
    /// destructors under them.
    [[noreturn]] void finish(int result)
    {
        for (const auto& it : daemons) {
            it->kill_now();
        }
        log.line("result=%s", result == rule_broken ? "rule broken"
                                                    : (result == rule_held ? "held" : "not run"));
        std::fflush(nullptr);
        std::_Exit(result);
    }

private:
    std::string program_;
    std::string folder_;

public:
    record log;
    bool trouble = true;
    const std::vector<std::pair<std::string, std::string>> zones{{"west-a", "west"},
                                                                 {"west-b", "west"}};
    store registry;
    std::vector<std::unique_ptr<backend>> backends;
    std::vector<std::unique_ptr<entry>> daemons;
};

/// Runs a case; an exception means that it could not run.
inline int run_case(int argc, char** argv, const std::function<int(deployment&)>& play)
{
    const std::vector<std::string> arguments(argv, argv + argc);
    if (arguments.size() < 4) {
        std::fprintf(stderr, "usage: %s TOUCAND FOLDER RECORD\n", argv[0]);
        return could_not_run;
    }
    auto* it = new deployment(arguments);
    int result = could_not_run;
    try {
        result = play(*it);
    }
    catch (const std::exception& ex) {
        it->log.line("could not run: %s", ex.what());
    }
    it->finish(result);
}

} // namespace rig
