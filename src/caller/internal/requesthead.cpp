#include "caller/internal/requesthead.h"

#include "upstream/headerrules.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace hawthornpick::caller {

namespace http = boost::beast::http;

using base::error_kind;
using upstream::equalIgnoreCase;
using upstream::startsWithIgnoreCase;

namespace {

constexpr std::string_view VIA = "1.1 hawthornpick";
constexpr std::string_view BEARER = "Bearer ";
// A shorter text would match parts of other header values by chance.
constexpr std::size_t MIN_KEY_SEARCH_BYTES = 8;

auto view(boost::beast::string_view text) -> std::string_view
{
    return {text.data(), text.size()};
}

auto refuse(std::string detail) -> tl::unexpected<base::error>
{
    return base::fail(error_kind::BadRequest, std::move(detail));
}

auto hexValue(char c) -> int
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

auto percentDecoded(std::string_view text) -> std::string
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0
                             && hexValue(text[i + 2]) >= 0;
        if (escaped) {
            out.push_back(static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2])));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

auto isKeyParameter(std::string_view name) -> bool
{
    static constexpr std::array<std::string_view, 4> NAMES{"api_key", "key", "apikey", "x-api-key"};
    const auto decoded = percentDecoded(name);
    return std::any_of(NAMES.begin(), NAMES.end(),
                       [&decoded](auto known) { return equalIgnoreCase(decoded, known); });
}

auto hasKeyParameter(std::string_view query) -> bool
{
    while (!query.empty()) {
        const auto end = std::min(query.find_first_of("&;"), query.size());
        const auto parameter = query.substr(0, end);
        const auto equals = parameter.find('=');
        if (equals != std::string_view::npos && isKeyParameter(parameter.substr(0, equals))) {
            return true;
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return false;
}

// A route is matched on the path as sent. An upstream that resolves dot segments would serve a
// path of another route, so they are refused in plain and in encoded form.
auto hasDotSegment(std::string_view path) -> bool
{
    const auto decoded = percentDecoded(path);
    std::string_view rest = decoded;
    while (!rest.empty()) {
        const auto end = std::min(rest.find_first_of("/\\"), rest.size());
        const auto segment = rest.substr(0, end);
        if (segment == "." || segment == "..") {
            return true;
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return decoded.find('\0') != std::string::npos;
}

auto countOf(const request_fields &fields, http::field name) -> std::size_t
{
    const auto [first, last] = fields.equal_range(name);
    return static_cast<std::size_t>(std::distance(first, last));
}

auto readLength(const request_fields &fields) -> base::result<std::uint64_t>
{
    const auto text = view(fields[http::field::content_length]);
    const bool digits = !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c >= '0' && c <= '9';
    });
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (!digits || error != std::errc{} || end != text.data() + text.size()) {
        return refuse("Content-Length is not a number");
    }
    return length;
}

auto readFraming(const request_fields &fields, request_head &head) -> base::result<void>
{
    const auto lengths = countOf(fields, http::field::content_length);
    const auto codings = countOf(fields, http::field::transfer_encoding);
    if (lengths > 0 && codings > 0) {
        return refuse("both Content-Length and Transfer-Encoding");
    }
    if (lengths > 1 || codings > 1) {
        return refuse("repeated framing header");
    }
    if (codings == 1) {
        if (head.http10
            || !equalIgnoreCase(view(fields[http::field::transfer_encoding]), "chunked")) {
            return refuse("transfer coding other than chunked");
        }
        head.framing = body_framing::Chunked;
    }
    if (lengths == 1) {
        const auto length = readLength(fields);
        if (!length) {
            return tl::unexpected(length.error());
        }
        head.framing = *length == 0 ? body_framing::None : body_framing::Length;
        head.contentLength = *length;
    }
    return {};
}

auto isHostText(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || std::string_view("-._~:[]%").find(c) != std::string_view::npos;
    });
}

auto hostWithoutPort(std::string_view text) -> std::string
{
    const auto bracket = text.find(']');
    const auto colon = text.find(':', bracket == std::string_view::npos ? 0 : bracket);
    std::string host(text.substr(0, colon));
    std::transform(host.begin(), host.end(), host.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
    });
    return host;
}

auto readHost(const request_fields &fields, request_head &head) -> base::result<void>
{
    const auto count = countOf(fields, http::field::host);
    if (count > 1 || (count == 0 && !head.http10)) {
        return refuse("Host is missing or repeated");
    }
    const auto text = view(fields[http::field::host]);
    if (!isHostText(text)) {
        return refuse("Host has forbidden characters");
    }
    head.host = hostWithoutPort(text);
    return {};
}

auto readTarget(const request_fields &fields, request_head &head) -> base::result<void>
{
    static constexpr std::string_view SCHEME = "http://";
    head.target = view(fields.target());
    if (startsWithIgnoreCase(head.target, SCHEME)) {
        const auto rest = head.target.substr(SCHEME.size());
        const auto slash = std::min(rest.find('/'), rest.size());
        if (!equalIgnoreCase(rest.substr(0, slash), view(fields[http::field::host]))) {
            return refuse("the target names another host than Host");
        }
        head.target = slash == rest.size() ? std::string_view("/") : rest.substr(slash);
    }
    const bool printable = std::all_of(head.target.begin(), head.target.end(),
                                       [](char c) { return c > ' ' && c < 0x7f; });
    if (!head.target.starts_with('/') || !printable
        || head.target.find('#') != std::string_view::npos) {
        return refuse("the target is not a path");
    }
    const auto question = std::min(head.target.find('?'), head.target.size());
    head.path = head.target.substr(0, question);
    head.query = head.target.substr(std::min(question + 1, head.target.size()));
    if (hasDotSegment(head.path)) {
        return refuse("the path has dot segments");
    }
    return {};
}

auto readExpectation(const request_fields &fields, request_head &head) -> base::result<void>
{
    const auto text = view(fields[http::field::expect]);
    if (text.empty()) {
        return {};
    }
    if (!equalIgnoreCase(text, "100-continue")) {
        return refuse("unknown expectation");
    }
    head.expectsContinue = !head.http10 && head.framing != body_framing::None;
    return {};
}

auto readKey(const request_fields &fields, request_head &head) -> base::result<void>
{
    const auto keys = fields.equal_range("X-Api-Key");
    const auto count = std::distance(keys.first, keys.second);
    const auto authorizations = countOf(fields, http::field::authorization);
    if (count > 1 || authorizations > 1) {
        return refuse("more than one key");
    }
    if (count == 1) {
        head.key = std::string(view(keys.first->value()));
    }
    const auto authorization = view(fields[http::field::authorization]);
    if (startsWithIgnoreCase(authorization, BEARER)) {
        const auto token = upstream::trimmed(authorization.substr(BEARER.size()));
        if (head.key && *head.key != token) {
            return refuse("two different keys");
        }
        head.key = std::string(token);
    }
    head.keyInQuery = hasKeyParameter(head.query);
    if (head.key && head.key->size() >= MIN_KEY_SEARCH_BYTES) {
        head.keyInQuery =
                head.keyInQuery || percentDecoded(head.target).find(*head.key) != std::string::npos;
    }
    return {};
}

auto connectionOptions(const request_fields &fields) -> std::vector<std::string_view>
{
    std::vector<std::string_view> options;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        const auto listed = upstream::splitList(view(field->value()));
        options.insert(options.end(), listed.begin(), listed.end());
    }
    return options;
}

auto readKeepAlive(const request_fields &fields, request_head &head) -> void
{
    const auto options = connectionOptions(fields);
    const auto has = [&options](std::string_view wanted) {
        return std::any_of(options.begin(), options.end(), [wanted](std::string_view option) {
            return equalIgnoreCase(option, wanted);
        });
    };
    head.keepAlive = head.http10 ? has("keep-alive") : !has("close");
}

auto carriesKey(std::string_view name, std::string_view value, const request_head &head) -> bool
{
    if (equalIgnoreCase(name, "Authorization") && startsWithIgnoreCase(value, BEARER)) {
        return true;
    }
    return head.key && head.key->size() >= MIN_KEY_SEARCH_BYTES
           && value.find(*head.key) != std::string_view::npos;
}

auto joinedValues(const request_fields &fields, std::string_view name) -> std::string
{
    std::string joined;
    const auto [first, last] = fields.equal_range({name.data(), name.size()});
    for (auto field = first; field != last; ++field) {
        joined.append(view(field->value())).append(", ");
    }
    return joined;
}

} // namespace

auto checkRawHead(std::string_view head) -> base::result<void>
{
    for (std::size_t i = 0; i < head.size(); ++i) {
        const char c = head[i];
        if (c == '\0') {
            return refuse("zero byte in the header");
        }
        if (c == '\n' && (i == 0 || head[i - 1] != '\r')) {
            return refuse("line ended by LF without CR");
        }
        if (c == '\r' && (i + 1 >= head.size() || head[i + 1] != '\n')) {
            return refuse("CR without LF");
        }
        if (c == '\n' && i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t')) {
            return refuse("folded header line");
        }
    }
    return {};
}

auto readHead(const request_fields &fields) -> base::result<request_head>
{
    request_head head;
    if (fields.version() != 10 && fields.version() != 11) {
        return refuse("HTTP version");
    }
    head.method = view(fields.method_string());
    head.http10 = fields.version() == 10;
    for (const auto step : {readFraming, readHost, readTarget, readExpectation, readKey}) {
        if (auto checked = step(fields, head); !checked) {
            return tl::unexpected(checked.error());
        }
    }
    readKeepAlive(fields, head);
    return head;
}

auto cleanHeaders(const request_fields &fields, const request_head &head,
                  const upstream::wire_profile &wire, std::string_view callerAddress) -> std::string
{
    const auto options = connectionOptions(fields);
    std::string block;
    for (const auto &field : fields) {
        const auto name = view(field.name_string());
        const auto value = view(field.value());
        if (!wire.isReserved(name) && !upstream::isHopByHop(name, options)
            && !carriesKey(name, value, head)) {
            upstream::appendHeader(block, name, value);
        }
    }
    if (!wire.addsForwardingHeaders) {
        return block;
    }
    const auto forwarded = joinedValues(fields, "X-Forwarded-For");
    const auto via = joinedValues(fields, "Via");
    const auto clean = [&head](const std::string &text) {
        return carriesKey({}, text, head) ? std::string() : text;
    };
    upstream::appendHeader(block, "X-Forwarded-For", clean(forwarded) + std::string(callerAddress));
    upstream::appendHeader(block, "Via", clean(via) + std::string(VIA));
    return block;
}

auto singleValue(const request_fields &fields, std::string_view name)
        -> std::optional<std::string_view>
{
    const auto [first, last] = fields.equal_range({name.data(), name.size()});
    if (std::distance(first, last) != 1) {
        return std::nullopt;
    }
    return view(first->value());
}

} // namespace hawthornpick::caller
