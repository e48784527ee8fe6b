#include "upstream/headerrules.h"

#include <algorithm>
#include <array>

namespace hawthornpick::upstream {

namespace {

constexpr std::array<std::string_view, 11> HOP_BY_HOP_HEADERS{"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Proxy-Authenticate",
                                                              "TE",
                                                              "Trailer",
                                                              "Upgrade",
                                                              "Proxy-Authorization",
                                                              "HTTP2-Settings",
                                                              "Transfer-Encoding",
                                                              "Content-Length"};

auto toLower(char c) -> char
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

} // namespace

auto equalIgnoreCase(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(),
                         [](char a, char b) { return toLower(a) == toLower(b); });
}

auto startsWithIgnoreCase(std::string_view text, std::string_view prefix) -> bool
{
    return text.size() >= prefix.size() && equalIgnoreCase(text.substr(0, prefix.size()), prefix);
}

auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

auto splitList(std::string_view value) -> std::vector<std::string_view>
{
    std::vector<std::string_view> elements;
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        const auto element = trimmed(value.substr(0, comma));
        if (!element.empty()) {
            elements.push_back(element);
        }
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return elements;
}

auto isHopByHop(std::string_view name, const std::vector<std::string_view> &connectionOptions)
        -> bool
{
    const auto isSameName = [name](std::string_view other) {
        return equalIgnoreCase(name, other);
    };
    return std::any_of(HOP_BY_HOP_HEADERS.begin(), HOP_BY_HOP_HEADERS.end(), isSameName)
           || std::any_of(connectionOptions.begin(), connectionOptions.end(), isSameName);
}

auto appendHeader(std::string &block, std::string_view name, std::string_view value) -> void
{
    block.append(name).append(": ").append(value).append("\r\n");
}

} // namespace hawthornpick::upstream
