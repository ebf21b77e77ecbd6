#include "LibTransport/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace Papaya {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int HttpVersion = 11;
/// A value of the platform has at most one megabyte, and a third more when it is encoded in base64.
constexpr std::uint64_t ResponseBodySizeLimit = 16ULL * 1'024 * 1'024;

bool isUnreserved(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return std::isalnum(code) != 0 || character == '-' || character == '.' || character == '_' || character == '~';
}

} // namespace

struct HttpClient::Connection {
    Connection()
        : stream(context)
    {
    }

    /// Starts one asynchronous operation and blocks until it completes or times out.
    template <typename Start>
    beast::error_code runToCompletion(Duration timeout, const Start &start)
    {
        beast::error_code outcome = asio::error::would_block;
        stream.expires_after(timeout);
        start([&](beast::error_code error, const auto &...) { outcome = error; });
        context.restart();
        context.run();
        return outcome;
    }

    asio::io_context context {1};
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

HttpClient::HttpClient(const Endpoint &address)
    : m_address(address)
{
}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::get(const std::string &path, Duration connectTimeout, Duration responseTimeout)
{
    if (!m_connection) {
        m_connection = std::make_unique<Connection>();
        const asio::ip::tcp::endpoint peer(asio::ip::address_v4(m_address.address), m_address.port);
        const auto error =
            m_connection->runToCompletion(connectTimeout, [&](auto handler) { m_connection->stream.async_connect(peer, handler); });
        if (error) {
            m_connection.reset();
            return Failure {FailureKind::ConnectFailed, 0, error.message()};
        }
        m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
    }
    http::request<http::empty_body> request(http::verb::get, path, HttpVersion);
    request.set(http::field::host, toString(m_address));
    http::response_parser<http::string_body> parser;
    parser.body_limit(ResponseBodySizeLimit);
    auto error =
        m_connection->runToCompletion(responseTimeout, [&](auto handler) { http::async_write(m_connection->stream, request, handler); });
    if (!error) {
        error = m_connection->runToCompletion(
            responseTimeout, [&](auto handler) { http::async_read(m_connection->stream, m_connection->buffer, parser, handler); });
    }
    if (error) {
        m_connection.reset();
        return Failure {FailureKind::HttpFailed, 0, error.message()};
    }
    auto message = parser.release();
    if (!message.keep_alive())
        m_connection.reset();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message)
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(message.body());
    return response;
}

std::string HttpResponse::header(std::string_view name) const
{
    const auto hasName = [&](const auto &header) { return beast::iequals(header.first, beast::string_view(name.data(), name.size())); };
    const auto found = std::find_if(headers.begin(), headers.end(), hasName);
    return found == headers.end() ? std::string() : found->second;
}

std::string encodeQuery(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (isUnreserved(character)) {
            encoded += character;
            continue;
        }
        const auto code = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += Digits[code >> 4U];
        encoded += Digits[code & 15U];
    }
    return encoded;
}

} // namespace Papaya
