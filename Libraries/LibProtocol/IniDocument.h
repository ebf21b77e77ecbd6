#pragma once

#include "LibState/Failure.h"

#include <string>
#include <string_view>
#include <vector>

namespace Papaya {

/// One `key = value` entry of an INI text. Continuation lines are appended to the value, separated by a space. `line` is the
/// line number of the key, from 1 on.
struct IniEntry {
    std::string key;
    std::string value;
    int line = 0;
};

/// One `[section]` of an INI text, with the line number of its header.
struct IniSection {
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;
};

/// A parsed INI text with the line numbers of its sections and entries.
struct IniDocument {
    std::vector<IniSection> sections;
};

/// Maximum size of a text in bytes, which is the platform's limit for a single value.
inline constexpr std::size_t TextSizeLimit = 1U << 20U;

/// Parses an INI text. Appends each failure with its line number to `failures`: EmptyText, TextTooLarge, SyntaxError, or
/// DuplicateKey for a key or section that occurs twice.
[[nodiscard]] IniDocument parseIni(std::string_view text, std::vector<Failure> &failures);

} // namespace Papaya
