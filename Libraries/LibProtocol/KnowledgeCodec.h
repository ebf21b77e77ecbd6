#pragma once

#include "LibCoordination/RelayKnowledge.h"

#include <optional>
#include <string>
#include <string_view>

namespace Papaya {

/// The HTTP path under which an entry daemon serves its routes and targets to peers. A query may follow it.
inline constexpr std::string_view KnowledgePath = "/knowledge";

/// Returns the path and query with which a daemon asks a peer: with the digest of what it has, or without.
[[nodiscard]] std::string encodeKnowledgePath(const std::optional<KnowledgeDigest> &digest);

/// Returns the digest in a path from encodeKnowledgePath(), or nothing if there is no valid one.
[[nodiscard]] std::optional<KnowledgeDigest> decodeKnowledgePath(std::string_view path);

/// Maximum size of an encoded snapshot in bytes. decodeKnowledge() rejects larger input.
inline constexpr std::size_t KnowledgeSizeLimit = std::size_t {4} * 1'024 * 1'024;

/// Encodes a snapshot of routes and targets as the FlatBuffers table Knowledge, which the HTTP path /knowledge serves to peers.
[[nodiscard]] std::string encodeKnowledge(const RelayKnowledge &knowledge);

/// Verifies and decodes a snapshot that encodeKnowledge() encoded. Fails with MalformedFrame if the input is truncated, oversized or
/// otherwise invalid.
[[nodiscard]] Result<RelayKnowledge> decodeKnowledge(std::string_view bytes);

} // namespace Papaya
