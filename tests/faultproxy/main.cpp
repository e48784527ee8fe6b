#include "tests/faultproxy/proxy.h"
#include "webapi/json.h"
#include "webapi/server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <iostream>

ABSL_FLAG(std::string, control, "127.0.0.1:0", "address of the control interface");

using namespace hawthornpick;

namespace {

// NAME=LISTEN/TARGET, for example n1=127.1.0.1:9000/127.1.0.1:7000.
auto parseLink(std::string_view text) -> std::optional<faultproxy::proxied_link>
{
    const auto equals = text.find('=');
    const auto slash = text.find('/');
    if (equals == std::string_view::npos || slash == std::string_view::npos || slash < equals) {
        return std::nullopt;
    }
    const auto listen = membership::parseEndpoint(text.substr(equals + 1, slash - equals - 1));
    const auto target = membership::parseEndpoint(text.substr(slash + 1));
    if (!listen || !target) {
        return std::nullopt;
    }
    return faultproxy::proxied_link{std::string(text.substr(0, equals)), *listen, *target};
}

auto answer(faultproxy::proxy &relay, const webapi::request &incoming) -> webapi::response
{
    if (incoming.method == "PUT" && incoming.path == "/v1/rules") {
        auto rules = faultproxy::parseRules(incoming.body);
        if (!rules) {
            return {400, "text/plain", "body is not a list of rules\n"};
        }
        relay.setRules(std::move(*rules));
        return {200, "text/plain", "ok\n"};
    }
    if (incoming.method == "GET" && incoming.path == "/v1/counters") {
        return {200, "application/json",
                webapi::toText(boost::json::object{{"relayed_bytes", relay.relayedBytes()}})};
    }
    return {404, "text/plain", "paths are PUT /v1/rules and GET /v1/counters\n"};
}

} // namespace

auto main(int argumentCount, char **arguments) -> int
{
    absl::SetProgramUsageMessage(
            "relays TCP and UDP and injects faults: faultproxy [--control=ADDRESS] "
            "NAME=LISTEN/TARGET ...");
    const auto rest = absl::ParseCommandLine(argumentCount, arguments);
    std::vector<faultproxy::proxied_link> links;
    for (std::size_t i = 1; i < rest.size(); ++i) {
        const auto link = parseLink(rest[i]);
        if (!link) {
            std::cerr << "faultproxy: `" << rest[i] << "` is not NAME=LISTEN/TARGET\n";
            return 2;
        }
        links.push_back(*link);
    }
    const auto control = membership::parseEndpoint(absl::GetFlag(FLAGS_control));
    if (!control) {
        std::cerr << "faultproxy: --control is not an IP address with a port\n";
        return 2;
    }
    try {
        boost::asio::io_context context{1};
        faultproxy::proxy relay(context, links);
        const webapi::server server(
                context, *control, {},
                [&relay](webapi::request incoming) -> boost::asio::awaitable<webapi::response> {
                    co_return answer(relay, incoming);
                });
        std::cout << "control " << membership::toString(server.address()) << std::endl;
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](auto, auto) { context.stop(); });
        context.run();
    } catch (const std::exception &problem) {
        std::cerr << "faultproxy: " << problem.what() << "\n";
        return 1;
    }
    return 0;
}
