#include "operators/apitypes.h"

#include "webapi/json.h"

#include <boost/json.hpp>

namespace hawthornpick::operators {

namespace json = boost::json;

auto changeStateName(change_state state) -> std::string_view
{
    switch (state) {
    case change_state::InForce:
        return "in_force";
    case change_state::Rejected:
        return "rejected";
    case change_state::Undecided:
        return "undecided";
    }
    return "undecided";
}

auto toJson(const change_submission &submission) -> std::string
{
    json::array files;
    for (const auto &file : submission.files) {
        files.push_back(json::object{{"name", file.name}, {"text", file.text}});
    }
    return webapi::toText(json::object{{"change_id", submission.changeId},
                                       {"base_version", submission.baseVersion},
                                       {"files", std::move(files)}});
}

auto parseChangeSubmission(std::string_view text) -> std::optional<change_submission>
{
    const auto object = webapi::parseObject(text);
    if (!object) {
        return std::nullopt;
    }
    const auto changeId = webapi::textMember(*object, "change_id");
    const auto baseVersion = webapi::numberMember(*object, "base_version");
    const auto *files = object->if_contains("files");
    if (!changeId || changeId->empty() || !baseVersion || files == nullptr || !files->is_array()) {
        return std::nullopt;
    }
    change_submission submission{*changeId, *baseVersion, {}};
    for (const auto &file : files->as_array()) {
        if (!file.is_object()) {
            return std::nullopt;
        }
        auto name = webapi::textMember(file.as_object(), "name");
        auto fileText = webapi::textMember(file.as_object(), "text");
        if (!name || !fileText) {
            return std::nullopt;
        }
        submission.files.push_back({std::move(*name), std::move(*fileText)});
    }
    return submission;
}

auto toJson(const evacuation_submission &submission) -> std::string
{
    return webapi::toText(json::object{{"change_id", submission.changeId},
                                       {"failure_domain", submission.failureDomain.str()},
                                       {"order", submission.starts ? "start" : "end"}});
}

auto parseEvacuationSubmission(std::string_view text) -> std::optional<evacuation_submission>
{
    const auto object = webapi::parseObject(text);
    if (!object) {
        return std::nullopt;
    }
    const auto changeId = webapi::textMember(*object, "change_id");
    const auto failureDomain = webapi::textMember(*object, "failure_domain");
    const auto order = webapi::textMember(*object, "order");
    if (!changeId || changeId->empty() || !failureDomain || !order
        || (*order != "start" && *order != "end")) {
        return std::nullopt;
    }
    return evacuation_submission{*changeId, base::failure_domain_id(*failureDomain),
                                 *order == "start"};
}

auto toJson(const change_answer &answer) -> std::string
{
    return webapi::toText(json::object{{"state", json::string(changeStateName(answer.state))},
                                       {"version", answer.version},
                                       {"digest", answer.digest},
                                       {"reason", answer.reason}});
}

auto parseChangeAnswer(std::string_view text) -> std::optional<change_answer>
{
    const auto object = webapi::parseObject(text);
    if (!object) {
        return std::nullopt;
    }
    const auto stateName = webapi::textMember(*object, "state");
    const auto version = webapi::numberMember(*object, "version");
    if (!stateName || !version) {
        return std::nullopt;
    }
    for (const auto state :
         {change_state::InForce, change_state::Rejected, change_state::Undecided}) {
        if (changeStateName(state) == *stateName) {
            return change_answer{state, *version,
                                 webapi::textMember(*object, "digest").value_or(""),
                                 webapi::textMember(*object, "reason").value_or("")};
        }
    }
    return std::nullopt;
}

auto toJson(const std::vector<config::diagnostic> &errors) -> std::string
{
    json::array items;
    for (const auto &error : errors) {
        items.push_back(json::object{{"file", error.file},
                                     {"line", error.line},
                                     {"section", error.section},
                                     {"key", error.key},
                                     {"message", error.message}});
    }
    return webapi::toText(json::object{{"errors", std::move(items)}});
}

auto toJson(const std::vector<history_entry> &entries) -> std::string
{
    json::array items;
    for (const auto &entry : entries) {
        items.push_back(json::object{{"version", entry.version},
                                     {"digest", entry.digest},
                                     {"change_id", entry.changeId}});
    }
    return webapi::toText(json::object{{"versions", std::move(items)}});
}

} // namespace hawthornpick::operators
