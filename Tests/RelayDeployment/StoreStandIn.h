#pragma once

#include "LibState/Clock.h"
#include "LibState/Endpoint.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Papaya {

/// A stand-in for the platform's store. It serves range reads and watches over HTTP. HTTP requests only read; tests change the
/// contents with put() and erase(). All responses have the header Store-Era.
class StoreStandIn
{
public:
    explicit StoreStandIn(const Endpoint &address);
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    /// While down, the store responds to all requests with status 503. Waiting watches are closed without a response.
    void setDown(bool isDown);
    /// Restores the items and the revision that the store had at a time, and starts the next era. Waiting watches are closed without a
    /// response.
    void restore(TimePoint time);
    /// Returns the revision of the last change.
    [[nodiscard]] std::uint64_t revision() const;
    /// Returns the number of HTTP requests received.
    [[nodiscard]] int calls() const { return m_calls; }

    /// Limits the items of one page of a range read.
    void setPageSize(std::size_t items) { m_pageSize = items; }
    /// Sets a function that is called once, after the next page of a range read was built and before it is sent.
    void setAfterNextPage(std::function<void()> function);

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool isDeleted = false;
    };

    /// The contents after one change.
    struct Contents {
        std::map<std::string, Item> items;
        std::uint64_t revision = 1;
    };

    struct Copy {
        TimePoint takenAt;
        Contents contents;
    };

    /// An HTTP request and response, defined in the source file to keep the HTTP library out of this header.
    struct Exchange;
    struct Server;

    void serveRange(const Exchange &exchange);
    void serveWatch(const Exchange &exchange);
    [[nodiscard]] std::string rangeBody(const std::string &after) const;
    [[nodiscard]] std::string watchBody(std::uint64_t after) const;
    /// Returns whether the store still has all changes after a revision.
    [[nodiscard]] bool hasHistoryAfter(std::uint64_t revision) const;
    /// Ends a change of the contents: keeps a copy and notifies waiting watches. The caller holds the mutex.
    void commit();

    std::unique_ptr<Server> m_server;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Contents m_contents;
    /// Copies of the contents after each change of the last seconds, oldest first.
    std::deque<Copy> m_copies;
    std::uint64_t m_era = 1;
    /// Incremented when the waiting watches are closed.
    std::uint64_t m_closedWatches = 0;
    std::function<void()> m_afterNextPage;
    std::atomic<std::size_t> m_pageSize = 500;
    std::atomic<bool> m_isDown = false;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_calls = 0;
};

} // namespace Papaya
