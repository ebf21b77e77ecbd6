#pragma once

#include "LibState/RelayMessages.h"

#include <cstddef>
#include <memory>
#include <span>

namespace Papaya {

/// The largest datagram between relaying daemons, in bytes: a packet with 1,200 bytes of data and its envelope.
inline constexpr std::size_t RelayDatagramSizeLimit = 2'048;

/// Encodes messages, one at a time, into a buffer that it keeps.
class RelayEncoder
{
public:
    RelayEncoder();
    ~RelayEncoder();
    RelayEncoder(const RelayEncoder &) = delete;
    RelayEncoder &operator=(const RelayEncoder &) = delete;

    /// Returns the encoded message; it is valid until the next call.
    [[nodiscard]] std::span<const std::byte> encode(const RelayMessage &message);

private:
    struct Builder;
    std::unique_ptr<Builder> m_builder;
};

/// Verifies and decodes one datagram. The message refers to the bytes of the datagram.
/// Fails with MalformedDatagram on truncated, oversized or hostile input.
[[nodiscard]] Result<RelayMessage> decodeRelayDatagram(std::span<const std::byte> datagram);

} // namespace Papaya
