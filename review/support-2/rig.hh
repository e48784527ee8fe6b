// Rig of the scripts of this review: starts nodes with the command of the deploy file on loopback
// addresses, and has small HTTP clients and stand-in instances. POSIX only, header only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline auto nowMs() -> std::int64_t
{
    return std::chrono::duration_cast<ms>(steady::now().time_since_epoch()).count();
}

inline auto wallMs() -> std::int64_t
{
    return std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

inline auto sleepMs(std::int64_t time) -> void
{
    std::this_thread::sleep_for(ms(time));
}

// Writes record.txt: what was sent, answered and run, with milliseconds since the start.
class recorder
{
public:
    explicit recorder(const std::string &path) : m_file(std::fopen(path.c_str(), "w")) {}
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        for (auto *out : {m_file, stdout}) {
            if (out != nullptr) {
                std::fprintf(out, "%8lld %s\n", static_cast<long long>(nowMs() - m_start), text);
                std::fflush(out);
            }
        }
    }

private:
    std::FILE *m_file;
    std::int64_t m_start = nowMs();
    std::mutex m_mutex;
};

struct address
{
    std::string ip;
    int port = 0;
};

inline auto toSockaddr(const address &item) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(item.port));
    inet_pton(AF_INET, item.ip.c_str(), &out.sin_addr);
    return out;
}

inline auto bindListener(const address &item) -> int
{
    const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto target = toSockaddr(item);
    if (bind(file, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0
        || listen(file, 512) != 0) {
        close(file);
        return -1;
    }
    return file;
}

// Blocking connection with a deadline for each step.
class connection
{
public:
    connection() = default;
    explicit connection(int file) : m_file(file) {}
    connection(connection &&other) noexcept
        : m_file(std::exchange(other.m_file, -1)), m_buffer(std::move(other.m_buffer))
    {}
    auto operator=(connection &&other) noexcept -> connection &
    {
        reset();
        m_file = std::exchange(other.m_file, -1);
        m_buffer = std::move(other.m_buffer);
        return *this;
    }
    ~connection() { reset(); }

    auto reset() -> void
    {
        if (m_file >= 0) {
            close(std::exchange(m_file, -1));
        }
    }
    [[nodiscard]] auto isOpen() const -> bool { return m_file >= 0; }
    [[nodiscard]] auto file() const -> int { return m_file; }

    auto connect(const address &to, std::int64_t deadline) -> bool
    {
        reset();
        m_buffer.clear();
        m_file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int yes = 1;
        setsockopt(m_file, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        const auto target = toSockaddr(to);
        if (::connect(m_file, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0
            && errno != EINPROGRESS) {
            reset();
            return false;
        }
        int error = 0;
        socklen_t size = sizeof(error);
        if (!waitFor(POLLOUT, deadline)
            || getsockopt(m_file, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            reset();
            return false;
        }
        return true;
    }

    auto send(std::string_view bytes, std::int64_t deadline) -> bool
    {
        while (!bytes.empty()) {
            const auto count = ::send(m_file, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(count));
            } else if (count < 0 && errno == EAGAIN) {
                if (!waitFor(POLLOUT, deadline)) {
                    return false;
                }
            } else {
                return false;
            }
        }
        return true;
    }

    // Reads more into the buffer; false at the end, after an error or at the deadline.
    auto readMore(std::int64_t deadline) -> bool
    {
        if (m_file < 0 || !waitFor(POLLIN, deadline)) {
            m_timedOut = m_file >= 0;
            return false;
        }
        char part[16384];
        const auto count = ::recv(m_file, part, sizeof(part), MSG_DONTWAIT);
        if (count <= 0) {
            m_wasReset = count < 0;
            m_timedOut = false;
            return false;
        }
        m_buffer.append(part, static_cast<std::size_t>(count));
        return true;
    }
    auto buffer() -> std::string & { return m_buffer; }
    [[nodiscard]] auto timedOut() const -> bool { return m_timedOut; }
    [[nodiscard]] auto wasReset() const -> bool { return m_wasReset; }

private:
    auto waitFor(short events, std::int64_t deadline) -> bool
    {
        while (true) {
            const auto left = deadline - nowMs();
            if (left <= 0) {
                return false;
            }
            pollfd item{m_file, events, 0};
            const int result = poll(&item, 1, static_cast<int>(std::min<std::int64_t>(left, 1000)));
            if (result > 0) {
                return true;
            }
            if (result < 0 && errno != EINTR) {
                return false;
            }
        }
    }

    int m_file = -1;
    std::string m_buffer;
    bool m_timedOut = false;
    bool m_wasReset = false;
};

struct message
{
    std::string startLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool isComplete = false;

    [[nodiscard]] auto header(const std::string &name) const -> std::string
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    [[nodiscard]] auto status() const -> int
    {
        return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
    }
};

inline auto parseHead(const std::string &head, message &out) -> void
{
    std::istringstream lines(head);
    std::string text;
    std::getline(lines, text);
    out.startLine = text.substr(0, text.find('\r'));
    while (std::getline(lines, text)) {
        text = text.substr(0, text.find('\r'));
        const auto colon = text.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = text.substr(0, colon);
        for (auto &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        auto value = text.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers[name] = value;
    }
}

// Reads one request or response with a length or in chunks. Nothing: no head arrived.
inline auto readMessage(connection &from, std::int64_t deadline, bool isResponse)
        -> std::optional<message>
{
    auto &buffer = from.buffer();
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!from.readMore(deadline)) {
            return std::nullopt;
        }
    }
    message out;
    parseHead(buffer.substr(0, end + 2), out);
    buffer.erase(0, end + 4);
    if (out.header("transfer-encoding") == "chunked") {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer.find("\r\n")) == std::string::npos) {
                if (!from.readMore(deadline)) {
                    return out;
                }
            }
            const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < lineEnd + 2 + size + 2) {
                if (!from.readMore(deadline)) {
                    return out;
                }
            }
            out.body += buffer.substr(lineEnd + 2, size);
            buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                out.isComplete = true;
                return out;
            }
        }
    }
    const auto length = out.header("content-length");
    if (length.empty() && isResponse && out.status() != 204) {
        while (from.readMore(deadline)) {
        }
        out.body = std::exchange(buffer, {});
        out.isComplete = !from.timedOut() && !from.wasReset();
        return out;
    }
    const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
    while (buffer.size() < size) {
        if (!from.readMore(deadline)) {
            out.body = std::exchange(buffer, {});
            return out;
        }
    }
    out.body = buffer.substr(0, size);
    buffer.erase(0, size);
    out.isComplete = true;
    return out;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

inline auto formatRequest(const std::string &method, const std::string &path,
                          const header_list &headers, const std::string &body) -> std::string
{
    std::string out = method + " " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "PUT" || method == "POST" || method == "PATCH") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

// One call on a new connection. Nothing: no complete answer in time.
inline auto call(const address &to, const std::string &method, const std::string &path,
                 const header_list &headers, const std::string &body, std::int64_t timeoutMs)
        -> std::optional<message>
{
    const auto deadline = nowMs() + timeoutMs;
    connection link;
    if (!link.connect(to, deadline)
        || !link.send(formatRequest(method, path, headers, body), deadline)) {
        return std::nullopt;
    }
    auto answer = readMessage(link, deadline, true);
    return answer && answer->isComplete ? answer : std::nullopt;
}

// A node of the deploy file's program; ended by the destructor.
class process
{
public:
    ~process() { kill(); }
    auto start(const std::string &settings, const std::string &log) -> void
    {
        m_log = log;
        m_id = fork();
        if (m_id == 0) {
            // The node ends with the program that started it, whatever ends that.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(file, 1);
            dup2(file, 2);
            // As the platform: no variables but a few.
            char path[] = "PATH=/usr/bin:/bin";
            char *environment[] = {path, nullptr};
            const auto argument = "--settings=" + settings;
            const char *arguments[] = {"target/hawthornpick", "mesh", argument.c_str(), nullptr};
            execve("target/hawthornpick", const_cast<char **>(arguments), environment);
            _exit(127);
        }
    }
    auto signal(int number) const -> void
    {
        if (m_id > 0) {
            ::kill(m_id, number);
        }
    }
    auto kill() -> void
    {
        if (m_id > 0) {
            ::kill(m_id, SIGKILL);
            int status = 0;
            waitpid(m_id, &status, 0);
            m_id = 0;
        }
    }
    // True if the process has ended by itself.
    auto hasEnded(int &status) -> bool
    {
        if (m_id > 0 && waitpid(m_id, &status, WNOHANG) == m_id) {
            m_id = 0;
            return true;
        }
        return false;
    }
    [[nodiscard]] auto id() const -> pid_t { return m_id; }
    [[nodiscard]] auto logText() const -> std::string
    {
        std::ifstream in(m_log);
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

private:
    pid_t m_id = 0;
    std::string m_log;
};

struct node
{
    std::string name;
    std::string ip;
    std::string zone;
    bool isCore = false;
    std::string service;
    bool hasStarted = false;
    process running;
};

constexpr int INBOUND = 8366;
constexpr int OUTBOUND = 8365;
constexpr int READY = 8369;
constexpr int CONTROL = 8367;
constexpr int APP = 8363;
constexpr int PEER = 7780;

// Cores and edges of a small deployment in one region with two zones. The addresses are of
// 127.0.0.0/8; the third byte is chosen so that the ports are free.
class fleet
{
public:
    fleet(int cores, const std::vector<std::string> &services, std::string extra = {})
        : m_extra(std::move(extra))
    {
        char pattern[] = "/tmp/review-XXXXXX";
        m_folder = mkdtemp(pattern);
        m_network = freeNetwork();
        for (int i = 0; i < cores + static_cast<int>(services.size()); ++i) {
            auto item = std::make_unique<node>();
            item->isCore = i < cores;
            item->name = (item->isCore ? "core-" : "edge-") + std::to_string(i);
            item->ip = m_network + "." + std::to_string(10 + i);
            item->zone = i % 2 == 0 ? "z-a" : "z-b";
            item->service = item->isCore ? "" : services[static_cast<std::size_t>(i - cores)];
            nodes.push_back(std::move(item));
        }
    }
    ~fleet()
    {
        nodes.clear();
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_folder, ignored);
        } else {
            std::printf("logs kept in %s\n", m_folder.c_str());
        }
    }
    auto start(std::size_t index) -> void
    {
        auto &item = *nodes[index];
        writeSettings(item);
        item.hasStarted = true;
        item.running.start(m_folder + "/" + item.name + ".ini", m_folder + "/" + item.name + ".log");
    }
    auto startAll() -> void
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            start(i);
        }
    }
    [[nodiscard]] auto at(std::size_t index, int port) const -> address
    {
        return {nodes[index]->ip, port};
    }
    [[nodiscard]] auto coreCount() const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto &item : nodes) {
            count += item->isCore ? 1 : 0;
        }
        return count;
    }
    // The core that logged last that it leads, or -1.
    auto leader() -> int
    {
        std::string newest;
        int found = -1;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i]->isCore) {
                continue;
            }
            const auto text = nodes[i]->running.logText();
            const auto position = text.rfind("\"role\":\"leader\"");
            const auto other = text.rfind("group role changed");
            if (position == std::string::npos || text.find("\n", position) < other) {
                continue;
            }
            const auto lineStart = text.rfind('\n', position) + 1;
            const auto line = text.substr(lineStart, text.find('\n', position) - lineStart);
            const auto term = line.find("\"term\":");
            const auto number = term == std::string::npos ? std::string("0") : line.substr(term + 7, 8);
            if (found < 0 || std::atoi(number.c_str()) > std::atoi(newest.c_str())) {
                newest = number;
                found = static_cast<int>(i);
            }
        }
        return found;
    }
    [[nodiscard]] auto folder() const -> const std::string & { return m_folder; }

    std::vector<std::unique_ptr<node>> nodes;

private:
    static auto freeNetwork() -> std::string
    {
        for (int i = 0; i < 200; ++i) {
            const auto network = "127." + std::to_string(40 + (getpid() + i) % 60) + "."
                                 + std::to_string((getpid() / 60 + i) % 250);
            const int file = bindListener({network + ".10", CONTROL});
            if (file >= 0) {
                close(file);
                return network;
            }
        }
        return "127.39.1";
    }
    // What deploy/node.ini.template becomes with the values of DEPLOY.md.
    auto writeSettings(const node &item) const -> void
    {
        std::ofstream out(m_folder + "/" + item.name + ".ini");
        out << "[node]\nname = " << item.name << "\nregion = r-1\nfailure_domain = " << item.zone
            << "\naddress = " << item.ip << "\npeer_port = " << PEER << "\ndata_folder = "
            << (item.isCore ? m_folder + "/data-" + item.name : "") << "\nstop_time = 6s\n\n[listen]\n"
            << "control = " << item.ip << ":" << CONTROL << "\ncallers = "
            << (item.isCore ? "" : item.ip + ":" + std::to_string(OUTBOUND)) << "\nready = "
            << (item.isCore ? "" : item.ip + ":" + std::to_string(READY)) << "\n\n[upstream]\nservice = "
            << item.service << "\naddress = "
            << (item.isCore ? "" : item.ip + ":" + std::to_string(APP))
            << "\nheartbeat = 1500ms\ncold_overage = \n\n[fleet]\nfirst_start = "
            << (item.hasStarted ? "false" : "true") << "\nsecret = mesh-link-secret\n";
        for (std::size_t i = 0; i < std::min<std::size_t>(3, coreCount()); ++i) {
            out << "seed = " << nodes[i]->ip << ":" << CONTROL << "\n";
        }
        out << "\n[repeats]\nshare = 0.2\nslack = 58\nwindow = 10s\n\n[topology]\n"
            << "domain = z-a:r-1\ndomain = z-b:r-1\n\n[platform]\n"
            << "options = base,drain,config,cost,retry,recover,health,tenants,quota\n"
            << m_extra;
    }

    std::string m_extra;
    std::string m_folder;
    std::string m_network;
};

inline auto versionText(std::uint64_t version) -> std::string
{
    char text[20];
    std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(version));
    return text;
}

struct route
{
    std::string name;
    std::string prefix;
    std::string type;
    std::string service;
};

inline auto configuration(std::uint64_t version, const std::vector<std::string> &services,
                          const std::vector<route> &routes, const std::string &timeout = "4000ms")
        -> std::string
{
    std::string out = "{\"version\":\"" + versionText(version) + "\",\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i) {
        out += (i == 0 ? "" : ",") + std::string("{\"name\":\"") + services[i]
               + "\",\"health_path\":\"/health\",\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false}";
    }
    out += "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header\":\"3000ms\",\"idle\":\"15000ms\"},"
           "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-of-tenant-a-0001\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}],"
           "\"hosts\":[{\"host\":\"app.example\",\"paths\":[";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        out += (i == 0 ? "" : ",") + std::string("{\"name\":\"") + routes[i].name
               + "\",\"path_prefix\":\"" + routes[i].prefix + "\",\"type\":\"" + routes[i].type
               + "\",\"timeout\":\"" + timeout + "\",\"target_latency\":\"600ms\",\"priority\":1,\"service\":\""
               + routes[i].service + "\",\"max_attempts\":2,\"no_auth\":false}";
    }
    return out + "]}]}";
}

inline auto versionOf(const std::string &document) -> std::uint64_t
{
    const auto position = document.find("\"version\":\"");
    return position == std::string::npos
                   ? 0
                   : std::strtoull(document.c_str() + position + 11, nullptr, 16);
}

} // namespace rig
