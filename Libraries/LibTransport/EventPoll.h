#pragma once

#include "LibState/Clock.h"
#include "LibTransport/FileDescriptor.h"

#include <cstdint>
#include <functional>

namespace Papaya {

/// Waits for events on many descriptors (epoll). Streams are watched edge-triggered, for both directions.
class EventPoll
{
public:
    /// Called with the token under which the descriptor was added.
    using Handler = std::function<void(std::uint64_t token)>;

    EventPoll();

    /// Watches a descriptor for input, level-triggered. It is forgotten when it is closed.
    void addReader(int descriptor, std::uint64_t token);

    /// Watches a stream for input, output and its end, edge-triggered.
    void addStream(int descriptor, std::uint64_t token);

    /// Waits at most `timeout` and calls the handler for each descriptor with an event.
    void wait(Duration timeout, const Handler &handler);

private:
    FileDescriptor m_descriptor;
};

} // namespace Papaya
