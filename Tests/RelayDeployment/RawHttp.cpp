#include "RawHttp.h"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace Papaya {

namespace {

constexpr timeval ReceiveTimeout {5, 0};
constexpr std::string_view StatusLineStart = "HTTP/1.1 ";

std::string exchange(int socket, std::string_view bytes)
{
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout, sizeof(ReceiveTimeout));
    if (::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
        return {};
    std::string response;
    std::array<char, 4'096> buffer {};
    for (auto count = ::recv(socket, buffer.data(), buffer.size(), 0); count > 0; count = ::recv(socket, buffer.data(), buffer.size(), 0))
        response.append(buffer.data(), static_cast<std::size_t>(count));
    return response;
}

} // namespace

int sendRawHttp(const Endpoint &server, std::string_view bytes)
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    address.sin_addr.s_addr = htonl(server.address);
    std::string response;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        response = exchange(socket, bytes);
    ::close(socket);
    return response.starts_with(StatusLineStart) ? std::atoi(response.c_str() + StatusLineStart.size()) : 0;
}

} // namespace Papaya
