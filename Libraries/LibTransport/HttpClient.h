#pragma once

#include "LibState/Clock.h"
#include "LibState/Endpoint.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Papaya {

/// An HTTP response.
struct HttpResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Returns the value of the first header with a name, compared case-insensitively. Empty if there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// Sends HTTP/1.1 requests to one address, one at a time. Reuses the connection while the server keeps it alive.
class HttpClient
{
public:
    explicit HttpClient(const Endpoint &address);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a GET request for a path, which may include a query. Fails with ConnectFailed, or with HttpFailed if no complete response
    /// arrives in time. `responseTimeout` applies to the write and to the read separately. The connection is closed after a failure.
    [[nodiscard]] Result<HttpResponse> get(const std::string &path, Duration connectTimeout, Duration responseTimeout);

private:
    struct Connection;

    Endpoint m_address;
    std::unique_ptr<Connection> m_connection;
};

/// Percent-encodes a text for the query of a URL (RFC 3986, section 2).
[[nodiscard]] std::string encodeQuery(std::string_view text);

} // namespace Papaya
