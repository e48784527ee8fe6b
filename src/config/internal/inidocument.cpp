#include "config/internal/inidocument.h"

#include <algorithm>
#include <cstring>
#include <ini.h>

namespace hawthornpick::config {

namespace {

// State shared by the two callbacks of the parser library. The library does not report line
// numbers of values, so the reader counts the lines that it hands out.
struct parse_state
{
    std::string_view rest;
    int line = 0;
    ini_document document;
    std::vector<diagnostic> *errors = nullptr;
};

auto isSectionLine(std::string_view line) -> bool
{
    const auto first = line.find_first_not_of(" \t");
    return first != std::string_view::npos && line[first] == '[';
}

auto sectionName(std::string_view line) -> std::string
{
    const auto open = line.find('[');
    const auto close = line.find(']', open);
    if (close == std::string_view::npos) {
        return {};
    }
    return std::string(line.substr(open + 1, close - open - 1));
}

auto readLine(char *buffer, int size, void *stream) -> char *
{
    auto &state = *static_cast<parse_state *>(stream);
    if (state.rest.empty()) {
        return nullptr;
    }
    const auto end = std::min(state.rest.find('\n'), state.rest.size());
    auto line = state.rest.substr(0, end);
    state.rest.remove_prefix(std::min(end + 1, state.rest.size()));
    ++state.line;
    if (line.size() > MAX_INI_LINE_BYTES) {
        state.errors->push_back(
                {state.document.file,
                 state.line,
                 {},
                 {},
                 "line is longer than " + std::to_string(MAX_INI_LINE_BYTES) + " bytes"});
        line = line.substr(0, 0);
    }
    if (line.find('\0') != std::string_view::npos) {
        state.errors->push_back(
                {state.document.file, state.line, {}, {}, "line contains a zero byte"});
        line = line.substr(0, 0);
    }
    if (isSectionLine(line)) {
        state.document.sections.push_back({sectionName(line), state.line, {}});
    }
    const auto length = std::min(line.size(), static_cast<std::size_t>(size) - 2);
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\n';
    buffer[length + 1] = '\0';
    return buffer;
}

auto addEntry(void *user, const char * /*section*/, const char *name, const char *value) -> int
{
    auto &state = *static_cast<parse_state *>(user);
    if (state.document.sections.empty()) {
        state.errors->push_back(
                {state.document.file, state.line, {}, name, "value stands before any section"});
        return 1;
    }
    state.document.sections.back().entries.push_back(
            {name, value == nullptr ? "" : value, state.line});
    return 1;
}

} // namespace

auto parseIni(std::string_view file, std::string_view text, std::vector<diagnostic> &errors)
        -> ini_document
{
    parse_state state;
    state.rest = text;
    state.document.file = file;
    state.errors = &errors;
    const int badLine = ini_parse_stream(readLine, &state, addEntry, &state);
    if (badLine != 0) {
        errors.push_back({std::string(file),
                          std::max(badLine, 0),
                          {},
                          {},
                          "line is neither a section nor `key = value`"});
    }
    return std::move(state.document);
}

} // namespace hawthornpick::config
