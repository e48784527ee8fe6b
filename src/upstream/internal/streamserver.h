#pragma once

#include "peer/link.h"
#include "upstream/internal/executorstate.h"

namespace hawthornpick::upstream {

//! Serves one stream that another node opened: decodes the request, runs it and sends the answer.
auto serveStream(std::shared_ptr<executor_state> state, peer::stream_pointer stream)
        -> boost::asio::awaitable<void>;

} // namespace hawthornpick::upstream
