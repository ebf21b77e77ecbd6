#pragma once

#include "LibProtocol/IniDocument.h"
#include "LibState/Endpoint.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <set>

namespace Papaya {

/// Reads the typed keys of one INI section and collects a failure, with its line, for each that is wrong.
/// Call finish() last: it reports the keys that nobody asked for.
class SectionReader
{
public:
    SectionReader(const IniSection &section, std::vector<Failure> &failures);

    /// Reads text. A missing key fails with MissingKey only when it is required.
    void read(std::string_view key, std::string &value);
    void readRequired(std::string_view key, std::string &value);

    /// Reads a whole number within [least, greatest], or fails with ValueOutOfRange.
    template <typename Number>
    void read(std::string_view key, Number &value, Number least, Number greatest)
    {
        const auto *entry = find(key);
        if (entry == nullptr)
            return;
        Number parsed {};
        const auto *end = entry->value.data() + entry->value.size();
        const auto result = std::from_chars(entry->value.data(), end, parsed);
        if (result.ec != std::errc {} || result.ptr != end || parsed < least || parsed > greatest)
            fail(FailureKind::ValueOutOfRange, *entry);
        else
            value = parsed;
    }

    /// Reads a time in whole milliseconds.
    void read(std::string_view key, std::chrono::milliseconds &value, std::chrono::milliseconds least, std::chrono::milliseconds greatest);

    /// Reads `a.b.c.d:port`, or fails with InvalidAddress.
    void read(std::string_view key, Endpoint &value);
    void readRequired(std::string_view key, Endpoint &value);

    /// Reads a list parted by commas or blanks.
    void read(std::string_view key, std::vector<std::string> &values);
    void read(std::string_view key, std::vector<Endpoint> &values);

    /// Returns the line of a key, or the section's own where the key is missing.
    [[nodiscard]] int lineOf(std::string_view key) const;

    /// Records a failure for a key.
    void fail(FailureKind kind, std::string_view key);

    /// Reports the keys that were not asked for as UnknownKey.
    void finish();

private:
    const IniEntry *find(std::string_view key);
    void require(std::string_view key);
    void fail(FailureKind kind, const IniEntry &entry);

    const IniSection &m_section;
    std::vector<Failure> &m_failures;
    std::set<std::string, std::less<>> m_known;
};

} // namespace Papaya
