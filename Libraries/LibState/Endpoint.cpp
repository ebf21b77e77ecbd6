#include "LibState/Endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace Papaya {

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto invalid = [&] { return Failure {FailureKind::InvalidAddress, 0, std::string(text)}; };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid();
    const std::string host(text.substr(0, colon));
    const auto portText = text.substr(colon + 1);

    in_addr address {};
    if (inet_pton(AF_INET, host.c_str(), &address) != 1)
        return invalid();
    std::uint16_t port = 0;
    const auto *end = portText.data() + portText.size();
    const auto parsed = std::from_chars(portText.data(), end, port);
    if (parsed.ec != std::errc {} || parsed.ptr != end || port == 0)
        return invalid();
    return Endpoint {ntohl(address.s_addr), port};
}

std::string toString(const Endpoint &endpoint)
{
    const in_addr address {htonl(endpoint.address)};
    std::array<char, INET_ADDRSTRLEN> buffer {};
    inet_ntop(AF_INET, &address, buffer.data(), buffer.size());
    return std::string(buffer.data()) + ":" + std::to_string(endpoint.port);
}

} // namespace Papaya
