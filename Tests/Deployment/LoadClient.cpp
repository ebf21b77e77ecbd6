#include "Deployment/LoadClient.h"

#include "LibTransport/SocketAddress.h"

#include <httplib.h>

#include <poll.h>
#include <sys/socket.h>

#include <array>

namespace Papaya {

namespace {

using namespace std::chrono_literals;

constexpr auto ResponseTimeout = 30s;

bool waitReadable(int descriptor, std::chrono::milliseconds timeout)
{
    pollfd entry {descriptor, POLLIN, 0};
    return ::poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

} // namespace

RequestResult sendRequest(const Endpoint &address,
                          const std::string &method,
                          const std::string &path,
                          const std::string &id,
                          const RequestOptions &options)
{
    httplib::Client client("127.0.0.1", address.port);
    client.set_read_timeout(ResponseTimeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = options.body;
    request.set_header("Request-Id", id);
    if (options.workMilliseconds > 0)
        request.set_header("Work-Ms", std::to_string(options.workMilliseconds));
    if (options.deadlineMilliseconds > 0)
        request.set_header("Papaya-Deadline-Ms", std::to_string(options.deadlineMilliseconds));
    const auto response = client.send(request);
    if (!response)
        return {};
    RequestResult result {
        response->status, response->get_header_value("Papaya-Outcome"), response->body, response->get_header_value("Target")};
    const auto expected = options.body.empty() ? "served " + path + " id=" + id + "\n" : options.body;
    if (result.outcome == "answered" && result.status == 200 && result.body != expected)
        result.outcome = "wrong";
    return result;
}

void countOutcome(OutcomeCounts &counts, const RequestResult &result)
{
    if (result.outcome == "wrong")
        ++counts.wrong;
    else if (result.outcome == "answered")
        ++counts.answered;
    else if (result.outcome == "not-run")
        ++counts.notRun;
    else
        ++counts.unknown;
}

EchoConnection::EchoConnection(const Endpoint &address)
    : m_stream(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto socketAddress = toSocketAddress(address);
    m_isBroken = ::connect(m_stream.get(), reinterpret_cast<const sockaddr *>(&socketAddress), sizeof(socketAddress)) != 0;
}

bool EchoConnection::exchange(std::string_view bytes, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::string received;
    m_isBroken = m_isBroken || ::send(m_stream.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size());
    while (!m_isBroken && received.size() < bytes.size()) {
        std::array<char, 4096> buffer;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        const auto size =
            left.count() > 0 && waitReadable(m_stream.get(), left) ? ::recv(m_stream.get(), buffer.data(), buffer.size(), 0) : -1;
        if (size <= 0)
            m_isBroken = true;
        else
            received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    m_isBroken = m_isBroken || received != bytes;
    return !m_isBroken;
}

bool EchoConnection::waitForReset(std::chrono::milliseconds timeout)
{
    if (!waitReadable(m_stream.get(), timeout))
        return false;
    char byte = 0;
    return ::recv(m_stream.get(), &byte, 1, 0) <= 0;
}

} // namespace Papaya
