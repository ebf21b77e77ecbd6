#pragma once

#include "LibState/Clock.h"
#include "LibState/Endpoint.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Papaya {

/// An HTTP answer.
struct HttpResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Returns the first header of a name, compared without regard to case; empty when there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// Makes HTTP/1.1 calls to one address, one at a time, over a connection that it keeps while the peer does.
class HttpClient
{
public:
    explicit HttpClient(const Endpoint &address);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Calls GET on a path with its query. Fails with ConnectFailed, or with HttpFailed when there was no whole answer in time;
    /// a connection on which a call failed is not used again.
    [[nodiscard]] Result<HttpResponse> get(const std::string &path, Duration connectTimeout, Duration responseTimeout);

private:
    struct Connection;

    Endpoint m_address;
    std::unique_ptr<Connection> m_connection;
};

/// Encodes a text for the query of a path (RFC 3986, section 2).
[[nodiscard]] std::string encodeQuery(std::string_view text);

} // namespace Papaya
