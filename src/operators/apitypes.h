#pragma once

#include "config/declaration.h"
#include "config/diagnostic.h"
#include "operators/fleetaccess.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace hawthornpick::operators {

//! Body of a `POST /v1/changes` request, with the declaration files not yet parsed.
struct change_submission
{
    std::string changeId;
    base::config_version baseVersion = 0;
    std::vector<config::declaration_file> files;

    auto operator<=>(const change_submission &) const = default;
};

//! Body of a `POST /v1/evacuations` request: the change that adds a failure domain to the evacuated
//! ones of the configuration, or removes it.
struct evacuation_submission
{
    std::string changeId;
    base::failure_domain_id failureDomain;
    bool starts = true;

    auto operator<=>(const evacuation_submission &) const = default;
};

//! Returns the name of a state in JSON: "in_force", "rejected", "undecided". Thread safety: pure.
auto changeStateName(change_state state) -> std::string_view;

//! Conversion of the request and response bodies to and from JSON. The parsers return nothing if
//! the text is not valid JSON, or if a required member is missing or invalid.
//! Thread safety of all: pure.
auto toJson(const change_submission &submission) -> std::string;
auto parseChangeSubmission(std::string_view text) -> std::optional<change_submission>;
auto toJson(const evacuation_submission &submission) -> std::string;
auto parseEvacuationSubmission(std::string_view text) -> std::optional<evacuation_submission>;
auto toJson(const change_answer &answer) -> std::string;
auto parseChangeAnswer(std::string_view text) -> std::optional<change_answer>;
auto toJson(const std::vector<config::diagnostic> &errors) -> std::string;
auto toJson(const std::vector<history_entry> &entries) -> std::string;

} // namespace hawthornpick::operators
