#pragma once

#include "LibState/Endpoint.h"

#include <netinet/in.h>

namespace Papaya {

/// Converts an endpoint to a socket address in network byte order.
[[nodiscard]] inline sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

/// Converts a socket address in network byte order to an endpoint.
[[nodiscard]] inline Endpoint fromSocketAddress(const sockaddr_in &address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

} // namespace Papaya
