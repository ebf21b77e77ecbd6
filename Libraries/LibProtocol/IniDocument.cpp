#include "LibProtocol/IniDocument.h"

#include <ini.h>

#include <algorithm>
#include <cctype>
#include <cstring>

namespace Papaya {

namespace {

/// State that inih's callbacks share while they parse one text.
struct ParserState {
    std::string_view remaining;
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

/// Records a section header. inih reports sections only together with their keys and would omit a section without keys.
void recordSection(ParserState &state, std::string_view line)
{
    const auto end = line.find(']');
    if (line.empty() || line.front() != '[' || end == std::string_view::npos)
        return;
    const std::string name(line.substr(1, end - 1));
    auto &sections = state.document.sections;
    if (std::any_of(sections.begin(), sections.end(), [&](const IniSection &section) { return section.name == name; }))
        state.failures->push_back({FailureKind::DuplicateKey, state.line, name});
    sections.push_back({name, state.line, {}});
}

/// Line reader callback of inih. Reports a line that does not fit into inih's buffer of `size` bytes as a failure, because inih
/// would parse its remainder as another line.
char *readNextLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<ParserState *>(stream);
    if (state.remaining.empty())
        return nullptr;
    const auto newline = state.remaining.find('\n');
    auto line = state.remaining.substr(0, newline);
    state.remaining.remove_prefix(newline == std::string_view::npos ? state.remaining.size() : newline + 1);
    ++state.line;
    const bool isTooLong = line.size() + 2 > static_cast<std::size_t>(size);
    const bool hasNul = line.find('\0') != std::string_view::npos;
    if (isTooLong || hasNul) {
        state.failures->push_back({FailureKind::SyntaxError, state.line, isTooLong ? "line_too_long" : "nul_byte"});
        line = {};
    }
    state.isContinuation = !line.empty() && isBlank(line.front());
    recordSection(state, line);
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\0';
    return buffer;
}

/// Entry callback of inih: stores one key and its value. Always returns 1, which makes inih continue with the next line.
int handleEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &state = *static_cast<ParserState *>(user);
    auto &sections = state.document.sections;
    if (std::strlen(section) == 0 || sections.empty()) {
        state.failures->push_back({FailureKind::SyntaxError, state.line, std::string("key_outside_section:") + key});
        return 1;
    }
    auto &entries = sections.back().entries;
    if (state.isContinuation && !entries.empty() && entries.back().key == key) {
        entries.back().value += " " + std::string(trim(value));
        return 1;
    }
    if (std::any_of(entries.begin(), entries.end(), [&](const IniEntry &entry) { return entry.key == key; })) {
        state.failures->push_back({FailureKind::DuplicateKey, state.line, key});
        return 1;
    }
    entries.push_back({key, std::string(trim(value)), state.line});
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
    ParserState state;
    state.remaining = text;
    state.failures = &failures;
    const int errorLine = ini_parse_stream(readNextLine, &state, handleEntry, &state);
    if (errorLine > 0)
        failures.push_back({FailureKind::SyntaxError, errorLine, "line"});
    return std::move(state.document);
}

} // namespace Papaya
