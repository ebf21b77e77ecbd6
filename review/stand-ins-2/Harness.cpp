// A small deployment on loopback for the scripts of this review: a store, targets, callers and the platform's routers as stand-ins, and the
// daemons of the deploy file as processes.
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>
#include <vector>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

constexpr std::uint16_t CallerPort = 18'172;
constexpr std::uint16_t DaemonPort = 17'720;
constexpr std::uint16_t ReadyPort = 18'167;
constexpr std::uint16_t ControlPort = 18'166;
constexpr std::uint16_t ApplicationPort = 18'165;
constexpr std::uint16_t OutboundPort = 18'162;
constexpr std::uint16_t StorePort = 18'169;
constexpr std::uint16_t ServicePort = 8'443;
constexpr std::uint32_t ServiceHost = 0x7f001201;

constexpr int Targets = 4;
constexpr int Entries = 3;
/// A reset of the system has a sequence number this close to the caller's last acknowledgement.
constexpr std::uint32_t ResetWindow = 76'800;
/// How long a target works on a request.
constexpr Milliseconds WorkTime {30};
/// Size of the targets' answers, in bytes.
constexpr std::size_t AnswerSize = 1'000;
/// What the settings of a small deployment state: Bounds.StabilityMs.
constexpr Milliseconds Stability {5'000};
/// The step of the clock, in the direction that the platform calls ahead and then back again.
constexpr Milliseconds ClockStep {2'000};

struct Address {
    std::uint32_t host = 0;
    std::uint16_t port = 0;
    bool operator<(const Address &other) const { return std::tie(host, port) < std::tie(other.host, other.port); }
};

std::string toText(const Address &address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    const in_addr host {htonl(address.host)};
    ::inet_ntop(AF_INET, &host, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(address.port);
}

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.host);
    result.sin_port = htons(address.port);
    return result;
}

int bindSocket(const Address &address, int type)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    if (type == SOCK_STREAM)
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const auto socketAddress = toSocketAddress(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof(socketAddress)) != 0) {
        ::close(descriptor);
        return -1;
    }
    if (type == SOCK_STREAM)
        ::listen(descriptor, 64);
    return descriptor;
}

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

/// Writes what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(Clock::now())
    {
    }

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        std::array<char, 32> time {};
        std::snprintf(time.data(), time.size(), "%8.3f  ", std::chrono::duration<double>(Clock::now() - m_start).count());
        m_file << time.data() << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

/// A packet of the platform: a header of 32 bytes and data.
struct Packet {
    std::uint8_t flags = 0;
    Address source;
    Address destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t sum = 0;
    std::string data;
};

constexpr std::uint8_t AckFlag = 1;
constexpr std::uint8_t ReturnedFlag = 8;
constexpr std::uint8_t SynFlag = 16;
constexpr std::uint8_t ResetFlag = 32;
constexpr std::size_t HeaderSize = 32;

void put(std::string &bytes, std::size_t offset, std::uint64_t value, std::size_t width)
{
    for (std::size_t index = 0; index < width; ++index)
        bytes[offset + index] = static_cast<char>(value >> (8 * index));
}

std::uint32_t get(const std::string &bytes, std::size_t offset, std::size_t width)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < width; ++index)
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[offset + index])) << (8 * index);
    return value;
}

/// The keyed sum over all fields but `echo`, `pad` and the mark of a returned packet.
std::uint32_t sumOf(std::string bytes)
{
    bytes[0] = static_cast<char>(bytes[0] & ~ReturnedFlag);
    put(bytes, 1, 0, 5);
    put(bytes, 28, 0, 4);
    std::uint32_t sum = 0x5eed1234;
    for (const auto byte : bytes)
        sum = (sum ^ static_cast<unsigned char>(byte)) * 16'777'619U;
    return sum | 1U;
}

std::string encode(const Packet &packet)
{
    std::string bytes(HeaderSize, '\0');
    bytes += packet.data;
    put(bytes, 0, packet.flags, 1);
    put(bytes, 6, packet.destination.host, 4);
    put(bytes, 10, packet.source.port, 2);
    put(bytes, 12, packet.destination.port, 2);
    put(bytes, 14, packet.source.host, 4);
    put(bytes, 18, packet.data.size(), 2);
    put(bytes, 20, packet.sequence, 4);
    put(bytes, 24, packet.acknowledgement, 4);
    put(bytes, 28, sumOf(bytes), 4);
    return bytes;
}

Packet decode(const std::string &bytes)
{
    Packet packet;
    packet.flags = static_cast<std::uint8_t>(bytes[0]);
    packet.destination = {get(bytes, 6, 4), static_cast<std::uint16_t>(get(bytes, 12, 2))};
    packet.source = {get(bytes, 14, 4), static_cast<std::uint16_t>(get(bytes, 10, 2))};
    packet.sequence = get(bytes, 20, 4);
    packet.acknowledgement = get(bytes, 24, 4);
    packet.sum = get(bytes, 28, 4);
    packet.data = bytes.substr(HeaderSize);
    return packet;
}

bool has(const Packet &packet, std::uint8_t flag)
{
    return (packet.flags & flag) != 0;
}

std::optional<std::string> receive(int descriptor, Milliseconds timeout)
{
    pollfd entry {descriptor, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0)
        return std::nullopt;
    std::string bytes(2'048, '\0');
    const auto size = ::recv(descriptor, bytes.data(), bytes.size(), 0);
    if (size < static_cast<ssize_t>(HeaderSize))
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(size));
    return bytes;
}

void sendTo(int descriptor, const Address &to, const std::string &bytes)
{
    const auto address = toSocketAddress(to);
    ::sendto(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
}

std::string base64(const std::string &text)
{
    constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t part = 0; part < 3; ++part)
            group = group << 8U | (index + part < text.size() ? static_cast<unsigned char>(text[index + part]) : 0U);
        for (std::size_t part = 0; part < 4; ++part)
            result += index + part > text.size() ? '=' : Digits[(group >> (18 - 6 * part)) & 63U];
    }
    return result;
}

/// Reads the head of an HTTP request. Returns nothing when the connection has ended.
std::optional<std::string> readRequest(int descriptor, std::string &buffer, const std::atomic<bool> &isStopping)
{
    while (!isStopping) {
        if (const auto end = buffer.find("\r\n\r\n"); end != std::string::npos) {
            auto head = buffer.substr(0, buffer.find("\r\n"));
            buffer.erase(0, end + 4);
            return head;
        }
        pollfd entry {descriptor, POLLIN, 0};
        if (::poll(&entry, 1, 50) <= 0)
            continue;
        std::array<char, 4'096> bytes {};
        const auto size = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        if (size <= 0)
            return std::nullopt;
        buffer.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return std::nullopt;
}

/// Sends an HTTP response. With a rate in bytes a second, no faster than that.
void respond(int descriptor, int status, const std::string &body, std::size_t rate = 0)
{
    const auto text = "HTTP/1.1 " + std::to_string(status)
                      + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    constexpr std::size_t PartsPerSecond = 200;
    const auto part = rate == 0 ? text.size() : rate / PartsPerSecond;
    const auto start = Clock::now();
    for (std::size_t sent = 0; sent < text.size(); sent += part) {
        const auto size = std::min(part, text.size() - sent);
        if (::send(descriptor, text.data() + sent, size, MSG_NOSIGNAL) < 0)
            return;
        if (rate > 0)
            std::this_thread::sleep_until(start + std::chrono::microseconds((sent + size) * 1'000'000 / rate));
    }
}

/// The platform's store: reads and watches over HTTP.
class Store
{
public:
    explicit Store(const Address &address)
        : m_listener(bindSocket(address, SOCK_STREAM))
    {
        m_acceptor = std::thread([this] { accept(); });
    }

    ~Store()
    {
        m_isStopping = true;
        m_changed.notify_all();
        m_acceptor.join();
        for (auto &connection : m_connections)
            connection.join();
        ::close(m_listener);
    }

    [[nodiscard]] bool isListening() const { return m_listener >= 0; }

    void put(const std::string &key, const std::string &value) { change(key, value, false); }
    void erase(const std::string &key) { change(key, {}, true); }

    /// Limits each response to the rate of the link of the machine that asks, in bytes a second.
    void setLinkRate(std::size_t rate) { m_linkRate = rate; }

    /// From now on watches hear nothing.
    void muteWatches()
    {
        const std::lock_guard lock(m_mutex);
        m_mutedFrom = m_revision;
    }

    /// Drops the history up to now, and cuts the waiting watches.
    void dropHistory()
    {
        const std::lock_guard lock(m_mutex);
        m_historyFrom = m_revision;
        m_mutedFrom.reset();
        ++m_cuts;
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool isDeleted = false;
    };

    bool isHistoryGone(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        return std::strtoull(parameter(request, "after").c_str(), nullptr, 10) < m_historyFrom;
    }

    void change(const std::string &key, const std::string &value, bool isDeleted)
    {
        const std::lock_guard lock(m_mutex);
        auto &item = m_items[key];
        const bool isNew = item.revision == 0 || item.isDeleted;
        item.value = value;
        item.revision = ++m_revision;
        item.created = isNew ? m_revision : item.created;
        item.isDeleted = isDeleted;
        m_changed.notify_all();
    }

    void accept()
    {
        while (!m_isStopping) {
            pollfd entry {m_listener, POLLIN, 0};
            if (::poll(&entry, 1, 50) <= 0)
                continue;
            const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection >= 0)
                m_connections.emplace_back([this, connection] { serve(connection); });
        }
    }

    void serve(int connection)
    {
        std::string buffer;
        while (const auto request = readRequest(connection, buffer, m_isStopping)) {
            if (request->find("/-/kv-watch") == std::string::npos) {
                respond(connection, 200, range(*request), m_linkRate);
            } else if (isHistoryGone(*request)) {
                respond(connection, 410, "{}");
            } else if (const auto body = watch(*request)) {
                respond(connection, 200, *body, m_linkRate);
            } else {
                break;
            }
        }
        ::close(connection);
    }

    static std::string parameter(const std::string &request, const std::string &name)
    {
        auto begin = request.find(name + "=");
        if (begin == std::string::npos)
            return {};
        begin += name.size() + 1;
        return request.substr(begin, request.find_first_of("& ", begin) - begin);
    }

    static std::string itemText(const std::string &key, const Item &item)
    {
        auto text = R"({"Key":")" + key + R"(","Revision":)" + std::to_string(item.revision);
        if (item.isDeleted)
            return text + R"(,"Tombstone":true})";
        return text + R"(,"Created":)" + std::to_string(item.created) + R"(,"Lease":0,"Value":")" + base64(item.value) + "\"}";
    }

    std::string range(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto prefix = parameter(request, "Prefix");
        std::string list;
        for (const auto &[key, item] : m_items) {
            if (!item.isDeleted && prefix.empty())
                list += (list.empty() ? "" : ",") + itemText(key, item);
        }
        return R"({"items":[)" + list + R"(],"HasMore":false,"StoreRevision":)" + std::to_string(m_revision) + "}";
    }

    /// Returns the body of the response to a watch, or nothing if the watch was cut.
    std::optional<std::string> watch(const std::string &request)
    {
        const auto after = std::strtoull(parameter(request, "after").c_str(), nullptr, 10);
        const Milliseconds wait(std::strtoull(parameter(request, "WaitMs").c_str(), nullptr, 10));
        std::unique_lock lock(m_mutex);
        const auto cuts = m_cuts;
        m_changed.wait_for(lock, wait, [&] { return m_isStopping || m_cuts != cuts || m_mutedFrom.value_or(m_revision) > after; });
        if (m_cuts != cuts)
            return std::nullopt;
        const auto heardUntil = m_mutedFrom.value_or(m_revision);
        std::vector<std::pair<std::uint64_t, std::string>> events;
        for (const auto &[key, item] : m_items) {
            if (item.revision > after && item.revision <= heardUntil)
                events.emplace_back(item.revision, itemText(key, item));
        }
        std::sort(events.begin(), events.end());
        std::string list;
        for (const auto &[revision, text] : events)
            list += (list.empty() ? "" : ",") + text;
        return R"({"events":[)" + list + R"(],"StoreRevision":)" + std::to_string(heardUntil) + "}";
    }

    int m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    /// Changes up to this revision are no longer in the history.
    std::uint64_t m_historyFrom = 0;
    /// The last revision that watches hear of; nothing while they hear of all.
    std::optional<std::uint64_t> m_mutedFrom;
    /// Number of times that the waiting watches were cut.
    std::uint64_t m_cuts = 0;
    std::atomic<std::size_t> m_linkRate = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_acceptor;
    std::vector<std::thread> m_connections;
};

/// A flow, as its two ends name it.
using FlowId = std::pair<Address, Address>;

std::string flowText(const FlowId &flow)
{
    return toText(flow.first) + "-" + toText(flow.second);
}

/// A target. It holds flows, answers each request at once, and returns packets of flows that it does not hold.
class Target
{
public:
    Target(std::string name, std::uint32_t host, Record &record)
        : m_name(std::move(name))
        , m_host(host)
        , m_record(record)
    {
    }

    /// Sets the size to which answers are filled up, in bytes.
    void setAnswerSize(std::size_t size) { m_answerSize = size; }

    ~Target() { crash(); }

    [[nodiscard]] bool start()
    {
        m_socket = bindSocket({m_host, ApplicationPort}, SOCK_DGRAM);
        m_health = bindSocket({m_host, ApplicationPort}, SOCK_STREAM);
        if (m_socket < 0 || m_health < 0)
            return false;
        m_isStopping = false;
        m_thread = std::thread([this] { run(); });
        m_healthThread = std::thread([this] { serveHealth(); });
        return true;
    }

    void crash()
    {
        if (!m_thread.joinable())
            return;
        m_isStopping = true;
        m_thread.join();
        m_healthThread.join();
        ::close(m_socket);
        ::close(m_health);
        const std::lock_guard lock(m_mutex);
        m_flows.clear();
        m_answers.clear();
    }

    [[nodiscard]] bool holds(const FlowId &flow)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_flows.find(flow);
        return found != m_flows.end() && found->second.isOpen;
    }

    /// Returns when this target took the opening packet of a flow.
    [[nodiscard]] std::optional<Clock::time_point> openedAt(const FlowId &flow)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_flows.find(flow);
        return found == m_flows.end() ? std::nullopt : std::optional(found->second.openedAt);
    }

private:
    struct Flow {
        std::uint32_t sequence = 0;
        Clock::time_point openedAt;
        bool isOpen = false;
        std::set<std::string> run;
    };

    void run()
    {
        while (!m_isStopping) {
            if (const auto bytes = receive(m_socket, Milliseconds(m_answers.empty() ? 20 : 2)))
                handle(*bytes);
            while (!m_answers.empty() && m_answers.front().first <= Clock::now()) {
                sendTo(m_socket, {m_host, OutboundPort}, m_answers.front().second);
                m_answers.pop_front();
            }
        }
    }

    void serveHealth()
    {
        while (!m_isStopping) {
            pollfd entry {m_health, POLLIN, 0};
            if (::poll(&entry, 1, 20) <= 0)
                continue;
            const int connection = ::accept4(m_health, nullptr, nullptr, SOCK_CLOEXEC);
            std::array<char, 1'024> bytes {};
            pollfd request {connection, POLLIN, 0};
            if (::poll(&request, 1, 20) > 0 && ::recv(connection, bytes.data(), bytes.size(), 0) > 0)
                respond(connection, 200, "{}");
            ::close(connection);
        }
    }

    void handle(const std::string &bytes)
    {
        const std::lock_guard lock(m_mutex);
        const auto packet = decode(bytes);
        const FlowId id {packet.source, packet.destination};
        if (packet.sum != sumOf(bytes)) {
            m_record.write("UNASKED " + m_name + " got a packet that its sender did not write so");
            return;
        }
        if (has(packet, SynFlag)) {
            auto &flow = m_flows[id];
            if (flow.sequence == 0) {
                flow.sequence = m_nextSequence += 1'000'000;
                flow.openedAt = Clock::now();
                m_record.write(m_name + " takes the opening packet of flow " + flowText(id) + ", copy "
                               + std::to_string(packet.acknowledgement));
            }
            answer(packet, SynFlag | AckFlag, flow.sequence, packet.sequence + 1, {});
            return;
        }
        const auto found = m_flows.find(id);
        if (found == m_flows.end() || (!found->second.isOpen && packet.acknowledgement != found->second.sequence + 1)) {
            auto returned = bytes;
            returned[0] = static_cast<char>(returned[0] | ReturnedFlag);
            returned[1] = 0;
            sendTo(m_socket, {m_host, OutboundPort}, returned);
            m_record.write(m_name + " returns a packet of flow " + toText(packet.source) + ", which it does not hold");
            return;
        }
        auto &flow = found->second;
        if (!flow.isOpen)
            m_record.write(m_name + " has flow " + toText(packet.source) + " open");
        flow.isOpen = true;
        if (packet.data.empty())
            return;
        if (flow.run.insert(packet.data).second)
            m_record.write(m_name + " runs " + packet.data);
        auto data = packet.data + "@" + m_name;
        if (data.size() < m_answerSize)
            data += std::string(m_answerSize - data.size(), ' ');
        const auto sequence = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
        m_answers.emplace_back(Clock::now() + WorkTime,
                               encode({AckFlag, packet.destination, packet.source, packet.acknowledgement, sequence, 0, data}));
    }

    void answer(const Packet &packet, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement, const std::string &data)
    {
        sendTo(m_socket, {m_host, OutboundPort}, encode({flags, packet.destination, packet.source, sequence, acknowledgement, 0, data}));
    }

    std::string m_name;
    std::uint32_t m_host;
    Record &m_record;
    int m_socket = -1;
    int m_health = -1;
    std::mutex m_mutex;
    std::map<FlowId, Flow> m_flows;
    std::uint32_t m_nextSequence = 1'000;
    /// The answers of running requests, and when they are sent.
    std::deque<std::pair<Clock::time_point, std::string>> m_answers;
    std::atomic<std::size_t> m_answerSize = 0;
    std::atomic<bool> m_isStopping = true;
    std::thread m_thread;
    std::thread m_healthThread;
};

/// The daemons as processes.
class Processes
{
public:
    Processes(std::string programs, std::string folder, Record &record)
        : m_programs(std::move(programs))
        , m_folder(std::move(folder))
        , m_record(record)
    {
    }

    ~Processes()
    {
        for (const auto &[name, pid] : m_pids)
            ::kill(pid, SIGKILL);
        for (const auto &[name, pid] : m_pids)
            ::waitpid(pid, nullptr, 0);
    }

    void start(const std::string &name, const std::string &program, const std::string &settings)
    {
        const auto path = m_folder + "/" + name + ".conf";
        std::ofstream(path) << settings;
        auto command = m_programs + "/" + program;
        auto flag = "--settings=" + path;
        std::array<char *, 3> arguments {command.data(), flag.data(), nullptr};
        const auto log = m_folder + "/" + name + ".log";
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        pid_t pid = -1;
        if (::posix_spawn(&pid, command.c_str(), &actions, nullptr, arguments.data(), environ) == 0)
            m_pids[name] = pid;
        posix_spawn_file_actions_destroy(&actions);
        m_record.write("the platform starts " + name);
    }

    void kill(const std::string &name)
    {
        m_record.write("SIGKILL to " + name);
        ::kill(m_pids.at(name), SIGKILL);
        ::waitpid(m_pids.at(name), nullptr, 0);
        m_pids.erase(name);
    }

    void terminate(const std::string &name)
    {
        m_record.write("SIGTERM to " + name);
        ::kill(m_pids.at(name), SIGTERM);
    }

    /// Returns whether all daemons are still running.
    [[nodiscard]] bool areRunning() const
    {
        return std::all_of(m_pids.begin(), m_pids.end(), [](const auto &item) { return ::waitpid(item.second, nullptr, WNOHANG) == 0; });
    }

private:
    std::string m_programs;
    std::string m_folder;
    Record &m_record;
    std::map<std::string, pid_t> m_pids;
};

/// Returns whether a daemon answers its readiness check with 200.
bool isReady(const Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout {0, 300'000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const auto socketAddress = toSocketAddress(address);
    std::array<char, 64> bytes {};
    const std::string request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    const bool isAnswered = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof(socketAddress)) == 0
                            && ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) > 0
                            && ::recv(descriptor, bytes.data(), bytes.size() - 1, 0) > 0;
    ::close(descriptor);
    return isAnswered && std::string(bytes.data()).find(" 200 ") != std::string::npos;
}

/// The platform's routers: check each entry daemon twice a second and hash flows to those in rotation.
class Routers
{
public:
    explicit Routers(std::vector<std::uint32_t> hosts)
        : m_misses(hosts.size(), 2)
        , m_hosts(std::move(hosts))
        , m_thread([this] { run(); })
    {
    }

    ~Routers()
    {
        m_isStopping = true;
        m_thread.join();
    }

    [[nodiscard]] std::size_t inRotation()
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count_if(m_misses.begin(), m_misses.end(), [](int misses) { return misses < 2; }));
    }

    /// Returns the number of the entry daemon that gets a flow's packets: the first one in rotation, in an order that the flow's hash
    /// gives.
    [[nodiscard]] std::size_t entryOf(const FlowId &flow)
    {
        const std::lock_guard lock(m_mutex);
        std::size_t best = 0;
        std::size_t bestHash = 0;
        for (std::size_t entry = 0; entry < m_hosts.size(); ++entry) {
            const auto hash = std::hash<std::string> {}(toText(flow.first) + toText(flow.second) + std::to_string(entry)) | 1U;
            if (m_misses[entry] < 2 && hash > bestHash)
                std::tie(best, bestHash) = std::tuple(entry, hash);
        }
        return best;
    }

private:
    void run()
    {
        while (!m_isStopping) {
            for (std::size_t entry = 0; entry < m_hosts.size(); ++entry) {
                const bool isOk = isReady({m_hosts[entry], ReadyPort});
                const std::lock_guard lock(m_mutex);
                m_misses[entry] = isOk ? 0 : m_misses[entry] + 1;
            }
            for (int step = 0; step < 25 && !m_isStopping; ++step)
                std::this_thread::sleep_for(Milliseconds(20));
        }
    }

    std::mutex m_mutex;
    std::vector<int> m_misses;
    std::vector<std::uint32_t> m_hosts;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

/// Callers. Each flow carries one request at a time.
class Callers
{
public:
    struct Flow {
        bool isOpen = false;
        bool isFailed = false;
        std::uint32_t sequence = 1;
        std::uint32_t acknowledgement = 0;
        std::string request;
        int requests = 0;
        int copies = 0;
        Clock::time_point sentAt;
        /// When the last copy of the SYN was sent.
        Clock::time_point openingSentAt;
        Milliseconds interval {200};
        /// The name of the target that answered last.
        std::string target;
        bool isResetBySystem = false;
        /// Whether a reset of the system had a sequence number too far from the last acknowledgement.
        bool hasStrayReset = false;
    };

    Callers(std::uint32_t host, std::vector<std::uint32_t> entries, Routers &routers, Record &record)
        : m_host(host)
        , m_socket(bindSocket({host, CallerPort}, SOCK_DGRAM))
        , m_entries(std::move(entries))
        , m_routers(routers)
        , m_record(record)
    {
    }

    ~Callers() { ::close(m_socket); }

    [[nodiscard]] bool isBound() const { return m_socket >= 0; }
    [[nodiscard]] std::map<FlowId, Flow> &flows() { return m_flows; }

    FlowId open(std::uint16_t servicePort = ServicePort)
    {
        const FlowId id {{m_host, m_nextPort++}, {ServiceHost, servicePort}};
        auto &flow = m_flows[id];
        flow.sequence = id.first.port * 1'000U;
        transmit(id, flow);
        return id;
    }

    void request(const FlowId &id)
    {
        auto &flow = m_flows.at(id);
        flow.request = toText(id.first) + "#" + std::to_string(++flow.requests);
        flow.copies = 0;
        flow.interval = Milliseconds(200);
        m_record.write("caller sends " + flow.request + " through entry-" + std::to_string(m_routers.entryOf(id)));
        transmit(id, flow);
    }

    void run(Milliseconds duration)
    {
        const auto end = Clock::now() + duration;
        while (Clock::now() < end) {
            if (const auto bytes = receive(m_socket, Milliseconds(2)))
                handle(decode(*bytes), *bytes);
            for (auto &[id, flow] : m_flows)
                retransmit(id, flow);
        }
    }

private:
    void transmit(const FlowId &id, Flow &flow)
    {
        flow.sentAt = Clock::now();
        Packet packet {AckFlag, id.first, id.second, flow.sequence, flow.acknowledgement, 0, flow.request};
        if (!flow.isOpen) {
            flow.openingSentAt = flow.sentAt;
            packet.flags = SynFlag;
            packet.acknowledgement = static_cast<std::uint32_t>(flow.copies);
            packet.data.clear();
        }
        sendTo(m_socket, {m_entries[m_routers.entryOf(id)], CallerPort}, encode(packet));
    }

    void retransmit(const FlowId &id, Flow &flow)
    {
        const bool isWaiting = !flow.isFailed && (!flow.isOpen || !flow.request.empty());
        if (!isWaiting || Clock::now() - flow.sentAt < flow.interval)
            return;
        ++flow.copies;
        flow.interval = std::min(flow.interval * 2, Milliseconds(1'600));
        if (!flow.isOpen && flow.copies > 2)
            flow.isFailed = true;
        else
            transmit(id, flow);
    }

    void handle(const Packet &packet, const std::string &bytes)
    {
        const FlowId id {packet.destination, packet.source};
        const auto found = m_flows.find(id);
        if (found == m_flows.end() || found->second.isFailed)
            return;
        auto &flow = found->second;
        if (has(packet, ResetFlag)) {
            const auto distance = std::min(packet.sequence - flow.acknowledgement, flow.acknowledgement - packet.sequence);
            const bool isStray = packet.sum == 0 && flow.isOpen && distance > ResetWindow;
            flow.hasStrayReset = flow.hasStrayReset || isStray;
            m_record.write("caller " + flowText(id) + " gets a reset " + (packet.sum == 0 ? "of the system" : "of its target") + ", seq "
                           + std::to_string(packet.sequence) + ", " + std::to_string(distance) + " from its last ack "
                           + std::to_string(flow.acknowledgement));
            // An end accepts a reset only near the sequence number that it expects.
            if (isStray)
                return;
            flow.isFailed = true;
            flow.isResetBySystem = packet.sum == 0;
            return;
        }
        if (packet.sum != sumOf(bytes)) {
            m_record.write("MIXED caller " + toText(id.first) + " gets a packet that its sender did not write so");
            return;
        }
        if (has(packet, SynFlag)) {
            if (flow.isOpen)
                return;
            flow.isOpen = true;
            flow.sequence += 1;
            flow.acknowledgement = packet.sequence + 1;
            request(id);
            return;
        }
        if (flow.request.empty() || packet.data.rfind(flow.request + "@", 0) != 0)
            return;
        flow.target = packet.data.substr(flow.request.size() + 1, packet.data.find(' ') - flow.request.size() - 1);
        m_record.write("caller gets " + flow.request + "@" + flow.target);
        flow.sequence += static_cast<std::uint32_t>(flow.request.size());
        flow.acknowledgement += static_cast<std::uint32_t>(packet.data.size());
        flow.request.clear();
        transmit(id, flow);
    }

    std::uint32_t m_host;
    int m_socket;
    std::vector<std::uint32_t> m_entries;
    Routers &m_routers;
    Record &m_record;
    std::map<FlowId, Flow> m_flows;
    std::uint16_t m_nextPort = 20'000;
};

/// The whole deployment.
class Deployment
{
public:
    Deployment(std::uint32_t network, const std::string &programs, const std::string &folder, Record &record)
        : m_network(network)
        , m_record(record)
        , m_store({network | 0x0901U, StorePort})
        , m_processes(programs, folder, record)
    {
    }

    /// Gives the entry daemons the settings of a machine whose link has 10 Mbit/s. Call before start().
    void useSlowLinks() { m_hasSlowLinks = true; }

    /// Starts everything but the entry daemons from `entries` on, which the platform adds later.
    [[nodiscard]] bool start(int entries)
    {
        if (!m_store.isListening())
            return false;
        putConfiguration(3, {ServicePort});
        for (int target = 0; target < Targets; ++target) {
            startAgent(target, true);
            m_targets.push_back(std::make_unique<Target>("target-" + std::to_string(target), targetHost(target), m_record));
            if (!m_targets.back()->start())
                return false;
            publish(target, "i-" + std::to_string(target), unixMilliseconds(), 0);
        }
        std::vector<std::uint32_t> hosts;
        for (int entry = 0; entry < Entries; ++entry) {
            hosts.push_back(entryHost(entry));
            if (entry < entries)
                startEntry(entry);
        }
        m_routers = std::make_unique<Routers>(hosts);
        m_callers = std::make_unique<Callers>(m_network | 0x0305U, hosts, *m_routers, m_record);
        const auto inRotation = static_cast<std::size_t>(entries);
        for (int step = 0; step < 200 && m_routers->inRotation() < inRotation; ++step)
            std::this_thread::sleep_for(Milliseconds(100));
        return m_callers->isBound() && m_routers->inRotation() == inRotation;
    }

    /// Writes a version of the configuration with a route for each of these ports, and further routes that no caller uses.
    void putConfiguration(int version, const std::vector<std::uint16_t> &ports, int furtherRoutes = 0)
    {
        std::string routes;
        for (int route = 0; route < furtherRoutes; ++route) {
            routes += (routes.empty() ? "" : ",") + std::string(R"({"Name":"r-f)") + std::to_string(10'000 + route) + R"(","Host":"127.1.)"
                      + std::to_string(route / 250) + "." + std::to_string(route % 250)
                      + R"(","Prefix":"/443/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":250,"Priority":2,"Service":"ledger",)"
                      + R"("MaxAttempts":2})";
        }
        for (const auto port : ports) {
            routes +=
                (routes.empty() ? "" : ",") + std::string(R"({"Name":"r-)") + std::to_string(port) + R"(","Host":"127.0.18.1","Prefix":"/)"
                + std::to_string(port)
                + R"(/","Kind":"non_idempotent","TimeoutMs":2000,"TargetLatencyMs":300,"Priority":1,"Service":"ledger","MaxAttempts":2})";
        }
        m_store.put("op/config",
                    R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" + routes
                        + R"(],"Services":[{"Name":"ledger","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false}],)"
                        + R"("Limits":{"IdleTimeoutMs":15000}})");
        m_record.write("the store acknowledges version " + std::to_string(version) + " of the configuration, with "
                       + std::to_string(ports.size() + static_cast<std::size_t>(furtherRoutes)) + " routes");
    }

    void publish(int target, const std::string &id, std::uint64_t born, int coldMilliseconds, const std::string &state = "ready")
    {
        m_store.put("servers/" + id,
                    R"({"Service":"ledger","Address":")" + toText({targetHost(target), ApplicationPort})
                        + R"(","Zone":"a","Version":"v1","Slots":7,"State":")" + state + R"(","ColdLeftMs":)"
                        + std::to_string(coldMilliseconds) + R"(,"Sequence":1,"born":)" + std::to_string(born) + "}");
    }

    void startAgent(int target, bool isFirstStart)
    {
        m_processes.start("agent-" + std::to_string(target),
                          "papaya-relay-agentd",
                          commonSettings("agent-" + std::to_string(target), targetHost(target)) + "service = ledger\ntarget = "
                              + toText({targetHost(target), ApplicationPort}) + "\noutbound = " + toText({targetHost(target), OutboundPort})
                              + "\nfirst_start = " + (isFirstStart ? "true" : "false")
                              + "\nstop_grace_s = 6\ncold_excess = \ncold_slack = \n");
    }

    void startEntry(int entry)
    {
        std::string peers;
        for (int peer = 0; peer < Entries; ++peer)
            peers += (peers.empty() ? "" : ",") + toText({entryHost(peer), ControlPort});
        m_processes.start("entry-" + std::to_string(entry),
                          "papaya-relay-entryd",
                          commonSettings("entry-" + std::to_string(entry), entryHost(entry))
                              + "platform = " + toText({m_network | 0x0901U, StorePort}) + "\npeers = " + peers
                              + "\nlink_megabits = " + (m_hasSlowLinks ? "10.0" : "1000.0")
                              + "\nstaleness_limit_ms = " + std::to_string(Stability.count()) + "\n");
    }

    /// Returns when a target first took the opening packet of a flow.
    [[nodiscard]] std::optional<Clock::time_point> openedAt(const FlowId &flow)
    {
        std::optional<Clock::time_point> first;
        for (const auto &target : m_targets) {
            const auto opened = target->openedAt(flow);
            if (opened && (!first || *opened < *first))
                first = opened;
        }
        return first;
    }

    [[nodiscard]] Store &store() { return m_store; }
    [[nodiscard]] Target &target(int number) { return *m_targets.at(static_cast<std::size_t>(number)); }
    [[nodiscard]] Processes &processes() { return m_processes; }
    [[nodiscard]] Callers &callers() { return *m_callers; }
    [[nodiscard]] Routers &routers() { return *m_routers; }

private:
    [[nodiscard]] std::uint32_t entryHost(int number) const { return m_network | (0x0101U + static_cast<std::uint32_t>(number)); }
    [[nodiscard]] std::uint32_t targetHost(int number) const { return m_network | (0x0201U + static_cast<std::uint32_t>(number)); }

    static std::string commonSettings(const std::string &name, std::uint32_t host)
    {
        return "[relay]\nname = " + name + "\nfailure_domain = a\ndaemon = " + toText({host, DaemonPort})
               + "\noperators = " + toText({host, ReadyPort}) + "\ncallers = " + toText({host, CallerPort}) + "\n";
    }

    std::uint32_t m_network;
    bool m_hasSlowLinks = false;
    Record &m_record;
    Store m_store;
    std::vector<std::unique_ptr<Target>> m_targets;
    Processes m_processes;
    std::unique_ptr<Routers> m_routers;
    std::unique_ptr<Callers> m_callers;
};

/// A target starts while its machine's clock is ahead, the clock is set back, and the target's agent is killed and started again. Later an
/// entry daemon is stopped, as planned, and flows of the target go through another one.
int runClockStep(Deployment &deployment, bool hasTrouble, Record &record)
{
    constexpr std::size_t FlowsAfterStart = 45;
    constexpr std::size_t Attempts = 3;
    constexpr Milliseconds Outage {3'000};
    constexpr Milliseconds Heartbeat {770};
    auto &callers = deployment.callers();
    const auto holdsNone = [&](const std::vector<FlowId> &flows) {
        return std::none_of(flows.begin(), flows.end(), [&](const FlowId &id) { return deployment.target(0).holds(id); });
    };
    // The machines have been in touch for the whole time before the traffic.
    callers.run(Stability + Milliseconds(1'000));
    for (int flow = 0; flow < 8; ++flow)
        (void)callers.open();
    callers.run(Milliseconds(1'000));

    std::vector<FlowId> flows;
    flows.reserve(FlowsAfterStart * Attempts);
    std::string id = "i-0";
    // A target whose agent has noticed that its port was closed may get no new flows for a while, so that the crash is repeated then.
    for (std::size_t attempt = 0; attempt < Attempts && holdsNone(flows); ++attempt) {
        record.write("target-0 crashes");
        deployment.target(0).crash();
        callers.run(Heartbeat * 3);
        deployment.store().erase("servers/" + id);
        callers.run(Outage - Heartbeat * 3);
        record.write("target-0 starts again" + std::string(hasTrouble ? " while its machine's clock is 2 s ahead" : ""));
        if (!deployment.target(0).start())
            return ExitCannotRun;
        id = "i-" + std::to_string(100 + attempt);
        deployment.publish(0, id, unixMilliseconds() + (hasTrouble ? static_cast<std::uint64_t>(ClockStep.count()) : 0U), 0);
        for (std::size_t flow = 0; flow < FlowsAfterStart; ++flow) {
            flows.push_back(callers.open());
            callers.run(Milliseconds(20));
        }
    }
    if (hasTrouble)
        record.write("the clock of that machine is set back by 2 s");
    deployment.processes().kill("agent-0");
    callers.run(Milliseconds(400));
    deployment.startAgent(0, false);
    callers.run(Stability + Milliseconds(1'500));

    std::map<std::size_t, int> flowsOfEntry;
    for (const auto &id : flows) {
        if (deployment.target(0).holds(id))
            ++flowsOfEntry[deployment.routers().entryOf(id)];
    }
    if (flowsOfEntry.empty()) {
        record.write("target-0 got no flow");
        return ExitCannotRun;
    }
    const auto stopped = std::max_element(flowsOfEntry.begin(), flowsOfEntry.end(), [](const auto &one, const auto &other) {
                             return one.second < other.second;
                         })->first;
    deployment.processes().terminate("entry-" + std::to_string(stopped));
    callers.run(Milliseconds(1'500));
    int broken = 0;
    int held = 0;
    for (const auto &id : flows) {
        if (deployment.target(0).holds(id))
            callers.request(id);
    }
    callers.run(Milliseconds(3'000));
    for (const auto &id : flows) {
        const auto &flow = callers.flows().at(id);
        if (!deployment.target(0).holds(id))
            continue;
        ++held;
        if (!flow.isResetBySystem)
            continue;
        ++broken;
        record.write("FLOW broken: the system reset flow " + toText(id.first) + ", which target-0 holds open and did not reset");
    }
    record.write("flows that target-0 holds: " + std::to_string(held) + ", of these reset by the system: " + std::to_string(broken));
    return broken > 0 ? ExitBroken : ExitHeld;
}

/// An agent is killed and started again, and a route is dropped meanwhile. Callers that opened flows on the route just before send copies
/// of their SYN, as they do after 200 and 600 ms.
int runDroppedRoute(Deployment &deployment, bool hasTrouble, Record &record)
{
    constexpr int FlowsOfRoute = 24;
    constexpr std::uint16_t KeptPort = 8'080;
    constexpr std::uint16_t AddedPort = 9'443;
    constexpr Milliseconds RollbackSlack {250};
    auto &callers = deployment.callers();
    deployment.putConfiguration(5, {ServicePort, KeptPort});
    callers.run(Stability + Milliseconds(1'000));
    for (int flow = 0; flow < 8; ++flow)
        (void)callers.open(KeptPort);
    callers.run(Milliseconds(1'000));

    if (hasTrouble)
        deployment.processes().kill("agent-0");
    const auto killedAt = Clock::now();
    std::vector<FlowId> dropped;
    dropped.reserve(FlowsOfRoute);
    for (int flow = 0; flow < FlowsOfRoute; ++flow)
        dropped.push_back(callers.open());
    callers.run(Milliseconds(30));
    deployment.putConfiguration(8, {KeptPort, AddedPort});
    callers.run(Milliseconds(50));
    std::vector<FlowId> added;
    added.reserve(FlowsOfRoute);
    for (int flow = 0; flow < FlowsOfRoute; ++flow)
        added.push_back(callers.open(AddedPort));
    callers.run(std::chrono::duration_cast<Milliseconds>(killedAt + Milliseconds(400) - Clock::now()));
    if (hasTrouble)
        deployment.startAgent(0, false);
    callers.run(Milliseconds(3'000));

    std::map<std::size_t, Clock::time_point> effects;
    for (const auto &id : added) {
        const auto opened = deployment.openedAt(id);
        if (!opened)
            continue;
        const auto entry = deployment.routers().entryOf(id);
        effects.try_emplace(entry, *opened);
        effects[entry] = std::min(effects[entry], *opened);
    }
    int broken = 0;
    for (const auto &id : dropped) {
        const auto opened = deployment.openedAt(id);
        const auto effect = effects.find(deployment.routers().entryOf(id));
        if (!opened || effect == effects.end())
            continue;
        const auto &flow = callers.flows().at(id);
        const auto sentAt = flow.openingSentAt;
        if (sentAt - effect->second <= RollbackSlack)
            continue;
        ++broken;
        record.write("CONFIG broken: entry-" + std::to_string(effect->first) + " passed on the opening packet of flow " + flowText(id)
                     + " on the dropped route, which the caller sent "
                     + std::to_string(std::chrono::duration_cast<Milliseconds>(sentAt - effect->second).count())
                     + " ms after a target saw the effect of version 8 through the same entry daemon; requests answered: "
                     + std::to_string(flow.requests - (flow.request.empty() ? 0 : 1)));
    }
    record.write("entry daemons through which a target saw version 8: " + std::to_string(effects.size())
                 + ", flows opened on the dropped route later than the slack: " + std::to_string(broken));
    if (effects.empty())
        return ExitCannotRun;
    return broken > 0 ? ExitBroken : ExitHeld;
}

/// An entry daemon is added, so that flows move to it. A target crashes after callers have got much data on these flows.
int runMovedFlows(Deployment &deployment, bool hasTrouble, Record &record)
{
    constexpr int Flows = 36;
    constexpr int Rounds = 100;
    auto &callers = deployment.callers();
    for (int target = 0; target < Targets; ++target)
        deployment.target(target).setAnswerSize(AnswerSize);
    callers.run(Stability + Milliseconds(1'000));
    std::vector<FlowId> flows;
    flows.reserve(Flows);
    for (int flow = 0; flow < Flows; ++flow)
        flows.push_back(callers.open());
    callers.run(Milliseconds(500));
    deployment.startEntry(Entries - 1);
    for (int step = 0; step < 100 && deployment.routers().inRotation() < Entries; ++step)
        callers.run(Milliseconds(100));
    for (int round = 0; round < Rounds; ++round) {
        for (const auto &id : flows) {
            if (callers.flows().at(id).request.empty() && callers.flows().at(id).isOpen)
                callers.request(id);
        }
        callers.run(Milliseconds(100));
    }
    if (hasTrouble) {
        record.write("target-0 crashes");
        deployment.target(0).crash();
    }
    for (int round = 0; round < 20; ++round) {
        for (const auto &id : flows) {
            auto &flow = callers.flows().at(id);
            if (!flow.isFailed && flow.isOpen && flow.request.empty())
                callers.request(id);
        }
        callers.run(Milliseconds(100));
    }
    const auto stray = std::count_if(flows.begin(), flows.end(), [&](const FlowId &id) { return callers.flows().at(id).hasStrayReset; });
    record.write("flows that got a reset of the system too far from the caller's last ack: " + std::to_string(stray));
    return stray > 0 ? ExitBroken : ExitHeld;
}

/// The configuration grows by many routes, and the store forgets its history. Then a target drains.
int runLargeConfiguration(Deployment &deployment, bool hasTrouble, Record &record)
{
    constexpr int Growth = 1'400;
    constexpr int Growths = 4;
    constexpr Milliseconds Drain {5'000};
    /// 10 Mbit/s.
    constexpr std::size_t LinkRate = 1'250'000;
    auto &callers = deployment.callers();
    deployment.store().setLinkRate(LinkRate);
    const auto born = unixMilliseconds();
    callers.run(Stability);
    for (int growth = 1; growth <= Growths; ++growth) {
        deployment.putConfiguration(3 + 2 * growth, {ServicePort}, hasTrouble ? growth * Growth : 0);
        callers.run(Milliseconds(3'000));
    }
    record.write("watches hear nothing for a second");
    deployment.store().muteWatches();
    deployment.publish(1, "i-1", born, 0);
    callers.run(Milliseconds(1'000));
    record.write("the store forgets its history and cuts the watches");
    deployment.store().dropHistory();
    callers.run(Stability + Milliseconds(5'000));

    deployment.publish(0, "i-0", born, 0, "draining");
    record.write("the store acknowledges that target-0 is draining");
    const auto acknowledgedAt = Clock::now();
    std::vector<FlowId> flows;
    while (Clock::now() - acknowledgedAt < Drain + Milliseconds(4'000)) {
        flows.push_back(callers.open());
        callers.run(Milliseconds(50));
    }
    int late = 0;
    for (const auto &id : flows) {
        const auto opened = deployment.target(0).openedAt(id);
        if (!opened || *opened - acknowledgedAt <= Drain)
            continue;
        ++late;
        record.write("DRAIN broken: target-0 took the opening packet of flow " + flowText(id) + " "
                     + std::to_string(std::chrono::duration_cast<Milliseconds>(*opened - acknowledgedAt).count())
                     + " ms after the acknowledgement");
    }
    record.write("flows that target-0 took later than DrainMs after the acknowledgement: " + std::to_string(late));
    return late > 0 ? ExitBroken : ExitHeld;
}

int runScenario(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: harness SCENARIO PROGRAMS FOLDER RECORD\n";
        return ExitCannotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    const std::string scenario = argv[1];
    Record record(argv[4]);
    // Another run may use the addresses of one network of the loopback range, so that a free one is sought.
    std::uint32_t network = 0;
    for (std::uint32_t number = 0; number < 200 && network == 0; ++number) {
        const auto candidate = 0x7f000000U | ((20U + (static_cast<std::uint32_t>(::getpid()) + number) % 200U) << 16U);
        const int probe = bindSocket({candidate | 0x0901U, StorePort}, SOCK_STREAM);
        if (probe < 0)
            continue;
        ::close(probe);
        network = candidate;
    }
    Deployment deployment(network, argv[2], argv[3], record);
    if (scenario == "large-configuration")
        deployment.useSlowLinks();
    if (!deployment.start(scenario == "moved-flows" ? Entries - 1 : Entries)) {
        record.write("the deployment did not start");
        return ExitCannotRun;
    }
    record.write("all entry daemons are in rotation");
    if (scenario == "clock-step")
        return runClockStep(deployment, hasTrouble, record);
    if (scenario == "large-configuration")
        return runLargeConfiguration(deployment, hasTrouble, record);
    if (scenario == "dropped-route")
        return runDroppedRoute(deployment, hasTrouble, record);
    if (scenario == "moved-flows")
        return runMovedFlows(deployment, hasTrouble, record);
    return ExitCannotRun;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    return Review::runScenario(argc, argv);
}
