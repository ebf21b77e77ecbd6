#pragma once

#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <atomic>
#include <list>
#include <thread>

namespace Papaya {

/// How a proxy treats the connections through it.
enum class ProxyMode {
    Pass,
    Delayed,
    /// No bytes are forwarded in either direction, and no connection is closed.
    Silent,
    /// Bytes from the server are not forwarded.
    OneWay,
    /// Existing and new connections are reset.
    Reset,
};

/// A TCP proxy on loopback that injects faults. Connections that were open in mode Silent forward nothing from then on, as if a
/// stateful middlebox had lost their state. Connections opened after the mode is Pass again work.
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
    /// Forwards the available bytes. Returns false if a stream ended or failed.
    [[nodiscard]] static bool copy(const FileDescriptor &from, const FileDescriptor &to);

    Endpoint m_server;
    FileDescriptor m_listener;
    std::list<Link> m_links;
    std::atomic<ProxyMode> m_mode = ProxyMode::Pass;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Papaya
