#pragma once

#include "LibCoordination/RelayKnowledge.h"

#include <string>
#include <string_view>

namespace Papaya {

/// The HTTP path under which an entry daemon serves its routes and targets to peers, and the same with the digest of what the asking daemon
/// has, a decimal number.
inline constexpr std::string_view KnowledgePath = "/knowledge";
inline constexpr std::string_view KnowledgeDigestQuery = "/knowledge?digest=";

/// Maximum size of an encoded snapshot in bytes. decodeKnowledge() rejects larger input.
inline constexpr std::size_t KnowledgeSizeLimit = std::size_t {4} * 1'024 * 1'024;

/// Encodes a snapshot of routes and targets as the FlatBuffers table Knowledge, which the HTTP path /knowledge serves to peers.
[[nodiscard]] std::string encodeKnowledge(const RelayKnowledge &knowledge);

/// Verifies and decodes a snapshot that encodeKnowledge() encoded. Fails with MalformedFrame if the input is truncated, oversized or
/// otherwise invalid.
[[nodiscard]] Result<RelayKnowledge> decodeKnowledge(std::string_view bytes);

} // namespace Papaya
