#pragma once

#include "base/time.h"
#include "membership/view.h"
#include "webapi/message.h"

#include <string>
#include <tl/expected.hpp>

namespace hawthornpick::webapi {

//! Sends one request over a new connection and waits for the complete response.
//! `outgoing.query` is appended to the path; `outgoing.headers` is not sent. Errors: a message that
//! names the failed step and its cause.
//! Thread safety: any thread; blocks for at most `timeout`.
auto call(const membership::endpoint &address, const request &outgoing, base::milliseconds timeout)
        -> tl::expected<response, std::string>;

} // namespace hawthornpick::webapi
