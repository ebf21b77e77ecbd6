#pragma once

#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <atomic>
#include <list>
#include <thread>

namespace Papaya {

/// What a proxy does to the connections through it.
enum class ProxyMode {
    Pass,
    Delayed,
    /// Nothing passes either way, and nothing is closed.
    Silent,
    /// What the server sends is held back.
    OneWay,
    /// Connections are reset, old and new.
    Reset,
};

/// A TCP proxy on loopback that harms what goes through it. Connections that were silenced stay so for good, as when something
/// between two hosts has lost track of them; new ones work once the mode is Pass again.
class StoreProxy
{
public:
    StoreProxy(const Endpoint &address, const Endpoint &server);
    ~StoreProxy();
    StoreProxy(const StoreProxy &) = delete;
    StoreProxy &operator=(const StoreProxy &) = delete;

    void setMode(ProxyMode mode) { m_mode = mode; }

private:
    struct Link {
        FileDescriptor client;
        FileDescriptor server;
        bool isSilenced = false;
        bool isEnded = false;
    };

    void run();
    void serve(Link &link) const;
    /// Copies what is there; returns whether the stream goes on.
    [[nodiscard]] static bool copy(const FileDescriptor &from, const FileDescriptor &to);

    Endpoint m_server;
    FileDescriptor m_listener;
    std::list<Link> m_links;
    std::atomic<ProxyMode> m_mode = ProxyMode::Pass;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Papaya
