#pragma once

#include "LibState/Endpoint.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Papaya {

/// A stand-in for the platform's store. It serves range reads and watches over HTTP. HTTP requests only read; tests change the
/// contents with put() and erase().
class StoreStandIn
{
public:
    explicit StoreStandIn(const Endpoint &address);
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    /// While down, the store responds to all requests with status 503.
    void setDown(bool isDown) { m_isDown = isDown; }
    /// Returns the number of HTTP requests received.
    [[nodiscard]] int calls() const { return m_calls; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool isDeleted = false;
    };

    [[nodiscard]] std::string rangeBody() const;
    [[nodiscard]] std::string watchBody(std::uint64_t after) const;

    /// The HTTP server. Defined in the source file to keep the HTTP library out of this header.
    struct Server;

    std::unique_ptr<Server> m_server;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::atomic<bool> m_isDown = false;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_calls = 0;
};

} // namespace Papaya
