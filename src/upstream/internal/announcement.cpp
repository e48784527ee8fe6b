#include "upstream/announceserver.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace hawthornpick::upstream {

namespace {

using membership::upstream_state;

constexpr std::int64_t MAX_SLOTS = 10'000;
constexpr std::int64_t MAX_COLD_MILLISECONDS = 86'400'000;

auto stateFromName(std::string_view name) -> std::optional<upstream_state>
{
    if (name == "starting") {
        return upstream_state::Starting;
    }
    if (name == "ready") {
        return upstream_state::Ready;
    }
    if (name == "draining") {
        return upstream_state::Draining;
    }
    return std::nullopt;
}

auto parsePort(std::string_view text) -> std::optional<std::uint16_t>
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc{} || end != text.data() + text.size() || port == 0) {
        return std::nullopt;
    }
    return port;
}

// Accepts `127.0.0.1:8080` and `[::1]:8080`.
auto parseAddress(std::string_view text) -> std::optional<membership::endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto ipAddress = text.substr(0, colon);
    if (ipAddress.size() > 2 && ipAddress.starts_with('[') && ipAddress.ends_with(']')) {
        ipAddress = ipAddress.substr(1, ipAddress.size() - 2);
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(ipAddress, error);
    const auto port = parsePort(text.substr(colon + 1));
    if (error || !port) {
        return std::nullopt;
    }
    return membership::endpoint{address.to_string(), *port};
}

// Returns an empty string if the member is missing or not a string.
auto stringMember(const boost::json::object &object, std::string_view name) -> std::string_view
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    const auto &text = value->get_string();
    return {text.data(), text.size()};
}

// Returns -1 if the member is missing or not an integer.
auto integerMember(const boost::json::object &object, std::string_view name) -> std::int64_t
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? value->get_int64() : -1;
}

} // namespace

auto parseAnnouncement(const std::string &name, std::string_view json)
        -> tl::expected<announcement, std::string>
{
    boost::system::error_code error;
    const auto document = boost::json::parse(json, error);
    if (error || !document.is_object()) {
        return tl::unexpected<std::string>("the body is not a JSON object");
    }
    const auto &object = document.get_object();
    const auto address = parseAddress(stringMember(object, "address"));
    const auto state = stateFromName(stringMember(object, "state"));
    const auto slots = integerMember(object, "slots");
    const auto incarnation = integerMember(object, "incarnation");
    if (stringMember(object, "service").empty()) {
        return tl::unexpected<std::string>("\"service\" is missing, empty or not a string");
    }
    if (!address) {
        return tl::unexpected<std::string>(
                "\"address\" is not <IP address>:<port> with a port from 1 to 65535");
    }
    if (!state) {
        return tl::unexpected<std::string>("\"state\" is not one of starting, ready and draining");
    }
    if (slots < 1 || slots > MAX_SLOTS) {
        return tl::unexpected<std::string>("\"slots\" is not an integer from 1 to 10000");
    }
    if (incarnation < 0) {
        return tl::unexpected<std::string>("\"incarnation\" is not an integer of 0 or more");
    }
    const bool hasColdTime = object.contains("cold_ms");
    const auto coldTime = integerMember(object, "cold_ms");
    if (hasColdTime && (coldTime < 0 || coldTime > MAX_COLD_MILLISECONDS)) {
        return tl::unexpected<std::string>("\"cold_ms\" is not an integer from 0 to 86400000");
    }
    announcement out{name,     base::service_id(std::string(stringMember(object, "service"))),
                     *address, static_cast<std::uint32_t>(slots),
                     *state,   static_cast<base::incarnation>(incarnation)};
    if (hasColdTime) {
        out.coldRemaining = base::milliseconds(coldTime);
    }
    return out;
}

} // namespace hawthornpick::upstream
