#include "LibTransport/OperatorHttpTask.h"

#include "LibProtocol/KnowledgeCodec.h"
#include "LibTransport/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>

namespace Papaya {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/// How long to wait for the main task's response. The main task may first have to process a backlog of packets.
constexpr std::chrono::seconds MainTaskTimeout {2};
/// How long a connection may take from its acceptance until the response is written, including the wait for the main task.
constexpr std::chrono::seconds ConnectionTimeout {2};
constexpr std::uint64_t RequestBodySizeLimit = 1'024;
constexpr std::string_view ExplainQuery = "/explain?flow=";

/// Sends a message to the main task and waits for the reply. Returns nothing on a timeout.
template <typename Reply, typename Message>
std::optional<Reply> requestFrom(caf::actor_system &system, const caf::actor &task, Message message)
{
    std::optional<Reply> result;
    caf::scoped_actor self(system);
    self->request(task, MainTaskTimeout, std::move(message))
        .receive([&](Reply &reply) { result = std::move(reply); }, [](const caf::error &) {});
    return result;
}

using Response = http::response<http::string_body>;

Response makeResponse(http::status status, std::string body, const char *type)
{
    Response response(status, 11);
    response.set(http::field::content_type, type);
    response.keep_alive(false);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

/// What all connections of the server use.
struct ServerContext {
    caf::actor_system &system;
    caf::actor mainTask;
    OperatorOptions options;
};

Response handleStatusRequest(const ServerContext &context, std::string_view path)
{
    const auto status = requestFrom<StatusReport>(context.system, context.mainTask, StatusRequest {});
    if (!status)
        return makeResponse(http::status::service_unavailable, "no answer\n", "text/plain");
    if (path == "/healthz")
        return makeResponse(http::status::ok, "alive\n", "text/plain");
    if (path == "/metrics")
        return makeResponse(http::status::ok, status->metricsText, "text/plain; version=0.0.4");
    if (path == "/status")
        return makeResponse(http::status::ok, status->statusJson, "application/json");
    const auto &monitor = context.options.monitor;
    const bool isTurning = monitor == nullptr || monitor->state() == LoopMonitor::State::Turning;
    const bool isReady = status->isReady && isTurning;
    const auto readiness = isReady ? http::status::ok : http::status::service_unavailable;
    return makeResponse(readiness, isReady ? "ready\n" : "not ready\n", "text/plain");
}

Response handleKnowledgeRequest(const ServerContext &context, std::string_view requestTarget)
{
    const auto digest = decodeKnowledgePath(requestTarget);
    if (!digest && requestTarget != KnowledgePath)
        return makeResponse(http::status::bad_request, "invalid digest\n", "text/plain");
    auto report = requestFrom<KnowledgeReport>(context.system, context.mainTask, KnowledgeRequest {digest});
    if (!report || report->bytes.empty())
        return makeResponse(http::status::service_unavailable, "nothing known\n", "text/plain");
    return makeResponse(http::status::ok, std::move(report->bytes), "application/octet-stream");
}

/// Decodes percent-encoding. Invalid sequences are left unchanged.
std::string decodeQuery(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned code = 0;
        const auto *first = text.data() + index + 1;
        const bool isEncoded =
            text[index] == '%' && index + 2 < text.size() && std::from_chars(first, first + 2, code, 16).ptr == first + 2;
        decoded += isEncoded ? static_cast<char>(code) : text[index];
        index += isEncoded ? 2 : 0;
    }
    return decoded;
}

Response handleExplainRequest(const ServerContext &context, std::string_view encodedFlow)
{
    auto flow = decodeQuery(encodedFlow);
    // Bytes that are no flow never reach the main task.
    if (parseFlowKey(flow).has_error())
        return makeResponse(http::status::bad_request, "invalid flow: CALLER_IP:PORT-SERVICE_IP:PORT expected\n", "text/plain");
    const auto report = requestFrom<ExplainReport>(context.system, context.mainTask, ExplainRequest {std::move(flow)});
    if (!report)
        return makeResponse(http::status::service_unavailable, "no answer\n", "text/plain");
    return makeResponse(http::status::ok, report->json, "application/json");
}

bool isPathOrQuery(std::string_view requestTarget, std::string_view path)
{
    return requestTarget == path || (requestTarget.starts_with(path) && requestTarget[path.size()] == '?');
}

Response handleRequest(const ServerContext &context, http::verb method, std::string_view requestTarget)
{
    if (method != http::verb::get)
        return makeResponse(http::status::method_not_allowed, "GET only\n", "text/plain");
    if (requestTarget == "/healthz" || requestTarget == "/readyz" || requestTarget == "/metrics" || requestTarget == "/status")
        return handleStatusRequest(context, requestTarget);
    if (context.options.knowledge == KnowledgeService::Served && isPathOrQuery(requestTarget, KnowledgePath))
        return handleKnowledgeRequest(context, requestTarget);
    if (requestTarget.starts_with(ExplainQuery))
        return handleExplainRequest(context, requestTarget.substr(ExplainQuery.size()));
    return makeResponse(http::status::not_found, "unknown path\n", "text/plain");
}

/// One HTTP connection: reads one request, sends the response and closes.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Tcp::socket socket, const ServerContext &context)
        : m_stream(std::move(socket))
        , m_context(context)
    {
        m_parser.body_limit(RequestBodySizeLimit);
    }

    void start()
    {
        m_stream.expires_after(ConnectionTimeout);
        http::async_read(m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!error)
                self->respond();
        });
    }

private:
    void respond()
    {
        const auto requestTarget = m_parser.get().target();
        m_response = handleRequest(m_context, m_parser.get().method(), {requestTarget.data(), requestTarget.size()});
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code, std::size_t) {
            beast::error_code ignored;
            self->m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        });
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request_parser<http::string_body> m_parser;
    Response m_response;
    const ServerContext &m_context;
};

/// Accepts connections until the process ends.
void acceptNext(Tcp::acceptor &acceptor, const ServerContext &context)
{
    acceptor.async_accept([&](beast::error_code error, Tcp::socket socket) {
        if (!error)
            std::make_shared<Session>(std::move(socket), context)->start();
        acceptNext(acceptor, context);
    });
}

} // namespace

OperatorHttpTask::OperatorHttpTask(caf::actor_config &config, Endpoint address, caf::actor mainTask, OperatorOptions options)
    : caf::blocking_actor(config)
    , m_address(address)
    , m_mainTask(std::move(mainTask))
    , m_options(std::move(options))
{
}

void OperatorHttpTask::act()
{
    asio::io_context context(1);
    Tcp::acceptor acceptor(context);
    const Tcp::endpoint endpoint(asio::ip::address_v4(m_address.address), m_address.port);
    beast::error_code error;
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        EventLog("operators_listen_failed", LogLevel::Error).with("address", toString(m_address)).with("cause", error.message());
        return;
    }
    const ServerContext server {system(), m_mainTask, m_options};
    acceptNext(acceptor, server);
    context.run();
}

} // namespace Papaya
