#include "config/declaration.h"

namespace hawthornpick::config {

namespace {

// Merges two vectors that are sorted by id and appends a line for each item that differs.
template <typename Item>
auto appendDifferences(std::string_view kind, const std::vector<Item> &older,
                       const std::vector<Item> &newer, std::vector<std::string> &lines) -> void
{
    const auto label = [kind](const Item &item) {
        return std::string(kind) + " " + item.id.str();
    };
    auto oldItem = older.begin();
    auto newItem = newer.begin();
    while (oldItem != older.end() || newItem != newer.end()) {
        if (newItem == newer.end() || (oldItem != older.end() && oldItem->id < newItem->id)) {
            lines.push_back("- " + label(*oldItem++));
        } else if (oldItem == older.end() || newItem->id < oldItem->id) {
            lines.push_back("+ " + label(*newItem++));
        } else {
            if (*oldItem != *newItem) {
                lines.push_back("~ " + label(*newItem));
            }
            ++oldItem;
            ++newItem;
        }
    }
}

} // namespace

auto describeDifference(const config_set &older, const config_set &newer)
        -> std::vector<std::string>
{
    std::vector<std::string> lines;
    appendDifferences("organisation", older.organisations, newer.organisations, lines);
    appendDifferences("key", older.keys, newer.keys, lines);
    appendDifferences("service", older.services, newer.services, lines);
    appendDifferences("route", older.routes, newer.routes, lines);
    appendDifferences("evacuation", older.evacuations, newer.evacuations, lines);
    return lines;
}

} // namespace hawthornpick::config
