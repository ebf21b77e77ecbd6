// A stand-in for the platform's service, which serves a configuration text and a VM list by HTTP long polling. The tests change
// both texts by PUT, and make the service unavailable by POST /down; the product uses only GET.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <iostream>
#include <mutex>

ABSL_FLAG(int, port, 0, "TCP port on 127.0.0.1.");

namespace {

constexpr std::size_t ServerThreads = 128;
constexpr std::chrono::milliseconds MaximumPollTimeout {30'000};

/// A text with its version. Reads wait until the text or its version is set.
class VersionedValue
{
public:
    void set(std::uint64_t version, std::string text)
    {
        const std::lock_guard lock(m_mutex);
        m_version = version;
        m_text = std::move(text);
        ++m_changes;
        m_changed.notify_all();
    }

    /// Answers a long poll. A version newer than the parameter `after` is returned immediately. Otherwise the call waits up to
    /// `wait_ms` for the next set() and returns its version, even an older one; status 204 if there was none.
    void respond(const httplib::Request &request, httplib::Response &response)
    {
        const auto after = std::strtoull(request.get_param_value("after").c_str(), nullptr, 10);
        const auto wait =
            std::min(MaximumPollTimeout, std::chrono::milliseconds(std::strtoll(request.get_param_value("wait_ms").c_str(), nullptr, 10)));
        std::unique_lock lock(m_mutex);
        const auto changes = m_changes;
        m_changed.wait_for(lock, wait, [&] { return m_version > after || m_changes != changes; });
        if (m_version == 0 || (m_version <= after && m_changes == changes)) {
            response.status = 204;
            return;
        }
        response.set_header("Version", std::to_string(m_version));
        response.set_content(m_text, "text/plain");
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 0;
    std::uint64_t m_changes = 0;
    std::string m_text;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    VersionedValue configuration;
    VersionedValue vmList;
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<bool> isDown = false;

    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    const auto serve = [&](VersionedValue &value) {
        return [&](const httplib::Request &request, httplib::Response &response) {
            ++reads;
            if (isDown)
                response.status = 503;
            else
                value.respond(request, response);
        };
    };
    const auto store = [](VersionedValue &value) {
        return [&](const httplib::Request &request, httplib::Response &) {
            value.set(std::strtoull(request.get_param_value("version").c_str(), nullptr, 10), request.body);
        };
    };
    server.Get("/configuration", serve(configuration));
    server.Get("/vms", serve(vmList));
    server.Put("/configuration", store(configuration));
    server.Put("/vms", store(vmList));
    server.Post("/down", [&](const httplib::Request &, httplib::Response &) { isDown = true; });
    server.Post("/up", [&](const httplib::Request &, httplib::Response &) { isDown = false; });
    server.Get("/reads",
               [&](const httplib::Request &, httplib::Response &response) { response.set_content(std::to_string(reads), "text/plain"); });
    return server.listen("127.0.0.1", absl::GetFlag(FLAGS_port)) ? 0 : 1;
}
