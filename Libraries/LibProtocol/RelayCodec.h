#pragma once

#include "LibState/RelayMessages.h"

#include <cstddef>
#include <memory>
#include <span>

namespace Papaya {

/// Maximum size in bytes of a datagram between relay daemons. Leaves room for a packet with 1,200 bytes of data and its envelope.
inline constexpr std::size_t RelayDatagramSizeLimit = 2'048;

/// Encodes one message at a time into a buffer that is reused.
class RelayEncoder
{
public:
    RelayEncoder();
    ~RelayEncoder();
    RelayEncoder(const RelayEncoder &) = delete;
    RelayEncoder &operator=(const RelayEncoder &) = delete;

    /// Returns the encoded message, which is valid until the next call.
    [[nodiscard]] std::span<const std::byte> encode(const RelayMessage &message);

private:
    struct Builder;
    std::unique_ptr<Builder> m_builder;
};

/// Verifies and decodes one datagram. Packets in the returned message are views into `datagram`.
/// Fails with MalformedDatagram if the input is truncated, oversized or otherwise invalid.
[[nodiscard]] Result<RelayMessage> decodeRelayDatagram(std::span<const std::byte> datagram);

} // namespace Papaya
