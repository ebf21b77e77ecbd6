#pragma once

#include "LibCoordination/RevisionDecision.h"

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace Papaya {

/// The largest frame that is sent or accepted, in bytes: a text of a megabyte and room for its wrapping.
inline constexpr std::size_t FrameSizeLimit = (1U << 20U) + 4'096;

/// What a daemon has in force.
struct Digest {
    std::uint64_t configurationRevision = 0;
    std::uint64_t configurationHash = 0;
    std::uint64_t vmListVersion = 0;

    bool operator==(const Digest &) const = default;
};

/// The platform's VM list as text.
struct VmListText {
    std::string text;

    bool operator==(const VmListText &) const = default;
};

/// What changed in the VM list. `changed` is a VM list, as text, of the changed machines alone, under the new version.
struct VmListChangeText {
    std::uint64_t baseVersion = 0;
    std::string changed;
    std::vector<std::string> removed;

    bool operator==(const VmListChangeText &) const = default;
};

/// Everything that daemons send one another on TCP connections.
using PeerMessage = std::variant<Digest, RevisionedText, VmListText, VmListChangeText>;

/// Encodes the body of one frame; the length prefix is the transport's.
[[nodiscard]] std::vector<std::byte> encodePeerFrame(const PeerMessage &message);

/// Verifies and decodes the body of one frame. Fails with MalformedFrame.
[[nodiscard]] Result<PeerMessage> decodePeerFrame(std::span<const std::byte> frame);

} // namespace Papaya
