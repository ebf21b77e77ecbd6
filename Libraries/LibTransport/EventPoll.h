#pragma once

#include "LibState/Clock.h"
#include "LibTransport/FileDescriptor.h"

#include <cstdint>
#include <functional>

namespace Papaya {

/// Waits for events on many file descriptors (epoll).
class EventPoll
{
public:
    /// Called with the token that was passed when the descriptor was added.
    using Handler = std::function<void(std::uint64_t token)>;

    EventPoll();

    /// Watches a descriptor for input, level-triggered. Closing the descriptor removes it.
    void addReader(int descriptor, std::uint64_t token);

    /// Watches a stream socket for input, output and shutdown by the peer (EPOLLRDHUP), edge-triggered. Closing the descriptor removes it.
    void addStream(int descriptor, std::uint64_t token);

    /// Waits at most `timeout` (milliseconds) and calls the handler for each descriptor that has an event.
    void wait(Duration timeout, const Handler &handler);

private:
    FileDescriptor m_descriptor;
};

} // namespace Papaya
