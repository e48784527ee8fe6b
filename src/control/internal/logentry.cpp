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
    out.disk = static_cast<std::int64_t>(value.diskId);
    return out;
}

auto toWire(const membership &value) -> wire::membership
{
    wire::membership out;
    for (const auto &voter : value.voters) {
        out.voters.push_back(toWire(voter));
    }
    for (const auto &learner : value.learners) {
        out.learners.push_back(toWire(learner));
    }
    for (const auto &change : value.replacements) {
        wire::replacement wireChange;
        wireChange.old_member = toWire(change.oldMember);
        wireChange.new_member = toWire(change.newMember);
        wireChange.change_id = change.changeId;
        out.replacements.push_back(wireChange);
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
    for (const auto &voter : value.voters) {
        out.voters.push_back(fromWire(voter));
    }
    for (const auto &learner : value.learners) {
        out.learners.push_back(fromWire(learner));
    }
    for (const auto &change : value.replacements) {
        out.replacements.push_back(
                {fromWire(change.old_member), fromWire(change.new_member), change.change_id});
    }
    return out;
}

} // namespace hawthornpick::control
