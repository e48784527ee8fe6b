#pragma once

#include "upstream/exchange.h"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornpick::upstream {

//! Content of the head event of an answer stream: a refusal or the start of an answer.
struct answer_opening
{
    std::optional<base::error> refusal;
    answer_start start;
    std::optional<policy::service_load> load;
    //! What the upstreams of the service on the executing node have said.
    statement_report said = {};
};

//! Content of the end event of an answer stream.
struct answer_closing
{
    std::optional<base::error> failure;
    policy::service_load load;
};

//! Encodes a request head. Deadlines are encoded as the remaining time at `now`.
//! Thread safety: pure.
auto encodeRequest(const attempt_request &request, base::time_point now) -> std::string;

//! Decodes a request head. Returns nothing if the bytes are malformed. Thread safety: pure.
auto decodeRequest(std::string_view bytes, base::time_point now) -> std::optional<attempt_request>;

auto encodeOpening(const answer_opening &opening) -> std::string;
auto decodeOpening(std::string_view bytes) -> std::optional<answer_opening>;

auto encodeClosing(const answer_closing &closing) -> std::string;
auto decodeClosing(std::string_view bytes) -> std::optional<answer_closing>;

} // namespace hawthornpick::upstream
