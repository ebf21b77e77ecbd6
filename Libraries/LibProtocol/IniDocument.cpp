#include "LibProtocol/IniDocument.h"

#include <ini.h>

#include <algorithm>
#include <cctype>
#include <cstring>

namespace Papaya {

namespace {

/// What inih's callbacks share while one text is read.
struct Reading {
    std::string_view rest;
    int line = 0;
    bool isContinuation = false;
    IniDocument document;
    std::vector<Failure> *failures = nullptr;
};

bool isBlank(char character)
{
    return std::isspace(static_cast<unsigned char>(character)) != 0;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && isBlank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back()))
        text.remove_suffix(1);
    return text;
}

/// inih does not report sections without keys, so the reader notes the sections.
void noteSection(Reading &reading, std::string_view line)
{
    const auto end = line.find(']');
    if (line.empty() || line.front() != '[' || end == std::string_view::npos)
        return;
    const std::string name(line.substr(1, end - 1));
    auto &sections = reading.document.sections;
    if (std::any_of(sections.begin(), sections.end(), [&](const IniSection &section) { return section.name == name; }))
        reading.failures->push_back({FailureKind::DuplicateKey, reading.line, name});
    sections.push_back({name, reading.line, {}});
}

/// Reads the next line for inih, which limits lines to `size`; a longer one is a failure rather than two lines.
char *readLine(char *buffer, int size, void *stream)
{
    auto &reading = *static_cast<Reading *>(stream);
    if (reading.rest.empty())
        return nullptr;
    const auto newline = reading.rest.find('\n');
    auto line = reading.rest.substr(0, newline);
    reading.rest.remove_prefix(newline == std::string_view::npos ? reading.rest.size() : newline + 1);
    ++reading.line;
    const bool isTooLong = line.size() + 2 > static_cast<std::size_t>(size);
    const bool hasNul = line.find('\0') != std::string_view::npos;
    if (isTooLong || hasNul) {
        reading.failures->push_back({FailureKind::SyntaxError, reading.line, isTooLong ? "line_too_long" : "nul_byte"});
        line = {};
    }
    reading.isContinuation = !line.empty() && isBlank(line.front());
    noteSection(reading, line);
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\0';
    return buffer;
}

/// Takes one key from inih. Returns 1, which tells inih to go on.
int takeEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &reading = *static_cast<Reading *>(user);
    auto &sections = reading.document.sections;
    if (std::strlen(section) == 0 || sections.empty()) {
        reading.failures->push_back({FailureKind::SyntaxError, reading.line, std::string("key_outside_section:") + key});
        return 1;
    }
    auto &entries = sections.back().entries;
    if (reading.isContinuation && !entries.empty() && entries.back().key == key) {
        entries.back().value += " " + std::string(trim(value));
        return 1;
    }
    if (std::any_of(entries.begin(), entries.end(), [&](const IniEntry &entry) { return entry.key == key; })) {
        reading.failures->push_back({FailureKind::DuplicateKey, reading.line, key});
        return 1;
    }
    entries.push_back({key, std::string(trim(value)), reading.line});
    return 1;
}

} // namespace

IniDocument parseIni(std::string_view text, std::vector<Failure> &failures)
{
    if (text.size() > TextSizeLimit) {
        failures.push_back({FailureKind::TextTooLarge, 0, std::to_string(text.size())});
        return {};
    }
    if (trim(text).empty()) {
        failures.push_back({FailureKind::EmptyText, 0, "text"});
        return {};
    }
    Reading reading;
    reading.rest = text;
    reading.failures = &failures;
    const int errorLine = ini_parse_stream(readLine, &reading, takeEntry, &reading);
    if (errorLine > 0)
        failures.push_back({FailureKind::SyntaxError, errorLine, "line"});
    return std::move(reading.document);
}

} // namespace Papaya
