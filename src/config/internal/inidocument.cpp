#include "config/internal/inidocument.h"

#include <algorithm>
#include <cstring>
#include <ini.h>

namespace hawthornpick::config {

namespace {

// State shared by the two callbacks of the parser library. The library does not report the line
// number of a value, so `readLine` counts the lines that it returns.
struct parse_state
{
    std::string_view remainingText;
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
    if (state.remainingText.empty()) {
        return nullptr;
    }
    const auto end = std::min(state.remainingText.find('\n'), state.remainingText.size());
    auto line = state.remainingText.substr(0, end);
    state.remainingText.remove_prefix(std::min(end + 1, state.remainingText.size()));
    ++state.line;
    if (line.size() > MAX_INI_LINE_BYTES) {
        state.errors->push_back({state.document.file,
                                 state.line,
                                 {},
                                 {},
                                 "line has " + std::to_string(line.size()) + " bytes; at most "
                                         + std::to_string(MAX_INI_LINE_BYTES) + " are allowed"});
        line = line.substr(0, 0);
    }
    if (line.find('\0') != std::string_view::npos) {
        state.errors->push_back({state.document.file,
                                 state.line,
                                 {},
                                 {},
                                 "line contains a NUL byte; only text is allowed"});
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
                {state.document.file,
                 state.line,
                 {},
                 name,
                 "key appears before the first section; put it below a `[SECTION]` line"});
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
    state.remainingText = text;
    state.document.file = file;
    state.errors = &errors;
    const int firstBadLine = ini_parse_stream(readLine, &state, addEntry, &state);
    if (firstBadLine != 0) {
        errors.push_back({std::string(file),
                          std::max(firstBadLine, 0),
                          {},
                          {},
                          "line is neither `[SECTION]` nor `KEY = VALUE`"});
    }
    return std::move(state.document);
}

} // namespace hawthornpick::config
