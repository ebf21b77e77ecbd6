#pragma once

#include "LibCoordination/RelayKnowledge.h"

#include <string>
#include <string_view>

namespace Papaya {

/// The largest text that is decoded, in bytes.
inline constexpr std::size_t KnowledgeSizeLimit = std::size_t {4} * 1'024 * 1'024;

/// Encodes what an entry daemon tells another.
[[nodiscard]] std::string encodeKnowledge(const RelayKnowledge &knowledge);

/// Verifies and decodes it. Fails with MalformedFrame on truncated, oversized or hostile input.
[[nodiscard]] Result<RelayKnowledge> decodeKnowledge(std::string_view bytes);

} // namespace Papaya
