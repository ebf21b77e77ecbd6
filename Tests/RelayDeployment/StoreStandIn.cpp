#include "StoreStandIn.h"

#include "LibTransport/MonotonicClock.h"

#include <absl/strings/escaping.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace Papaya {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusGone = 410;
constexpr int StatusUnavailable = 503;
/// Each pending watch request occupies one thread of the server.
constexpr std::size_t ServerThreads = 16;
/// A watch that starts more changes ago than this receives status 410.
constexpr std::uint64_t HistoryRevisions = 500;
/// Age of the oldest copy from which the store can be restored.
constexpr Duration MaximumCopyAge {60'000};
constexpr const char *JsonType = "application/json";

} // namespace

struct StoreStandIn::Server : httplib::Server {
};

struct StoreStandIn::Exchange {
    const httplib::Request &request;
    httplib::Response &response;

    void send(std::uint64_t era, int status, const std::string &body = {}) const
    {
        response.set_header("Store-Era", std::to_string(era));
        response.status = status;
        if (!body.empty())
            response.set_content(body, JsonType);
    }

    /// Closes the connection before the announced body was sent.
    void close() const
    {
        response.set_content_provider(1, JsonType, [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    }
};

StoreStandIn::StoreStandIn(const Endpoint &address)
    : m_server(std::make_unique<Server>())
{
    commit();
    m_server->new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    m_server->Get("/-/kv-range", [this](const httplib::Request &request, httplib::Response &response) { serveRange({request, response}); });
    m_server->Get("/-/kv-watch", [this](const httplib::Request &request, httplib::Response &response) { serveWatch({request, response}); });
    const auto text = toString(address);
    m_thread = std::thread([this, host = text.substr(0, text.find(':')), port = address.port] { m_server->listen(host, port); });
    while (!m_server->is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

StoreStandIn::~StoreStandIn()
{
    m_isStopping = true;
    m_changed.notify_all();
    m_server->stop();
    m_thread.join();
}

void StoreStandIn::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    auto &item = m_contents.items[key];
    const bool isNew = item.created == 0 || item.isDeleted;
    item.value = value;
    item.revision = ++m_contents.revision;
    item.created = isNew ? m_contents.revision : item.created;
    item.isDeleted = false;
    commit();
}

void StoreStandIn::erase(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    auto &item = m_contents.items[key];
    item.isDeleted = true;
    item.revision = ++m_contents.revision;
    commit();
}

void StoreStandIn::commit()
{
    const auto now = currentTime();
    m_copies.push_back({now, m_contents});
    while (m_copies.size() > 1 && now - m_copies[1].takenAt >= MaximumCopyAge)
        m_copies.pop_front();
    m_changed.notify_all();
}

void StoreStandIn::setDown(bool isDown)
{
    const std::lock_guard lock(m_mutex);
    m_isDown = isDown;
    ++m_closedWatches;
    m_changed.notify_all();
}

void StoreStandIn::restore(TimePoint time)
{
    const std::lock_guard lock(m_mutex);
    while (m_copies.size() > 1 && m_copies.back().takenAt > time)
        m_copies.pop_back();
    m_contents = m_copies.back().contents;
    ++m_era;
    ++m_closedWatches;
    m_changed.notify_all();
}

std::uint64_t StoreStandIn::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_contents.revision;
}

void StoreStandIn::setAfterNextPage(std::function<void()> function)
{
    const std::lock_guard lock(m_mutex);
    m_afterNextPage = std::move(function);
}

void StoreStandIn::serveRange(const Exchange &exchange)
{
    ++m_calls;
    std::unique_lock lock(m_mutex);
    if (m_isDown) {
        exchange.send(m_era, StatusUnavailable);
        return;
    }
    exchange.send(m_era, StatusOk, rangeBody(exchange.request.get_param_value("after")));
    const auto afterPage = std::exchange(m_afterNextPage, nullptr);
    lock.unlock();
    if (afterPage)
        afterPage();
}

void StoreStandIn::serveWatch(const Exchange &exchange)
{
    ++m_calls;
    const auto after = std::stoull(exchange.request.get_param_value("after"));
    const auto wait = std::chrono::milliseconds(std::stoll(exchange.request.get_param_value("WaitMs")));
    std::unique_lock lock(m_mutex);
    const auto closedWatches = m_closedWatches;
    if (!m_isDown && hasHistoryAfter(after))
        m_changed.wait_for(lock, wait, [&] { return m_contents.revision > after || closedWatches != m_closedWatches || m_isStopping; });
    if (closedWatches != m_closedWatches)
        exchange.close();
    else if (m_isDown)
        exchange.send(m_era, StatusUnavailable);
    else if (!hasHistoryAfter(after))
        exchange.send(m_era, StatusGone);
    else
        exchange.send(m_era, StatusOk, watchBody(after));
}

bool StoreStandIn::hasHistoryAfter(std::uint64_t revision) const
{
    return revision <= m_contents.revision && m_contents.revision - revision <= HistoryRevisions;
}

std::string StoreStandIn::rangeBody(const std::string &after) const
{
    nlohmann::json body {{"items", nlohmann::json::array()}, {"HasMore", false}, {"StoreRevision", m_contents.revision}};
    for (const auto &[key, item] : m_contents.items) {
        if (item.isDeleted || key <= after)
            continue;
        if (body["items"].size() == m_pageSize) {
            body["HasMore"] = true;
            break;
        }
        body["items"].push_back(
            {{"Key", key}, {"Value", absl::Base64Escape(item.value)}, {"Revision", item.revision}, {"Created", item.created}});
    }
    return body.dump();
}

std::string StoreStandIn::watchBody(std::uint64_t after) const
{
    nlohmann::json body {{"events", nlohmann::json::array()}, {"StoreRevision", m_contents.revision}};
    for (const auto &[key, item] : m_contents.items) {
        if (item.revision <= after)
            continue;
        if (item.isDeleted)
            body["events"].push_back({{"Key", key}, {"Revision", item.revision}, {"Tombstone", true}});
        else
            body["events"].push_back(
                {{"Key", key}, {"Value", absl::Base64Escape(item.value)}, {"Revision", item.revision}, {"Created", item.created}});
    }
    return body.dump();
}

} // namespace Papaya
