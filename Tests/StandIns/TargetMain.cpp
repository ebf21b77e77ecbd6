// A stand-in for a target. With HTTP, it runs requests in a limited number of slots. Each request takes the time in its header
// `Work-Ms`, or no time without the header, multiplied by the flag --slowness. From POST /shed?on=1 until POST /shed?on=0 the
// target refuses all requests. It keeps a journal, in memory, of the requests that it ran. With TCP, it sends back what it receives.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <httplib.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, protocol, "http", "http or tcp.");
ABSL_FLAG(int, port, 0, "TCP port on 127.0.0.1 for requests or connections.");
ABSL_FLAG(int, journal_port, 0, "HTTP port on 127.0.0.1 for GET /journal, POST /shed and POST /break.");
ABSL_FLAG(std::string, name, "target", "Name in the Target header of responses.");
ABSL_FLAG(int, slots, 7, "Requests that run at the same time; further ones are refused as not run.");
ABSL_FLAG(double, slowness, 1, "Factor by which the time of each request is multiplied.");
ABSL_FLAG(int, cold_start_ms, 0, "Time after the start, in milliseconds, during which requests take ten times as long.");

namespace {

using Clock = std::chrono::steady_clock;

constexpr int ColdFactor = 10;
constexpr std::size_t ServerThreads = 128;
constexpr std::size_t EchoBufferSize = 16UL * 1024;

/// The requests that the target ran, one line each, in the order in which they started.
class Journal
{
public:
    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_lines += line + "\n";
    }

    std::string text()
    {
        const std::lock_guard lock(m_mutex);
        return m_lines;
    }

private:
    std::mutex m_mutex;
    std::string m_lines;
};

/// The target's state, and the behaviour that tests change by POST.
struct Behaviour {
    std::atomic<int> running = 0;
    std::atomic<bool> isShedding = false;
    /// Number of further requests whose connection the target closes after the work was done and before the response is complete.
    std::atomic<int> breaksLeft = 0;
    Clock::time_point startedAt = Clock::now();
};

/// Returns how long the target works on a request.
std::chrono::milliseconds workTime(const httplib::Request &request, const Behaviour &behaviour)
{
    double milliseconds = std::strtod(request.get_header_value("Work-Ms").c_str(), nullptr);
    milliseconds *= absl::GetFlag(FLAGS_slowness);
    const auto coldTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_cold_start_ms));
    if (Clock::now() - behaviour.startedAt < coldTime)
        milliseconds *= ColdFactor;
    return std::chrono::milliseconds(static_cast<long>(milliseconds));
}

void refuse(httplib::Response &response)
{
    response.status = 503;
    response.set_header("Papaya-Outcome", "not-run");
}

void runRequest(const httplib::Request &request, httplib::Response &response, Behaviour &behaviour, Journal &journal)
{
    if (behaviour.isShedding || behaviour.running.fetch_add(1) >= absl::GetFlag(FLAGS_slots)) {
        if (!behaviour.isShedding)
            --behaviour.running;
        refuse(response);
        return;
    }
    journal.add(request.method + " " + request.path + " id=" + request.get_header_value("Request-Id"));
    std::this_thread::sleep_for(workTime(request, behaviour));
    --behaviour.running;
    int breaks = behaviour.breaksLeft;
    while (breaks > 0 && !behaviour.breaksLeft.compare_exchange_weak(breaks, breaks - 1)) {
    }
    if (breaks > 0) {
        // A content provider that returns false makes the server close the connection before the response is complete.
        response.set_content_provider(1'000, "text/plain", [](std::size_t, std::size_t, httplib::DataSink &sink) {
            sink.write("half", 4);
            return false;
        });
        return;
    }
    response.set_header("Target", absl::GetFlag(FLAGS_name));
    const bool hasBody = !request.body.empty();
    response.set_content(hasBody ? request.body : "served " + request.path + " id=" + request.get_header_value("Request-Id") + "\n",
                         "text/plain");
}

void serveJournal(Behaviour &behaviour, Journal &journal)
{
    httplib::Server server;
    server.Get("/journal",
               [&](const httplib::Request &, httplib::Response &response) { response.set_content(journal.text(), "text/plain"); });
    server.Post("/shed",
                [&](const httplib::Request &request, httplib::Response &) { behaviour.isShedding = request.get_param_value("on") == "1"; });
    server.Post("/break", [&](const httplib::Request &request, httplib::Response &) {
        behaviour.breaksLeft = static_cast<int>(std::strtol(request.get_param_value("count").c_str(), nullptr, 10));
    });
    server.listen("127.0.0.1", absl::GetFlag(FLAGS_journal_port));
}

int serveHttp(Behaviour &behaviour, Journal &journal)
{
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    const auto run = [&](const httplib::Request &request, httplib::Response &response) {
        runRequest(request, response, behaviour, journal);
    };
    server.Get(".*", run);
    server.Post(".*", run);
    server.Put(".*", run);
    server.Delete(".*", run);
    return server.listen("127.0.0.1", absl::GetFlag(FLAGS_port)) ? 0 : 1;
}

void echoConnection(int stream)
{
    std::vector<char> buffer(EchoBufferSize);
    while (true) {
        const auto received = ::recv(stream, buffer.data(), buffer.size(), 0);
        if (received <= 0)
            break;
        ssize_t sent = 0;
        while (sent < received) {
            const auto part = ::send(stream, buffer.data() + sent, static_cast<std::size_t>(received - sent), MSG_NOSIGNAL);
            if (part <= 0)
                break;
            sent += part;
        }
        if (sent < received)
            break;
    }
    ::close(stream);
}

int serveTcp()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)));
    if (::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(listener, 1'024) != 0)
        return 1;
    while (true) {
        const int stream = ::accept(listener, nullptr, nullptr);
        if (stream >= 0)
            std::thread(echoConnection, stream).detach();
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    Behaviour behaviour;
    Journal journal;
    std::thread(serveJournal, std::ref(behaviour), std::ref(journal)).detach();
    return absl::GetFlag(FLAGS_protocol) == "tcp" ? serveTcp() : serveHttp(behaviour, journal);
}
