#include "StoreProxy.h"

#include "LibTransport/StreamSocket.h"

#include <array>

namespace Papaya {

namespace {

constexpr std::chrono::milliseconds PollInterval {2};
/// The delay before each round of forwarding over all connections in mode Delayed.
constexpr std::chrono::milliseconds Delay {150};
constexpr std::size_t BufferSize = 65'536;

} // namespace

StoreProxy::StoreProxy(const Endpoint &address, const Endpoint &server)
    : m_server(server)
    , m_listener(listenStream(address).value())
    , m_thread([this] { run(); })
{
}

StoreProxy::~StoreProxy()
{
    m_isStopping = true;
    m_thread.join();
}

void StoreProxy::run()
{
    while (!m_isStopping) {
        while (auto client = acceptStream(m_listener)) {
            auto server = connectStream(m_server);
            if (server.has_value())
                m_links.push_back({std::move(*client), std::move(server.value())});
        }
        if (m_mode == ProxyMode::Delayed)
            std::this_thread::sleep_for(Delay);
        for (auto &link : m_links)
            serve(link);
        m_links.remove_if([](const Link &link) { return link.isEnded; });
        std::this_thread::sleep_for(PollInterval);
    }
}

void StoreProxy::serve(Link &link) const
{
    const ProxyMode mode = m_mode;
    if (mode == ProxyMode::Reset) {
        resetStream(link.client);
        link.isEnded = true;
        return;
    }
    link.isSilenced = link.isSilenced || mode == ProxyMode::Silent;
    if (link.isSilenced)
        return;
    const bool isClientOpen = copy(link.client, link.server);
    const bool isServerOpen = mode == ProxyMode::OneWay || copy(link.server, link.client);
    link.isEnded = !isClientOpen || !isServerOpen;
}

bool StoreProxy::copy(const FileDescriptor &from, const FileDescriptor &to)
{
    std::array<std::byte, BufferSize> buffer {};
    const auto received = readStream(from, buffer);
    std::size_t written = 0;
    while (written < received.size) {
        const auto sent = writeStream(to, std::span(buffer).subspan(written, received.size - written));
        if (sent.state == StreamState::Broken)
            return false;
        written += sent.size;
    }
    return received.state == StreamState::Transferred || received.state == StreamState::WouldBlock;
}

} // namespace Papaya
