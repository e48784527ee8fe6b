#include "config/declaration.h"

namespace hawthornpick::config {

namespace {

template <typename Item>
auto compareSorted(std::string_view kind, const std::vector<Item> &older,
                   const std::vector<Item> &newer, std::vector<std::string> &lines) -> void
{
    const auto label = [kind](const Item &item) {
        return std::string(kind) + " " + item.id.str();
    };
    auto left = older.begin();
    auto right = newer.begin();
    while (left != older.end() || right != newer.end()) {
        if (right == newer.end() || (left != older.end() && left->id < right->id)) {
            lines.push_back("- " + label(*left++));
        } else if (left == older.end() || right->id < left->id) {
            lines.push_back("+ " + label(*right++));
        } else {
            if (*left != *right) {
                lines.push_back("~ " + label(*right));
            }
            ++left;
            ++right;
        }
    }
}

} // namespace

auto describeDifference(const config_set &older, const config_set &newer)
        -> std::vector<std::string>
{
    std::vector<std::string> lines;
    compareSorted("organisation", older.organisations, newer.organisations, lines);
    compareSorted("key", older.keys, newer.keys, lines);
    compareSorted("service", older.services, newer.services, lines);
    compareSorted("route", older.routes, newer.routes, lines);
    return lines;
}

} // namespace hawthornpick::config
