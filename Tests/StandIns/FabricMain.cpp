// A stand-in for the fabric and the callers' side of the network. It accepts ordinary TCP connections on one loopback port for
// each service address, relays each connection as IP packets of a user-space TCP stack, and sends every packet to a randomly
// chosen entry daemon. It can drop, duplicate and delay packets in both directions.

#include "LibTransport/DatagramSocket.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/LwipConnection.h"
#include "LibTransport/LwipStack.h"
#include "LibTransport/MonotonicClock.h"
#include "LibTransport/StreamBridge.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <httplib.h>

#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <thread>

ABSL_FLAG(std::string, listen, "", "UDP address for packets from targets to callers, a.b.c.d:port.");
ABSL_FLAG(std::vector<std::string>, services, {}, "SERVICE_ADDRESS=LOOPBACK_ADDRESS pairs, each address a.b.c.d:port.");
ABSL_FLAG(std::vector<std::string>, entries, {}, "Addresses of the entry daemons' fabric sockets.");
ABSL_FLAG(int, operator_port, 0, "HTTP port on 127.0.0.1 for PUT /entries, PUT /faults and GET /listeners.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed for the choice of entry daemons and for the faults.");
ABSL_FLAG(double, drop, 0, "Fraction of packets dropped.");
ABSL_FLAG(double, duplicate, 0, "Fraction of packets sent twice.");
ABSL_FLAG(double, delay, 0, "Fraction of packets delayed by up to 20 ms, which reorders them.");

namespace {

using namespace Papaya;

constexpr std::uint64_t PacketSocketToken = 1;
constexpr std::uint64_t FirstListenerToken = 2;
constexpr std::uint64_t FirstBridgeToken = 1'000;
constexpr Duration PollTimeout {2};
constexpr int MaximumDelayMilliseconds = 20;
constexpr std::uint32_t FirstCallerAddress = 0x0a630001; // 10.99.0.1
constexpr std::uint32_t CallerAddressCount = 8;

/// The fractions of packets, from 0 to 1, that are dropped, sent twice and delayed.
struct Faults {
    double drop = 0;
    double duplicate = 0;
    double delay = 0;
};

/// A packet that is held back by a delay fault. The ordering puts the one that is due first at the top of a priority queue.
struct DelayedPacket {
    TimePoint due;
    std::vector<std::byte> packet;
    bool isToEntry = true;

    bool operator<(const DelayedPacket &other) const { return due > other.due; }
};

struct Listener {
    FileDescriptor descriptor;
    Endpoint loopback;
    Endpoint service;
};

std::vector<Endpoint> parseEndpoints(const std::vector<std::string> &texts)
{
    std::vector<Endpoint> endpoints;
    for (const auto &text : texts) {
        const auto parsed = parseEndpoint(text);
        if (parsed.has_value())
            endpoints.push_back(parsed.value());
    }
    return endpoints;
}

/// Relays callers' connections as IP packets over the entry daemons, with faults.
class Fabric
{
public:
    Fabric(DatagramSocket packetSocket, std::uint64_t seed)
        : m_packetSocket(std::move(packetSocket))
        , m_random(seed)
    {
    }

    void start(const std::vector<std::string> &services)
    {
        m_stack = &LwipStack::start([this](std::span<const std::byte> packet) { spray(packet); });
        const LwipLock lock;
        for (std::uint32_t index = 0; index < CallerAddressCount; ++index)
            (void)m_stack->addAddress(FirstCallerAddress + index);
        std::uint64_t token = FirstListenerToken;
        for (const auto &pair : services) {
            const std::vector<std::string> parts = absl::StrSplit(pair, '=');
            const auto service = parseEndpoint(parts.at(0));
            const auto loopback = parseEndpoint(parts.at(1));
            auto listener = listenStream(loopback.value());
            if (listener.has_error()) {
                EventLog("fabric_listen_failed", LogLevel::Error).with(listener.error());
                exitProcess(1);
            }
            m_poll.addReader(listener.value().get(), token);
            m_listeners.emplace(token++, Listener {std::move(listener.value()), loopback.value(), service.value()});
        }
        m_poll.addReader(m_packetSocket.descriptor(), PacketSocketToken);
    }

    /// Returns the loopback addresses on which callers are accepted, one a line. Thread-safe after start(), which opens all of them.
    [[nodiscard]] std::string listenerAddresses() const
    {
        std::string lines;
        for (const auto &[token, listener] : m_listeners)
            lines += toString(listener.loopback) + "\n";
        return lines;
    }

    [[noreturn]] void run()
    {
        while (true) {
            m_poll.wait(PollTimeout, [&](std::uint64_t token) {
                const LwipLock lock;
                if (token == PacketSocketToken)
                    m_packetSocket.receive([&](std::span<const std::byte> packet, const Endpoint &) { receive(packet); });
                else if (token < FirstBridgeToken)
                    accept(m_listeners.at(token));
                else
                    pump(token);
            });
            const LwipLock lock;
            deliverDelayed();
            for (const auto token : m_stack->takeReady())
                pump(token);
        }
    }

    /// Sets the entry daemons that receive callers' packets. Thread-safe: called by the HTTP server of the operator port.
    void setEntries(std::vector<Endpoint> entries)
    {
        const std::lock_guard lock(m_mutex);
        m_entries = std::move(entries);
    }
    /// Sets the faults to inject. Thread-safe, like setEntries().
    void setFaults(const Faults &faults)
    {
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
    }

private:
    void accept(const Listener &listener)
    {
        while (auto stream = acceptStream(listener.descriptor)) {
            const auto address = FirstCallerAddress + static_cast<std::uint32_t>(m_nextToken % CallerAddressCount);
            auto connection = m_stack->connect(address, listener.service);
            if (connection.has_error())
                continue;
            const auto token = m_nextToken++;
            connection.value()->setToken(token);
            auto bridge = std::make_unique<StreamBridge>(std::move(connection.value()), std::move(*stream), EndOfStreamPolicy::Propagate);
            m_poll.addStream(bridge->descriptor(), token);
            m_bridges.emplace(token, std::move(bridge));
        }
    }

    void pump(std::uint64_t token)
    {
        const auto found = m_bridges.find(token);
        if (found != m_bridges.end() && found->second->pump() != BridgeState::Open)
            m_bridges.erase(found);
    }

    /// Sends a packet of a caller to a randomly chosen entry daemon. Runs under the stack's lock.
    void spray(std::span<const std::byte> packet) { injectFaults(packet, true); }

    /// Feeds a packet from a target to the callers' stack.
    void receive(std::span<const std::byte> packet) { injectFaults(packet, false); }

    /// Delivers a packet, or drops, duplicates or delays it at random according to the faults.
    void injectFaults(std::span<const std::byte> packet, bool isToEntry)
    {
        const std::lock_guard lock(m_mutex);
        std::uniform_real_distribution<double> chance(0, 1);
        if (chance(m_random) < m_faults.drop)
            return;
        const int copies = chance(m_random) < m_faults.duplicate ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (chance(m_random) < m_faults.delay) {
                const Duration delay(std::uniform_int_distribution<int>(1, MaximumDelayMilliseconds)(m_random));
                m_delayed.push({currentTime() + delay, {packet.begin(), packet.end()}, isToEntry});
            } else {
                deliver(packet, isToEntry);
            }
        }
    }

    void deliver(std::span<const std::byte> packet, bool isToEntry)
    {
        if (!isToEntry) {
            m_stack->input(packet);
            return;
        }
        if (m_entries.empty())
            return;
        const auto index = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
        m_packetSocket.send(m_entries[index], packet);
    }

    void deliverDelayed()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = currentTime();
        while (!m_delayed.empty() && m_delayed.top().due <= now) {
            const auto delayed = m_delayed.top();
            m_delayed.pop();
            deliver(delayed.packet, delayed.isToEntry);
        }
    }

    DatagramSocket m_packetSocket;
    EventPoll m_poll;
    LwipStack *m_stack = nullptr;
    std::map<std::uint64_t, Listener> m_listeners;
    std::map<std::uint64_t, std::unique_ptr<StreamBridge>> m_bridges;
    std::uint64_t m_nextToken = FirstBridgeToken;
    std::recursive_mutex m_mutex;
    std::mt19937_64 m_random;
    std::vector<Endpoint> m_entries;
    Faults m_faults;
    std::priority_queue<DelayedPacket> m_delayed;
};

void serveOperator(Fabric &fabric)
{
    httplib::Server server;
    server.Put("/entries", [&](const httplib::Request &request, httplib::Response &) {
        const std::vector<std::string> texts = absl::StrSplit(request.body, ',', absl::SkipEmpty());
        fabric.setEntries(parseEndpoints(texts));
    });
    server.Put("/faults", [&](const httplib::Request &request, httplib::Response &) {
        const auto number = [&](const char *key) { return std::strtod(request.get_param_value(key).c_str(), nullptr); };
        fabric.setFaults({number("drop"), number("duplicate"), number("delay")});
    });
    server.Get("/listeners", [&](const httplib::Request &, httplib::Response &response) {
        response.set_content(fabric.listenerAddresses(), "text/plain");
    });
    server.listen("127.0.0.1", absl::GetFlag(FLAGS_operator_port));
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    startLogging();
    auto packetSocket = DatagramSocket::bind(parseEndpoint(absl::GetFlag(FLAGS_listen)).value());
    if (packetSocket.has_error()) {
        EventLog("fabric_bind_failed", LogLevel::Error).with(packetSocket.error());
        return 1;
    }
    Fabric fabric(std::move(packetSocket.value()), absl::GetFlag(FLAGS_seed));
    fabric.setEntries(parseEndpoints(absl::GetFlag(FLAGS_entries)));
    fabric.setFaults({absl::GetFlag(FLAGS_drop), absl::GetFlag(FLAGS_duplicate), absl::GetFlag(FLAGS_delay)});
    fabric.start(absl::GetFlag(FLAGS_services));
    std::thread(serveOperator, std::ref(fabric)).detach();
    fabric.run();
}
