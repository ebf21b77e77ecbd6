#include "LibTransport/StreamSocket.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

namespace Papaya {

namespace {

constexpr Endpoint Loopback {0x7f000001, 0};
constexpr Duration Limit {500};

/// Opens a listener on a free port of the loopback address and returns it with its endpoint.
std::pair<FileDescriptor, Endpoint> listenOnFreePort()
{
    for (std::uint16_t port = 21'300; port < 21'400; ++port) {
        const Endpoint endpoint {Loopback.address, port};
        if (auto listener = listenStream(endpoint); listener.has_value())
            return {std::move(listener.value()), endpoint};
    }
    return {};
}

TEST(StreamSocket, PortWithoutListenerIsClosed)
{
    auto [listener, endpoint] = listenOnFreePort();
    ASSERT_TRUE(listener.isOpen());
    EXPECT_EQ(probeTcpPort(endpoint, Limit), PortState::Open);
    listener.reset();
    EXPECT_EQ(probeTcpPort(endpoint, Limit), PortState::Closed);
}

// A daemon without free descriptors took its target's port for closed, although the target served, and all flows of the target were
// reset.
TEST(StreamSocket, PortIsNotClosedWhenNoSocketCanBeOpened)
{
    const auto [listener, endpoint] = listenOnFreePort();
    ASSERT_TRUE(listener.isOpen());
    rlimit former {};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &former), 0);
    rlimit exhausted = former;
    exhausted.rlim_cur = 0;
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &exhausted), 0);
    const auto state = probeTcpPort(endpoint, Limit);
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &former), 0);
    EXPECT_EQ(state, PortState::Unknown);
}

} // namespace

} // namespace Papaya
