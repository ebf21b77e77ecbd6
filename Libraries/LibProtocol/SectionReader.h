#pragma once

#include "LibProtocol/IniDocument.h"
#include "LibState/Endpoint.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <set>

namespace Papaya {

/// Reads the values of one INI section as typed values, and appends a failure with its line number for each invalid one.
/// A key that is missing leaves the value unchanged. Call reportUnknownKeys() last.
class SectionReader
{
public:
    SectionReader(const IniSection &section, std::vector<Failure> &failures);

    /// Reads text. readRequired() reports MissingKey if the key is missing or its value is empty.
    void read(std::string_view key, std::string &value);
    void readRequired(std::string_view key, std::string &value);

    /// Reads a number within [minimum, maximum], or reports ValueOutOfRange.
    template <typename Number>
    void read(std::string_view key, Number &value, Number minimum, Number maximum)
    {
        const auto *entry = find(key);
        if (entry == nullptr)
            return;
        Number parsed {};
        const auto *end = entry->value.data() + entry->value.size();
        const auto result = std::from_chars(entry->value.data(), end, parsed);
        if (result.ec != std::errc {} || result.ptr != end || parsed < minimum || parsed > maximum)
            fail(FailureKind::ValueOutOfRange, *entry);
        else
            value = parsed;
    }

    /// Reads a duration in whole milliseconds within [minimum, maximum], or reports ValueOutOfRange.
    void read(std::string_view key, std::chrono::milliseconds &value, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum);

    /// Reads an endpoint in the form `a.b.c.d:port`, or reports InvalidAddress.
    void read(std::string_view key, Endpoint &value);
    void readRequired(std::string_view key, Endpoint &value);

    /// Reads a list whose items are separated by commas, spaces or tabs.
    void read(std::string_view key, std::vector<std::string> &values);
    void read(std::string_view key, std::vector<Endpoint> &values);

    /// Returns the line number of a key, or that of the section header if the key is missing.
    [[nodiscard]] int lineOf(std::string_view key) const;

    /// Appends a failure with the key's line number.
    void fail(FailureKind kind, std::string_view key);

    /// Reports UnknownKey for each key of the section that no earlier call read or required.
    void reportUnknownKeys();

private:
    /// Returns the entry of a key, or null if it is missing, and marks the key as read.
    const IniEntry *find(std::string_view key);
    /// Reports MissingKey if the key is missing or its value is empty.
    void require(std::string_view key);
    void fail(FailureKind kind, const IniEntry &entry);

    const IniSection &m_section;
    std::vector<Failure> &m_failures;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace Papaya
