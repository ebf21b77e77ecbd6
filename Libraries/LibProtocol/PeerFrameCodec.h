#pragma once

#include "LibCoordination/RevisionDecision.h"

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace Papaya {

/// Maximum size in bytes of a frame that is sent or accepted: a text of 1 MiB plus 4 KiB for the encoding around it.
inline constexpr std::size_t FrameSizeLimit = (1U << 20U) + 4'096;

/// The configuration revision, configuration hash and VM list version that the sender has in force.
struct Digest {
    std::uint64_t configurationRevision = 0;
    std::uint64_t configurationHash = 0;
    std::uint64_t vmListVersion = 0;

    bool operator==(const Digest &) const = default;
};

/// The platform's VM list as JSON text.
struct VmListText {
    std::string text;

    bool operator==(const VmListText &) const = default;
};

/// The changes of the VM list since `baseVersion`. `changed` is a VM list as JSON text with the new version and only the added or
/// changed VMs. `removed` has the names of the removed VMs.
struct VmListChangeText {
    std::uint64_t baseVersion = 0;
    std::string changed;
    std::vector<std::string> removed;

    bool operator==(const VmListChangeText &) const = default;
};

/// Any message that daemons exchange on TCP connections.
using PeerMessage = std::variant<Digest, RevisionedText, VmListText, VmListChangeText>;

/// Encodes the body of one frame. The transport adds the length prefix.
[[nodiscard]] std::vector<std::byte> encodePeerFrame(const PeerMessage &message);

/// Verifies and decodes the body of one frame. Fails with MalformedFrame if the input is truncated, oversized or otherwise invalid.
[[nodiscard]] Result<PeerMessage> decodePeerFrame(std::span<const std::byte> frame);

} // namespace Papaya
