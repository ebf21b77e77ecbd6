#include "StoreStandIn.h"

#include <absl/strings/escaping.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Papaya {

namespace {

constexpr int Unavailable = 503;
/// Each pending watch request occupies one thread of the server.
constexpr std::size_t ServerThreads = 16;

} // namespace

struct StoreStandIn::Server : httplib::Server {
};

StoreStandIn::StoreStandIn(const Endpoint &address)
    : m_server(std::make_unique<Server>())
{
    m_server->new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    m_server->Get("/-/kv-range", [this](const httplib::Request &, httplib::Response &response) {
        ++m_calls;
        response.status = m_isDown ? Unavailable : 200;
        if (!m_isDown)
            response.set_content(rangeBody(), "application/json");
    });
    m_server->Get("/-/kv-watch", [this](const httplib::Request &request, httplib::Response &response) {
        ++m_calls;
        const auto after = std::stoull(request.get_param_value("after"));
        const auto wait = std::chrono::milliseconds(std::stoll(request.get_param_value("WaitMs")));
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [&] { return m_revision > after || m_isDown || m_isStopping; });
        lock.unlock();
        response.status = m_isDown ? Unavailable : 200;
        if (!m_isDown)
            response.set_content(watchBody(after), "application/json");
    });
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
    auto &item = m_items[key];
    const bool isNew = item.created == 0 || item.isDeleted;
    item.value = value;
    item.revision = ++m_revision;
    item.created = isNew ? m_revision : item.created;
    item.isDeleted = false;
    m_changed.notify_all();
}

void StoreStandIn::erase(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    auto &item = m_items[key];
    item.isDeleted = true;
    item.revision = ++m_revision;
    m_changed.notify_all();
}

std::string StoreStandIn::rangeBody() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json body {{"items", nlohmann::json::array()}, {"HasMore", false}, {"StoreRevision", m_revision}};
    for (const auto &[key, item] : m_items) {
        if (!item.isDeleted)
            body["items"].push_back(
                {{"Key", key}, {"Value", absl::Base64Escape(item.value)}, {"Revision", item.revision}, {"Created", item.created}});
    }
    return body.dump();
}

std::string StoreStandIn::watchBody(std::uint64_t after) const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json body {{"events", nlohmann::json::array()}, {"StoreRevision", m_revision}};
    for (const auto &[key, item] : m_items) {
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
