// Stand-ins of the platform, its instances, clients and operator, for the review cases. They follow
// PROTOCOL.md and DEPLOY.md. Everything runs on loopback addresses with plain sockets and threads.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
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
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

using steady = std::chrono::steady_clock;

inline const auto PROCESS_START = steady::now();

// Milliseconds since the start of the script.
inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(steady::now() - PROCESS_START).count();
}

inline std::uint64_t wallMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
}

inline void sleepMs(double ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
    }
}

inline bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Writes record.txt.
class recorder
{
public:
    static recorder &get()
    {
        static recorder instance;
        return instance;
    }
    void open(const std::string &path) { m_file = std::fopen(path.c_str(), "w"); }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard lock(m_mutex);
        if (m_file == nullptr) {
            return;
        }
        std::fprintf(m_file, "%10.1f ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE *m_file = nullptr;
    std::mutex m_mutex;
};

#define RECORD(...) ::standin::recorder::get().line(__VA_ARGS__)

// ---------------------------------------------------------------------------------- sockets

struct endpoint
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const endpoint &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

// A TCP connection. Reads and writes wait at most until a deadline in `nowMs` time.
class connection
{
public:
    connection() = default;
    explicit connection(int file) : m_file(file) { setOptions(); }
    connection(connection &&other) noexcept
        : m_file(std::exchange(other.m_file, -1)), m_input(std::move(other.m_input))
    {}
    connection &operator=(connection &&other) noexcept
    {
        if (this != &other) {
            close();
            m_file = std::exchange(other.m_file, -1);
            m_input = std::move(other.m_input);
        }
        return *this;
    }
    ~connection() { close(); }

    // `receiveBuffer` of 0 keeps the default size.
    static std::optional<connection> connect(const endpoint &to, double timeoutMs,
                                             int receiveBuffer = 0)
    {
        const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (file < 0) {
            return std::nullopt;
        }
        connection out(file);
        if (receiveBuffer > 0) {
            ::setsockopt(file, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        const auto address = toSockaddr(to);
        if (::connect(file, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
            return out;
        }
        if (errno != EINPROGRESS || !out.wait(POLLOUT, nowMs() + timeoutMs)) {
            return std::nullopt;
        }
        int error = 0;
        socklen_t length = sizeof(error);
        ::getsockopt(file, SOL_SOCKET, SO_ERROR, &error, &length);
        return error == 0 ? std::optional(std::move(out)) : std::nullopt;
    }

    bool isOpen() const { return m_file >= 0; }
    int file() const { return m_file; }
    std::string &input() { return m_input; }

    bool write(std::string_view bytes, double deadlineMs)
    {
        while (!bytes.empty()) {
            const auto count = ::send(m_file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(count));
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                if (!wait(POLLOUT, deadlineMs)) {
                    return false;
                }
                continue;
            }
            return false;
        }
        return true;
    }

    enum class read_result { Data, End, Reset, Timeout };

    // Appends what arrives to `input()`.
    read_result readMore(double deadlineMs, std::size_t most = 65536)
    {
        std::string buffer(most, '\0');
        while (true) {
            const auto count = ::recv(m_file, buffer.data(), buffer.size(), 0);
            if (count > 0) {
                m_input.append(buffer.data(), static_cast<std::size_t>(count));
                return read_result::Data;
            }
            if (count == 0) {
                return read_result::End;
            }
            if (errno != EAGAIN && errno != EINTR) {
                return read_result::Reset;
            }
            if (!wait(POLLIN, deadlineMs)) {
                return read_result::Timeout;
            }
        }
    }

    // True if the peer has closed or reset the connection.
    bool isPeerGone()
    {
        char byte = 0;
        const auto count = ::recv(m_file, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    }

    void close()
    {
        if (m_file >= 0) {
            ::close(std::exchange(m_file, -1));
        }
    }
    void reset()
    {
        if (m_file >= 0) {
            const linger option{1, 0};
            ::setsockopt(m_file, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
            close();
        }
    }

private:
    void setOptions()
    {
        const int on = 1;
        ::setsockopt(m_file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    bool wait(short events, double deadlineMs)
    {
        while (true) {
            const double remaining = deadlineMs - nowMs();
            if (remaining <= 0) {
                return false;
            }
            pollfd item{m_file, events, 0};
            const int count = ::poll(&item, 1, static_cast<int>(std::min(remaining + 1, 1000.0)));
            if (count > 0) {
                return true;
            }
            if (count < 0 && errno != EINTR) {
                return false;
            }
        }
    }

    int m_file = -1;
    std::string m_input;
};

// Opens a listening socket; -1 if the address is in use.
inline int listenOn(const endpoint &at)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = toSockaddr(at);
    if (::bind(file, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(file, 256) != 0) {
        ::close(file);
        return -1;
    }
    return file;
}

// ---------------------------------------------------------------------------------- HTTP/1.1

using header_map = std::map<std::string, std::string>; // names in lower case

inline std::string lower(std::string text)
{
    for (auto &item : text) {
        item = static_cast<char>(std::tolower(static_cast<unsigned char>(item)));
    }
    return text;
}

inline header_map parseHeaders(const std::string &head, std::string &firstLine)
{
    header_map headers;
    std::istringstream stream(head);
    std::string line;
    std::getline(stream, firstLine);
    if (!firstLine.empty() && firstLine.back() == '\r') {
        firstLine.pop_back();
    }
    while (std::getline(stream, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        headers[lower(line.substr(0, colon))] = value;
    }
    return headers;
}

struct http_request
{
    std::string method;
    std::string target;
    header_map headers;
    std::string body;
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
};

enum class message_end {
    Complete,  // with its length or last chunk
    Closed,    // the connection ended first
    Reset,     // the connection was reset first
    Timeout,   // the deadline passed first
};

struct http_answer
{
    int status = 0; // 0: no head arrived
    header_map headers;
    std::string body;
    message_end end = message_end::Timeout;
    double ms = 0;
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
    bool isComplete() const { return status > 0 && end == message_end::Complete; }
};

inline const char *endName(message_end end)
{
    switch (end) {
    case message_end::Complete:
        return "complete";
    case message_end::Closed:
        return "closed early";
    case message_end::Reset:
        return "reset";
    case message_end::Timeout:
        return "never ended";
    }
    return "";
}

// Reads a body of the given framing from the connection. `pace` is called after each read.
inline message_end readBody(connection &from, const header_map &headers, bool endsWithConnection,
                            double deadlineMs, std::string &body, std::size_t readBytes = 65536,
                            const std::function<void(std::size_t)> &pace = {})
{
    const auto more = [&]() -> std::optional<message_end> {
        const auto before = from.input().size();
        const auto result = from.readMore(deadlineMs, readBytes);
        if (pace) {
            pace(from.input().size() - before);
        }
        switch (result) {
        case connection::read_result::Data:
            return std::nullopt;
        case connection::read_result::End:
            return message_end::Closed;
        case connection::read_result::Reset:
            return message_end::Reset;
        case connection::read_result::Timeout:
            return message_end::Timeout;
        }
        return message_end::Timeout;
    };
    const auto coding = headers.find("transfer-encoding");
    if (coding != headers.end()) {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = from.input().find("\r\n")) == std::string::npos) {
                if (const auto ended = more()) {
                    return *ended;
                }
            }
            const auto size = std::strtoull(from.input().c_str(), nullptr, 16);
            while (from.input().size() < lineEnd + 2 + size + 2) {
                if (const auto ended = more()) {
                    return *ended;
                }
            }
            body.append(from.input(), lineEnd + 2, size);
            from.input().erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return message_end::Complete;
            }
        }
    }
    const auto length = headers.find("content-length");
    if (length == headers.end()) {
        if (!endsWithConnection) {
            return message_end::Complete;
        }
        while (true) {
            body += std::exchange(from.input(), {});
            if (const auto ended = more()) {
                return *ended == message_end::Closed ? message_end::Complete : *ended;
            }
        }
    }
    const auto wanted = std::strtoull(length->second.c_str(), nullptr, 10);
    body.reserve(wanted);
    while (true) {
        const auto count = std::min<std::size_t>(wanted - body.size(), from.input().size());
        body.append(from.input(), 0, count);
        from.input().erase(0, count);
        if (body.size() >= wanted) {
            return message_end::Complete;
        }
        if (const auto ended = more()) {
            return *ended;
        }
    }
}

inline std::optional<std::string> readHead(connection &from, double deadlineMs, message_end &end)
{
    std::size_t position = 0;
    while ((position = from.input().find("\r\n\r\n")) == std::string::npos) {
        switch (from.readMore(deadlineMs)) {
        case connection::read_result::Data:
            break;
        case connection::read_result::End:
            end = message_end::Closed;
            return std::nullopt;
        case connection::read_result::Reset:
            end = message_end::Reset;
            return std::nullopt;
        case connection::read_result::Timeout:
            end = message_end::Timeout;
            return std::nullopt;
        }
    }
    auto head = from.input().substr(0, position + 2);
    from.input().erase(0, position + 4);
    return head;
}

// Reads one answer.
inline http_answer readAnswer(connection &from, double deadlineMs, std::size_t readBytes = 65536,
                              const std::function<void(std::size_t)> &pace = {})
{
    http_answer answer;
    const auto start = nowMs();
    while (true) {
        const auto head = readHead(from, deadlineMs, answer.end);
        if (!head) {
            answer.ms = nowMs() - start;
            return answer;
        }
        std::string firstLine;
        answer.headers = parseHeaders(*head, firstLine);
        answer.status = firstLine.size() > 9 ? std::atoi(firstLine.c_str() + 9) : 0;
        if (answer.status >= 200 || answer.status == 0) {
            break;
        }
    }
    if (answer.status == 204 || answer.status == 304) {
        answer.end = message_end::Complete;
    } else {
        answer.end = readBody(from, answer.headers, true, deadlineMs, answer.body, readBytes, pace);
    }
    answer.ms = nowMs() - start;
    return answer;
}

inline http_answer call(const endpoint &to, const std::string &method, const std::string &path,
                        const std::string &headers, const std::string &body, double timeoutMs)
{
    auto opened = connection::connect(to, timeoutMs);
    if (!opened) {
        return {};
    }
    const auto deadline = nowMs() + timeoutMs;
    const auto text = method + " " + path + " HTTP/1.1\r\nHost: " + to.text() + "\r\n" + headers
                      + "Content-Type: application/json\r\nContent-Length: "
                      + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    if (!opened->write(text, deadline)) {
        return {};
    }
    return readAnswer(*opened, deadline);
}

// ---------------------------------------------------------------------------------- fleet

struct machine
{
    std::string name;
    std::string ip;
    bool isCore = false;
    std::string service;
    std::string zone;
    std::string region;
    pid_t pid = 0;
    bool hasStarted = false;
};

struct ports
{
    int control, callers, ready, instance, peer;
};

// Processes of the project, started with the commands and the settings template of deploy/.
class fleet
{
public:
    // `services` names the service of each sidecar machine.
    fleet(int cores, std::vector<std::string> services)
    {
        m_root = std::filesystem::current_path();
        if (!std::filesystem::exists(m_root / "target/hawthornpick")) {
            unable("target/hawthornpick is missing; build it with the command of the deploy file");
        }
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
        static const char *const ZONES[4][2] = {
                {"zone-a", "north"}, {"zone-b", "west"}, {"zone-c", "north"}, {"zone-d", "west"}};
        const auto count = cores + static_cast<int>(services.size());
        for (int i = 0; i < count; ++i) {
            machine item;
            item.isCore = i < cores;
            item.name = (item.isCore ? "core-" : "sidecar-") + std::to_string(i);
            const auto *zone = ZONES[item.isCore ? i % 4 : (i - cores) % 4];
            item.zone = zone[0];
            item.region = zone[1];
            item.service = item.isCore ? "" : services[static_cast<std::size_t>(i - cores)];
            m_machines.push_back(item);
        }
        chooseAddresses();
    }
    ~fleet()
    {
        for (auto &item : m_machines) {
            if (item.pid > 0) {
                ::kill(item.pid, SIGKILL);
                ::waitpid(item.pid, nullptr, 0);
            }
        }
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder, ignored);
        } else {
            std::fprintf(stderr, "kept %s\n", m_folder.c_str());
        }
    }

    [[noreturn]] static void unable(const std::string &reason)
    {
        std::fprintf(stderr, "the case could not run: %s\n", reason.c_str());
        RECORD("could not run: %s", reason.c_str());
        std::fflush(nullptr);
        ::_exit(2);
    }

    std::vector<machine> &machines() { return m_machines; }
    machine &at(int i) { return m_machines.at(static_cast<std::size_t>(i)); }
    int size() const { return static_cast<int>(m_machines.size()); }
    endpoint control(int i) { return {at(i).ip, m_ports.control}; }
    endpoint callers(int i) { return {at(i).ip, m_ports.callers}; }
    endpoint ready(int i) { return {at(i).ip, m_ports.ready}; }
    endpoint instance(int i) { return {at(i).ip, m_ports.instance}; }
    std::map<std::string, std::string> &bounds() { return m_bounds; }

    std::vector<int> cores()
    {
        std::vector<int> out;
        for (int i = 0; i < size(); ++i) {
            if (at(i).isCore) {
                out.push_back(i);
            }
        }
        return out;
    }
    std::vector<int> sidecars()
    {
        std::vector<int> out;
        for (int i = 0; i < size(); ++i) {
            if (!at(i).isCore) {
                out.push_back(i);
            }
        }
        return out;
    }

    void start(int i)
    {
        auto &item = at(i);
        writeSettings(i);
        item.hasStarted = true;
        const auto settings = "--settings=" + settingsFile(i);
        const auto log = (m_folder / (item.name + ".log")).string();
        const auto binary = (m_root / "target/hawthornpick").string();
        const auto root = m_root.string();
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(root.c_str()) != 0) {
                ::_exit(126);
            }
            ::execl(binary.c_str(), binary.c_str(), "mesh", settings.c_str(), nullptr);
            ::_exit(127);
        }
        item.pid = pid;
        RECORD("process %s started, pid %d", item.name.c_str(), static_cast<int>(pid));
    }
    void startAll()
    {
        for (int i = 0; i < size(); ++i) {
            start(i);
        }
    }
    void signal(int i, int number)
    {
        RECORD("signal %d to %s", number, at(i).name.c_str());
        if (at(i).pid > 0) {
            ::kill(at(i).pid, number);
        }
    }
    // Waits for the end of a process; returns its wait status, or nothing.
    std::optional<int> waitForEnd(int i, double timeoutMs)
    {
        const auto deadline = nowMs() + timeoutMs;
        while (nowMs() < deadline) {
            int status = 0;
            if (::waitpid(at(i).pid, &status, WNOHANG) == at(i).pid) {
                at(i).pid = 0;
                RECORD("process %s ended, %s %d", at(i).name.c_str(),
                       WIFSIGNALED(status) ? "signal" : "exit",
                       WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
                return status;
            }
            sleepMs(2);
        }
        return std::nullopt;
    }
    void kill(int i)
    {
        signal(i, SIGKILL);
        waitForEnd(i, 5000);
    }

    std::string settingsFile(int i) { return (m_folder / (at(i).name + ".conf")).string(); }

    void writeSettings(int i)
    {
        const auto &item = at(i);
        std::map<std::string, std::string> values{
                {"node_name", item.name},
                {"region", item.region},
                {"zone", item.zone},
                {"ip", item.ip},
                {"internal_port_range.0", std::to_string(m_ports.peer)},
                {"data_dir", item.isCore ? (m_folder / ("data-" + item.name)).string() : ""},
                {"listen_addrs.control", control(i).text()},
                {"listen_addrs.outbound", item.isCore ? "" : callers(i).text()},
                {"listen_addrs.ready", item.isCore ? "" : ready(i).text()},
                {"service", item.service},
                {"app_addr", item.isCore ? "" : instance(i).text()},
                {"heartbeat", "1500ms"},
                {"bootstrap", item.hasStarted ? "false" : "true"}};
        for (const auto &[name, value] : m_bounds) {
            values["bounds." + name] = value;
        }
        std::ifstream file(m_root / "deploy/node.ini.template");
        std::string text((std::istreambuf_iterator<char>(file)), {});
        if (text.empty()) {
            unable("deploy/node.ini.template is missing");
        }
        const std::string open = "{{#seed_nodes}}";
        const std::string close = "{{/seed_nodes}}";
        if (const auto begin = text.find(open); begin != std::string::npos) {
            const auto end = text.find(close, begin);
            const auto inner = text.substr(begin + open.size(), end - begin - open.size());
            std::string seeds;
            int count = 0;
            for (const int core : cores()) {
                if (count++ < 3) {
                    auto one = inner;
                    one.replace(one.find("{{.}}"), 5, control(core).text());
                    seeds += one;
                }
            }
            text.replace(begin, end + close.size() - begin, seeds);
        }
        std::string out;
        std::size_t position = 0;
        while (true) {
            const auto begin = text.find("{{", position);
            if (begin == std::string::npos) {
                out += text.substr(position);
                break;
            }
            const auto end = text.find("}}", begin);
            out += text.substr(position, begin - position)
                   + values[text.substr(begin + 2, end - begin - 2)];
            position = end + 2;
        }
        const auto temporary = settingsFile(i) + ".new";
        std::ofstream(temporary) << out;
        std::filesystem::rename(temporary, settingsFile(i));
    }

    // Waits until the platform's readiness question gets a 200 from all sidecar machines.
    void waitUntilReady(double timeoutMs)
    {
        const auto deadline = nowMs() + timeoutMs;
        for (const int i : sidecars()) {
            while (call(ready(i), "GET", "/readiness", "", "", 500).status != 200) {
                if (nowMs() > deadline) {
                    unable("machine " + at(i).name + " isn't ready");
                }
                sleepMs(50);
            }
        }
    }

private:
    void chooseAddresses()
    {
        std::random_device device;
        for (int attempt = 0; attempt < 50; ++attempt) {
            const auto network = "127." + std::to_string(20 + device() % 200) + "."
                                 + std::to_string(device() % 250) + ".";
            const int base = 21000 + static_cast<int>(device() % 9000);
            m_ports = {base, base + 1, base + 2, base + 3, base + 4};
            bool isFree = true;
            for (int i = 0; i < size(); ++i) {
                at(i).ip = network + std::to_string(10 + i);
                for (int offset = 0; offset < 6 && isFree; ++offset) {
                    const int file = listenOn({at(i).ip, base + offset});
                    isFree = file >= 0;
                    if (file >= 0) {
                        ::close(file);
                    }
                }
            }
            if (isFree) {
                return;
            }
        }
        unable("no free ports");
    }

    std::filesystem::path m_root;
    std::filesystem::path m_folder;
    std::vector<machine> m_machines;
    ports m_ports{};
    // Bounds of dayleaf-mesh.
    std::map<std::string, std::string> m_bounds{{"grace", "6s"},
                                                {"retry_budget_ratio", "0.2"},
                                                {"retry_budget_slack", "58"},
                                                {"budget_window", "10s"}};
};

// ---------------------------------------------------------------------------------- operator

struct route
{
    std::string name, prefix, type, service;
    int timeoutMs = 2000, targetMs = 600, priority = 1, maxAttempts = 2;
};

struct tenant
{
    std::string name, key;
    double ratePerSecond = 0, burst = 0;
};

inline const std::string HOST = "review.example";

inline std::string configuration(std::uint64_t version, const std::vector<std::string> &services,
                                 const std::vector<route> &routes,
                                 const std::vector<tenant> &tenants)
{
    char number[24];
    std::snprintf(number, sizeof(number), "%08llx", static_cast<unsigned long long>(version));
    std::ostringstream out;
    out << "{\"version\":\"" << number << "\",\"services\":[";
    const char *separator = "";
    for (const auto &service : services) {
        out << separator << "{\"name\":\"" << service
            << "\",\"health_path\":\"/health\",\"max_connections\":330,\"protocol\":\"h1\",\"tls\":"
               "false}";
        separator = ",";
    }
    out << "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header\":\"3000ms\","
           "\"idle\":\"15000ms\"}";
    if (!tenants.empty()) {
        out << ",\"tenants\":[";
        separator = "";
        for (const auto &item : tenants) {
            out << separator << "{\"name\":\"" << item.name << "\",\"api_keys\":[\"" << item.key
                << "\"],\"priority\":1,\"rate_per_s\":" << item.ratePerSecond
                << ",\"burst\":" << item.burst << "}";
            separator = ",";
        }
        out << "]";
    }
    out << ",\"hosts\":[{\"host\":\"" << HOST << "\",\"paths\":[";
    separator = "";
    for (const auto &item : routes) {
        out << separator << "{\"name\":\"" << item.name << "\",\"path_prefix\":\"" << item.prefix
            << "\",\"type\":\"" << item.type << "\",\"timeout\":\"" << item.timeoutMs
            << "ms\",\"target_latency\":\"" << item.targetMs
            << "ms\",\"priority\":" << item.priority << ",\"service\":\"" << item.service
            << "\",\"max_attempts\":" << item.maxAttempts << ",\"no_auth\":false}";
        separator = ",";
    }
    out << "]}]}";
    return out.str();
}

// Sends a configuration to the core machines in turn until one acknowledges it. Returns false after
// a refusal.
inline bool putConfiguration(fleet &system, std::uint64_t base, const std::string &body,
                             double timeoutMs)
{
    char number[24];
    std::snprintf(number, sizeof(number), "%08llx", static_cast<unsigned long long>(base));
    const auto cores = system.cores();
    const auto deadline = nowMs() + timeoutMs;
    for (std::size_t turn = 0; nowMs() < deadline; ++turn) {
        const int core = cores[turn % cores.size()];
        const auto answer = call(system.control(core), "PUT", "/configuration",
                                 std::string("If-Match: ") + number + "\r\n", body, 1000);
        RECORD("operator PUT on %s at %s: %d", number, system.at(core).name.c_str(),
               answer.status);
        if (answer.status == 200) {
            return true;
        }
        if (answer.status == 400 || answer.status == 412) {
            return false;
        }
        sleepMs(100);
    }
    return false;
}

// ---------------------------------------------------------------------------------- instance

class instance;

// One request at an instance, while its handler runs.
struct exchange
{
    instance &server;
    connection &link;
    const http_request &request;
    std::string attempt;

    // Works for the time, and no longer than `Deadline-Ms`. False if the connection went away, upon
    // which the instance drops the request.
    bool work(double ms) const
    {
        const auto end = nowMs() + ms;
        while (nowMs() < end) {
            if (link.isPeerGone()) {
                return false;
            }
            sleepMs(std::min(5.0, end - nowMs()));
        }
        return true;
    }
    bool answer(int status, const std::string &headers, const std::string &body,
                double timeoutMs = 60000) const
    {
        const auto text = "HTTP/1.1 " + std::to_string(status) + " x\r\nAttempt-Id: " + attempt
                          + "\r\n" + headers + "Content-Length: " + std::to_string(body.size())
                          + "\r\n\r\n";
        const auto deadline = nowMs() + timeoutMs;
        return link.write(text, deadline) && link.write(body, deadline);
    }
};

// An application instance with `slots` slots and a short queue, which sends heartbeats to the control
// address of its own machine.
class instance
{
public:
    // Returns false to close the connection.
    using handler = std::function<bool(exchange &)>;

    instance(fleet &system, int machineIndex, std::string id, int slots, handler onRequest)
        : m_fleet(system), m_machine(machineIndex), m_id(std::move(id)), m_slots(slots),
          m_handler(std::move(onRequest)), m_born(wallMs())
    {
        m_service = system.at(machineIndex).service;
        m_listener = listenOn(system.instance(machineIndex));
        if (m_listener < 0) {
            fleet::unable("instance port is in use");
        }
        m_acceptThread = std::thread([this] { accept(); });
        m_beatThread = std::thread([this] { beat(); });
        RECORD("instance %s of %s started on %s", m_id.c_str(), m_service.c_str(),
               system.at(machineIndex).name.c_str());
    }
    ~instance() { stop(); }

    const std::string &id() const { return m_id; }
    int machineIndex() const { return m_machine; }
    std::uint64_t born() const { return m_born; }
    std::uint64_t nextSequence() { return ++m_sequence; }

    std::string beatBody(const std::string &state, std::uint64_t sequence)
    {
        return "{\"address\":\"" + m_fleet.instance(m_machine).text()
               + "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\"" + m_service
               + "\",\"version\":\"v1\",\"zone\":\"" + m_fleet.at(m_machine).zone
               + "\",\"max_concurrency\":" + std::to_string(m_slots)
               + "},\"status\":{\"state\":\"" + state
               + "\",\"sequence_no\":" + std::to_string(sequence)
               + ",\"cold_remaining\":\"0ms\"}}";
    }
    int sendBeat(const std::string &body)
    {
        return call(m_fleet.control(m_machine), "PUT", "/instances/" + m_id, "", body, 1000).status;
    }
    int sendLeave()
    {
        return call(m_fleet.control(m_machine), "DELETE", "/instances/" + m_id, "", "", 1000)
                .status;
    }
    void setState(const std::string &state)
    {
        std::lock_guard lock(m_mutex);
        m_state = state;
    }
    // Stops the regular heartbeats.
    void stopBeats() { m_beats = false; }

    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_slotFreed.notify_all();
        m_acceptThread.join();
        m_beatThread.join();
        ::close(m_listener);
        while (m_connections > 0) {
            sleepMs(2);
        }
    }
    bool isStopped() const { return m_stopped; }

private:
    void accept()
    {
        while (!m_stopped) {
            pollfd item{m_listener, POLLIN, 0};
            ::poll(&item, 1, 100);
            const int file = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (file < 0) {
                continue;
            }
            ++m_connections;
            std::thread([this, file] {
                serve(connection(file));
                --m_connections;
            }).detach();
        }
    }

    void serve(connection link)
    {
        constexpr double IDLE_CLOSE_MS = 10000;
        while (!m_stopped) {
            message_end end{};
            const auto head = waitForHead(link, nowMs() + IDLE_CLOSE_MS, end);
            if (!head) {
                return;
            }
            http_request request;
            std::string firstLine;
            request.headers = parseHeaders(*head, firstLine);
            const auto space = firstLine.find(' ');
            const auto second = firstLine.find(' ', space + 1);
            if (space == std::string::npos || second == std::string::npos) {
                return;
            }
            request.method = firstLine.substr(0, space);
            request.target = firstLine.substr(space + 1, second - space - 1);
            if (readBody(link, request.headers, false, nowMs() + 30000, request.body)
                != message_end::Complete) {
                return;
            }
            exchange current{*this, link, request, request.header("Attempt-Id")};
            if (!handle(current)) {
                return;
            }
        }
    }

    std::optional<std::string> waitForHead(connection &link, double deadline, message_end &end)
    {
        while (!m_stopped && nowMs() < deadline) {
            end = message_end::Timeout;
            const auto head = readHead(link, std::min(deadline, nowMs() + 100), end);
            if (head || end != message_end::Timeout) {
                return head;
            }
        }
        return std::nullopt;
    }

    bool handle(exchange &current)
    {
        const auto target = current.request.header("Target-Instance");
        if (!target.empty() && target != m_id) {
            RECORD("instance %s rejects %s: 421", m_id.c_str(), current.attempt.c_str());
            return current.answer(421, "Not-Executed: 1\r\n", "");
        }
        if (current.attempt.empty() && current.request.target != "/health") {
            return current.answer(400, "Not-Executed: 1\r\n", "");
        }
        {
            std::unique_lock lock(m_mutex);
            constexpr int MAX_QUEUE = 24;
            if (m_busy >= m_slots && m_waiting >= MAX_QUEUE) {
                lock.unlock();
                return current.answer(503, "Not-Executed: 1\r\n", "");
            }
            ++m_waiting;
            const auto deadline = current.request.header("Deadline-Ms");
            const auto waitMs = deadline.empty() ? 60000 : std::atoi(deadline.c_str());
            const bool hasSlot = m_slotFreed.wait_for(
                    lock, std::chrono::milliseconds(waitMs),
                    [this] { return m_busy < m_slots || m_stopped; });
            --m_waiting;
            if (!hasSlot || m_stopped) {
                lock.unlock();
                return !m_stopped && current.answer(503, "Not-Executed: 1\r\n", "");
            }
            ++m_busy;
        }
        bool keeps = false;
        if (current.request.target == "/health") {
            keeps = current.answer(200, "Instance-Id: " + m_id + "\r\n", "ok");
        } else {
            keeps = m_handler(current);
        }
        {
            std::lock_guard lock(m_mutex);
            --m_busy;
        }
        m_slotFreed.notify_one();
        return keeps;
    }

    void beat()
    {
        constexpr double HEARTBEAT_MS = 1500;
        while (!m_stopped) {
            std::string state;
            {
                std::lock_guard lock(m_mutex);
                state = m_state;
            }
            int status = 0;
            if (m_beats) {
                status = sendBeat(beatBody(state, nextSequence()));
            }
            const auto next = nowMs() + (status == 200 || !m_beats ? HEARTBEAT_MS : 300);
            while (!m_stopped && nowMs() < next) {
                sleepMs(20);
            }
        }
    }

    fleet &m_fleet;
    int m_machine;
    std::string m_id;
    std::string m_service;
    int m_slots;
    handler m_handler;
    std::uint64_t m_born;
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_beats{true};
    std::atomic<int> m_connections{0};
    int m_listener = -1;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    std::string m_state = "ready";
    int m_busy = 0;
    int m_waiting = 0;
    std::thread m_acceptThread;
    std::thread m_beatThread;
};

// ---------------------------------------------------------------------------------- clients

inline std::string newAttemptId()
{
    static std::atomic<std::uint64_t> count{0};
    static const std::uint64_t base = std::random_device{}();
    char text[40];
    std::snprintf(text, sizeof(text), "%08llx%08llx", static_cast<unsigned long long>(base),
                  static_cast<unsigned long long>(++count));
    return text;
}

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &attempt, int deadlineMs, const std::string &key,
                               const std::string &body = {})
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!key.empty()) {
        text += "Authorization: Bearer " + key + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

// Body bytes that tell an instance and an attempt from all others at every position.
inline std::string patternBody(const std::string &instanceId, const std::string &attempt,
                               std::size_t bytes)
{
    const auto unit = "<" + instanceId + "/" + attempt + ">";
    std::string body;
    body.reserve(bytes + unit.size());
    while (body.size() < bytes) {
        body += unit;
    }
    body.resize(bytes);
    return body;
}

inline std::string signatureOf(const std::string &body)
{
    char text[24];
    std::snprintf(text, sizeof(text), "%016zx", std::hash<std::string>{}(body));
    return text;
}

} // namespace standin
