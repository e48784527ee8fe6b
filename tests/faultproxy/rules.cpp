#include "tests/faultproxy/rules.h"

#include "webapi/json.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace hawthornpick::faultproxy {

namespace {

auto matches(const rule &item, std::string_view link, std::string_view source, direction way)
        -> bool
{
    return (item.link.empty() || item.link == link)
           && (item.source.empty() || item.source == source) && (!item.only || *item.only == way);
}

auto parseRule(const boost::json::object &object) -> std::optional<rule>
{
    static const std::map<std::string, fault_kind> kinds{{"cut", fault_kind::Cut},
                                                         {"delay", fault_kind::Delay},
                                                         {"loss", fault_kind::Loss},
                                                         {"bandwidth", fault_kind::Bandwidth},
                                                         {"reset", fault_kind::Reset}};
    const auto kind = kinds.find(webapi::textMember(object, "kind").value_or(""));
    const auto way = webapi::textMember(object, "direction").value_or("both");
    if (kind == kinds.end() || (way != "to_target" && way != "from_target" && way != "both")) {
        return std::nullopt;
    }
    rule item;
    item.link = webapi::textMember(object, "link").value_or("");
    item.source = webapi::textMember(object, "source").value_or("");
    if (way != "both") {
        item.only = way == "to_target" ? direction::ToTarget : direction::FromTarget;
    }
    item.kind = kind->second;
    item.value = webapi::numberMember(object, "value").value_or(0);
    return item;
}

} // namespace

auto activeFaults(const std::vector<rule> &rules, std::string_view link, std::string_view source,
                  direction way) -> active_faults
{
    active_faults faults;
    for (const auto &item : rules) {
        if (!matches(item, link, source, way)) {
            continue;
        }
        switch (item.kind) {
        case fault_kind::Cut:
            faults.isCut = true;
            break;
        case fault_kind::Reset:
            faults.isReset = true;
            break;
        case fault_kind::Delay:
            faults.delayMs += item.value;
            break;
        case fault_kind::Loss:
            faults.lossPercent = std::max(faults.lossPercent, item.value);
            break;
        case fault_kind::Bandwidth:
            faults.bytesPerSecond = item.value;
            break;
        }
    }
    return faults;
}

auto parseRules(std::string_view text) -> std::optional<std::vector<rule>>
{
    const auto object = webapi::parseObject(text);
    const auto *items = object ? object->if_contains("rules") : nullptr;
    if (items == nullptr || !items->is_array()) {
        return std::nullopt;
    }
    std::vector<rule> rules;
    for (const auto &item : items->as_array()) {
        const auto parsed = item.is_object() ? parseRule(item.as_object()) : std::nullopt;
        if (!parsed) {
            return std::nullopt;
        }
        rules.push_back(*parsed);
    }
    return rules;
}

} // namespace hawthornpick::faultproxy
