#include "control/logentry.h"

namespace hawthornpick::control {

auto toWire(const log_entry &value) -> wire::entry
{
    wire::entry out;
    out.index = static_cast<std::int64_t>(value.index);
    out.term = static_cast<std::int64_t>(value.term);
    out.command_bytes = value.command;
    return out;
}

auto toWire(const member &value) -> wire::member
{
    wire::member out;
    out.node = value.node.str();
    out.disk = static_cast<std::int64_t>(value.disk);
    return out;
}

auto toWire(const membership &value) -> wire::membership
{
    wire::membership out;
    for (const auto &item : value.voters) {
        out.voters.push_back(toWire(item));
    }
    for (const auto &item : value.learners) {
        out.learners.push_back(toWire(item));
    }
    for (const auto &item : value.replacements) {
        wire::replacement pair;
        pair.old_member = toWire(item.oldMember);
        pair.new_member = toWire(item.newMember);
        pair.change_id = item.changeId;
        out.replacements.push_back(pair);
    }
    return out;
}

auto fromWire(const wire::entry &value) -> log_entry
{
    return {static_cast<std::uint64_t>(value.index), static_cast<std::uint64_t>(value.term),
            value.command_bytes};
}

auto fromWire(const wire::member &value) -> member
{
    return {base::node_id(value.node), static_cast<std::uint64_t>(value.disk)};
}

auto fromWire(const wire::membership &value) -> membership
{
    membership out;
    for (const auto &item : value.voters) {
        out.voters.push_back(fromWire(item));
    }
    for (const auto &item : value.learners) {
        out.learners.push_back(fromWire(item));
    }
    for (const auto &item : value.replacements) {
        out.replacements.push_back(
                {fromWire(item.old_member), fromWire(item.new_member), item.change_id});
    }
    return out;
}

} // namespace hawthornpick::control
