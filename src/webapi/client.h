#pragma once

#include "base/time.h"
#include "membership/view.h"
#include "webapi/message.h"

#include <string>
#include <tl/expected.hpp>

namespace hawthornpick::webapi {

//! Sends one request over a connection of its own and waits for the whole answer.
//! `outgoing.query` is appended to the path. Errors: text for a person.
//! Thread safety: any thread; blocks for at most `timeout`.
auto call(const membership::endpoint &address, const request &outgoing, base::milliseconds timeout)
        -> tl::expected<response, std::string>;

} // namespace hawthornpick::webapi
