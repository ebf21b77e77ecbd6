#include "LibProtocol/SectionReader.h"

#include <algorithm>

namespace Papaya {

namespace {

std::vector<std::string> splitList(std::string_view text)
{
    constexpr std::string_view Separators = ", \t";
    std::vector<std::string> parts;
    while (true) {
        const auto first = text.find_first_not_of(Separators);
        if (first == std::string_view::npos)
            return parts;
        text.remove_prefix(first);
        const auto size = std::min(text.find_first_of(Separators), text.size());
        parts.emplace_back(text.substr(0, size));
        text.remove_prefix(size);
    }
}

} // namespace

SectionReader::SectionReader(const IniSection &section, std::vector<Failure> &failures)
    : m_section(section)
    , m_failures(failures)
{
}

void SectionReader::read(std::string_view key, std::string &value)
{
    if (const auto *entry = find(key))
        value = entry->value;
}

void SectionReader::readRequired(std::string_view key, std::string &value)
{
    require(key);
    read(key, value);
}

void SectionReader::read(std::string_view key,
                         std::chrono::milliseconds &value,
                         std::chrono::milliseconds minimum,
                         std::chrono::milliseconds maximum)
{
    auto count = value.count();
    read(key, count, minimum.count(), maximum.count());
    value = std::chrono::milliseconds(count);
}

void SectionReader::read(std::string_view key, Endpoint &value)
{
    const auto *entry = find(key);
    if (entry == nullptr)
        return;
    const auto parsed = parseEndpoint(entry->value);
    if (parsed.has_error())
        fail(FailureKind::InvalidAddress, *entry);
    else
        value = parsed.value();
}

void SectionReader::readRequired(std::string_view key, Endpoint &value)
{
    require(key);
    read(key, value);
}

void SectionReader::read(std::string_view key, std::vector<std::string> &values)
{
    if (const auto *entry = find(key))
        values = splitList(entry->value);
}

void SectionReader::read(std::string_view key, std::vector<Endpoint> &values)
{
    const auto *entry = find(key);
    if (entry == nullptr)
        return;
    for (const auto &part : splitList(entry->value)) {
        const auto parsed = parseEndpoint(part);
        if (parsed.has_error())
            fail(FailureKind::InvalidAddress, *entry);
        else
            values.push_back(parsed.value());
    }
}

int SectionReader::lineOf(std::string_view key) const
{
    const auto found =
        std::find_if(m_section.entries.begin(), m_section.entries.end(), [&](const IniEntry &entry) { return entry.key == key; });
    return found == m_section.entries.end() ? m_section.line : found->line;
}

void SectionReader::fail(FailureKind kind, std::string_view key)
{
    m_failures.push_back({kind, lineOf(key), std::string(key)});
}

void SectionReader::reportUnknownKeys()
{
    for (const auto &entry : m_section.entries) {
        if (!m_readKeys.contains(entry.key))
            fail(FailureKind::UnknownKey, entry);
    }
}

const IniEntry *SectionReader::find(std::string_view key)
{
    m_readKeys.emplace(key);
    const auto found =
        std::find_if(m_section.entries.begin(), m_section.entries.end(), [&](const IniEntry &entry) { return entry.key == key; });
    return found == m_section.entries.end() ? nullptr : &*found;
}

void SectionReader::require(std::string_view key)
{
    const auto *entry = find(key);
    if (entry == nullptr || entry->value.empty())
        fail(FailureKind::MissingKey, key);
}

void SectionReader::fail(FailureKind kind, const IniEntry &entry)
{
    m_failures.push_back({kind, entry.line, entry.key});
}

} // namespace Papaya
