#pragma once

#include "LibState/Failure.h"

#include <string>
#include <string_view>
#include <vector>

namespace Papaya {

/// One `key = value` of an INI text. Continuation lines are joined to the value with a space.
struct IniEntry {
    std::string key;
    std::string value;
    int line = 0;
};

/// One `[section]` of an INI text.
struct IniSection {
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;
};

/// An INI text with the line of each part.
struct IniDocument {
    std::vector<IniSection> sections;
};

/// The largest text that is read, in bytes: what the platform's service holds for one value.
inline constexpr std::size_t TextSizeLimit = 1U << 20U;

/// Parses an INI text. Failures, each with its line, are appended to `failures`: EmptyText, TextTooLarge, SyntaxError,
/// and DuplicateKey for a key or section that stands twice.
[[nodiscard]] IniDocument parseIni(std::string_view text, std::vector<Failure> &failures);

} // namespace Papaya
