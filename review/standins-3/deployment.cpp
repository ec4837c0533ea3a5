#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace review {

namespace {

constexpr milliseconds check_interval{50};
constexpr double kib_per_mib = 1024;

std::string address(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

deployment::deployment(std::string program, std::string folder, store& platform, record& log,
                       const std::vector<std::string>& zones, machine_settings settings)
    : program_(std::move(program)), folder_(std::move(folder)), platform_(platform), log_(log),
      settings_(settings)
{
    std::set<std::uint16_t> used;
    const auto port = [&] {
        auto it = free_port();
        while (!used.insert(it).second) {
            it = free_port();
        }
        return it;
    };
    for (const auto& zone : zones) {
        machine it;
        it.name = "front-" + zone + "-" + std::to_string(machines_.size() + 1);
        it.zone = zone;
        it.callers = port();
        it.readiness = port();
        it.directory = port();
        it.peers = port();
        it.metrics = port();
        machines_.push_back(it);
    }
    for (auto& it : machines_) {
        start(it);
    }
}

deployment::~deployment()
{
    for (auto& it : machines_) {
        kill(it);
    }
}

std::string deployment::settings_of(const machine& it) const
{
    std::ostringstream out;
    out << "[daemon]\nname = \"" << it.name << "\"\nfailure_domain = \"" << it.zone
        << "\"\nregion = \"randstad\"\ncapacity_cores = 0.14\nmemory_mb = " << settings_.memory_mb
        << "\nmax_descriptors = 2870\n[listen]\ncallers = " << address(it.callers)
        << "readiness = " << address(it.readiness) << "directory = " << address(it.directory)
        << "peers = " << address(it.peers) << "metrics = " << address(it.metrics)
        << "[store]\naddress = " << address(platform_.port())
        << "[regions]\n\"rs-a\" = \"randstad\"\n\"rs-b\" = \"randstad\"\n"
        << "[bounds]\nstop_grace_s = " << settings_.grace_s
        << "\nmax_directory_lifetime_s = 5\nretry_ratio = 0.2\n"
        << "retry_extra = " << settings_.budget_extra
        << "\nretry_window_s = 10\ncold_factor = 1.5\ncold_slack = 5\nmax_shift = 0.15\n";
    return out.str();
}

std::string deployment::settings_path(const machine& it) const
{
    return folder_ + "/" + it.name + ".toml";
}

void deployment::change_grace(const machine& it, double grace_s)
{
    settings_.grace_s = grace_s;
    std::ofstream(settings_path(it)) << settings_of(it);
    log_.add("the settings file of " + it.name +
             " changes: stop_grace_s = " + std::to_string(grace_s));
}

void deployment::send_signal(const machine& it, int number)
{
    if (it.pid > 0) {
        ::kill(it.pid, number);
    }
}

void deployment::start(machine& it)
{
    const auto path = settings_path(it);
    std::ofstream(path) << settings_of(it);
    const auto output = folder_ + "/" + it.name + ".log";
    const pid_t child = ::fork();
    if (child == 0) {
        // The process must not outlive the case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::execl(program_.c_str(), program_.c_str(), "edge", "--settings", path.c_str(), nullptr);
        ::_exit(127);
    }
    it.pid = child;
    log_.add("start " + it.name);
}

void deployment::kill(machine& it)
{
    if (it.pid > 0) {
        ::kill(it.pid, SIGKILL);
        ::waitpid(it.pid, nullptr, 0);
        it.pid = -1;
        log_.add("kill " + it.name);
    }
}

bool deployment::ended(machine& it)
{
    int status = 0;
    if (it.pid <= 0 || ::waitpid(it.pid, &status, WNOHANG) != it.pid) {
        return it.pid <= 0;
    }
    it.pid = -1;
    log_.add(it.name + " has ended by itself, wait status " + std::to_string(status));
    return true;
}

bool deployment::ready(const machine& it, milliseconds limit)
{
    auto to = link::to(it.readiness);
    if (!to.open() ||
        !to.send("GET /toucanpoint/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto answer = to.read(limit, true);
    return answer && answer->status() == 200;
}

bool deployment::wait_until_ready(milliseconds limit)
{
    const auto until = elapsed() + limit;
    for (const auto& it : machines_) {
        while (!ready(it, check_interval)) {
            if (elapsed() > until) {
                return false;
            }
            std::this_thread::sleep_for(check_interval);
        }
    }
    return true;
}

double deployment::memory_mb(const machine& it, const std::string& figure)
{
    std::ifstream status("/proc/" + std::to_string(it.pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.compare(0, figure.size() + 1, figure + ":") == 0) {
            return std::strtod(line.c_str() + figure.size() + 1, nullptr) / kib_per_mib;
        }
    }
    return 0;
}

} // namespace review
