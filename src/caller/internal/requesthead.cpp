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

constexpr std::string_view VIA_ENTRY = "1.1 hawthornpick";
constexpr std::string_view BEARER_PREFIX = "Bearer ";
// Shorter keys are not searched for, because they could match parts of unrelated values by chance.
constexpr std::size_t MIN_KEY_SEARCH_BYTES = 8;

auto toStringView(boost::beast::string_view text) -> std::string_view
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

auto percentDecode(std::string_view text) -> std::string
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0
                              && hexValue(text[i + 2]) >= 0;
        if (isEscape) {
            decoded.push_back(
                    static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

auto isApiKeyParameter(std::string_view name) -> bool
{
    static constexpr std::array<std::string_view, 4> KEY_PARAMETER_NAMES{"api_key", "key", "apikey",
                                                                         "x-api-key"};
    const auto decoded = percentDecode(name);
    return std::any_of(KEY_PARAMETER_NAMES.begin(), KEY_PARAMETER_NAMES.end(),
                       [&decoded](auto keyName) { return equalIgnoreCase(decoded, keyName); });
}

auto hasApiKeyParameter(std::string_view query) -> bool
{
    while (!query.empty()) {
        const auto end = std::min(query.find_first_of("&;"), query.size());
        const auto parameter = query.substr(0, end);
        const auto equals = parameter.find('=');
        if (equals != std::string_view::npos && isApiKeyParameter(parameter.substr(0, equals))) {
            return true;
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return false;
}

// Routes are matched against the path as sent. An upstream that resolves dot segments could serve a
// path of another route, so dot segments are refused, also percent-encoded ones. NUL bytes are
// refused too.
auto hasDotSegment(std::string_view path) -> bool
{
    const auto decoded = percentDecode(path);
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

auto countFields(const request_fields &fields, http::field name) -> std::size_t
{
    const auto [first, last] = fields.equal_range(name);
    return static_cast<std::size_t>(std::distance(first, last));
}

auto parseContentLength(const request_fields &fields) -> base::result<std::uint64_t>
{
    const auto text = toStringView(fields[http::field::content_length]);
    const bool isDecimal = !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c >= '0' && c <= '9';
    });
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (!isDecimal || error != std::errc{} || end != text.data() + text.size()) {
        return refuse("Content-Length is not a decimal number of at most 64 bits");
    }
    return length;
}

auto parseFraming(const request_fields &fields, request_head &head) -> base::result<void>
{
    const auto lengthCount = countFields(fields, http::field::content_length);
    const auto codingCount = countFields(fields, http::field::transfer_encoding);
    if (lengthCount > 0 && codingCount > 0) {
        return refuse("request has both Content-Length and Transfer-Encoding");
    }
    if (lengthCount > 1 || codingCount > 1) {
        return refuse("Content-Length or Transfer-Encoding is repeated");
    }
    if (codingCount == 1) {
        if (head.isHttp10
            || !equalIgnoreCase(toStringView(fields[http::field::transfer_encoding]), "chunked")) {
            return refuse("Transfer-Encoding is not \"chunked\", or used with HTTP/1.0");
        }
        head.framing = body_framing::Chunked;
    }
    if (lengthCount == 1) {
        const auto length = parseContentLength(fields);
        if (!length) {
            return tl::unexpected(length.error());
        }
        head.framing = *length == 0 ? body_framing::None : body_framing::Length;
        head.contentLength = *length;
    }
    return {};
}

auto hasOnlyHostCharacters(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || std::string_view("-._~:[]%").find(c) != std::string_view::npos;
    });
}

auto normaliseHost(std::string_view text) -> std::string
{
    const auto bracket = text.find(']');
    const auto colon = text.find(':', bracket == std::string_view::npos ? 0 : bracket);
    std::string host(text.substr(0, colon));
    std::transform(host.begin(), host.end(), host.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
    });
    return host;
}

auto parseHost(const request_fields &fields, request_head &head) -> base::result<void>
{
    const auto count = countFields(fields, http::field::host);
    if (count > 1 || (count == 0 && !head.isHttp10)) {
        return refuse("Host is repeated, or missing in an HTTP/1.1 request");
    }
    const auto text = toStringView(fields[http::field::host]);
    if (!hasOnlyHostCharacters(text)) {
        return refuse("Host has characters other than letters, digits and -._~:[]%");
    }
    head.host = normaliseHost(text);
    return {};
}

auto parseTarget(const request_fields &fields, request_head &head) -> base::result<void>
{
    static constexpr std::string_view SCHEME = "http://";
    head.target = toStringView(fields.target());
    if (startsWithIgnoreCase(head.target, SCHEME)) {
        const auto authorityAndPath = head.target.substr(SCHEME.size());
        const auto slash = std::min(authorityAndPath.find('/'), authorityAndPath.size());
        if (!equalIgnoreCase(authorityAndPath.substr(0, slash),
                             toStringView(fields[http::field::host]))) {
            return refuse("host in the request target differs from Host");
        }
        head.target = slash == authorityAndPath.size() ? std::string_view("/")
                                                       : authorityAndPath.substr(slash);
    }
    const bool isPrintable = std::all_of(head.target.begin(), head.target.end(),
                                         [](char c) { return c > ' ' && c < 0x7f; });
    if (!head.target.starts_with('/') || !isPrintable
        || head.target.find('#') != std::string_view::npos) {
        return refuse(
                "request target does not start with '/', or has '#' or unprintable characters");
    }
    const auto queryStart = std::min(head.target.find('?'), head.target.size());
    head.path = head.target.substr(0, queryStart);
    head.query = head.target.substr(std::min(queryStart + 1, head.target.size()));
    if (hasDotSegment(head.path)) {
        return refuse("request path has a dot segment or a NUL byte");
    }
    return {};
}

auto parseExpectation(const request_fields &fields, request_head &head) -> base::result<void>
{
    const auto text = toStringView(fields[http::field::expect]);
    if (text.empty()) {
        return {};
    }
    if (!equalIgnoreCase(text, "100-continue")) {
        return refuse("Expect is not \"100-continue\"");
    }
    head.expectsContinue = !head.isHttp10 && head.framing != body_framing::None;
    return {};
}

auto parseApiKey(const request_fields &fields, request_head &head) -> base::result<void>
{
    const auto keys = fields.equal_range("X-Api-Key");
    const auto keyCount = std::distance(keys.first, keys.second);
    const auto authorizationCount = countFields(fields, http::field::authorization);
    if (keyCount > 1 || authorizationCount > 1) {
        return refuse("X-Api-Key or Authorization is repeated");
    }
    if (keyCount == 1) {
        head.key = std::string(toStringView(keys.first->value()));
    }
    const auto authorization = toStringView(fields[http::field::authorization]);
    if (startsWithIgnoreCase(authorization, BEARER_PREFIX)) {
        const auto token = upstream::trimmed(authorization.substr(BEARER_PREFIX.size()));
        if (head.key && *head.key != token) {
            return refuse("X-Api-Key and Authorization have different keys");
        }
        head.key = std::string(token);
    }
    head.isKeyInTarget = hasApiKeyParameter(head.query);
    if (head.key && head.key->size() >= MIN_KEY_SEARCH_BYTES) {
        head.isKeyInTarget = head.isKeyInTarget
                             || percentDecode(head.target).find(*head.key) != std::string::npos;
    }
    return {};
}

auto connectionOptions(const request_fields &fields) -> std::vector<std::string_view>
{
    std::vector<std::string_view> options;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        const auto tokens = upstream::splitList(toStringView(field->value()));
        options.insert(options.end(), tokens.begin(), tokens.end());
    }
    return options;
}

auto parseKeepAlive(const request_fields &fields, request_head &head) -> void
{
    const auto options = connectionOptions(fields);
    const auto hasOption = [&options](std::string_view wanted) {
        return std::any_of(options.begin(), options.end(), [wanted](std::string_view option) {
            return equalIgnoreCase(option, wanted);
        });
    };
    head.keepAlive = head.isHttp10 ? hasOption("keep-alive") : !hasOption("close");
}

auto containsApiKey(std::string_view name, std::string_view value, const request_head &head) -> bool
{
    if (equalIgnoreCase(name, "Authorization") && startsWithIgnoreCase(value, BEARER_PREFIX)) {
        return true;
    }
    return head.key && head.key->size() >= MIN_KEY_SEARCH_BYTES
           && value.find(*head.key) != std::string_view::npos;
}

auto joinValues(const request_fields &fields, std::string_view name) -> std::string
{
    std::string joined;
    const auto [first, last] = fields.equal_range({name.data(), name.size()});
    for (auto field = first; field != last; ++field) {
        joined.append(toStringView(field->value())).append(", ");
    }
    return joined;
}

} // namespace

auto checkRawHeader(std::string_view bytes) -> base::result<void>
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const char c = bytes[i];
        if (c == '\0') {
            return refuse("NUL byte in the request head");
        }
        if (c == '\n' && (i == 0 || bytes[i - 1] != '\r')) {
            return refuse("LF without CR in the request head");
        }
        if (c == '\r' && (i + 1 >= bytes.size() || bytes[i + 1] != '\n')) {
            return refuse("CR without LF in the request head");
        }
        if (c == '\n' && i + 1 < bytes.size() && (bytes[i + 1] == ' ' || bytes[i + 1] == '\t')) {
            return refuse("folded line in the request head");
        }
    }
    return {};
}

auto parseRequestHead(const request_fields &fields) -> base::result<request_head>
{
    request_head head;
    if (fields.version() != 10 && fields.version() != 11) {
        return refuse("HTTP version is not 1.0 or 1.1");
    }
    head.method = toStringView(fields.method_string());
    head.isHttp10 = fields.version() == 10;
    for (const auto parseField :
         {parseFraming, parseHost, parseTarget, parseExpectation, parseApiKey}) {
        if (auto parsed = parseField(fields, head); !parsed) {
            return tl::unexpected(parsed.error());
        }
    }
    parseKeepAlive(fields, head);
    return head;
}

auto makeUpstreamHeaders(const request_fields &fields, const request_head &head,
                         const upstream::wire_profile &wire, std::string_view callerAddress)
        -> std::string
{
    const auto options = connectionOptions(fields);
    std::string headerLines;
    for (const auto &field : fields) {
        const auto name = toStringView(field.name_string());
        const auto value = toStringView(field.value());
        if (!wire.isReserved(name) && !upstream::isHopByHop(name, options)
            && !containsApiKey(name, value, head)) {
            upstream::appendHeader(headerLines, name, value);
        }
    }
    if (!wire.addsForwardingHeaders) {
        return headerLines;
    }
    const auto forwardedFor = joinValues(fields, "X-Forwarded-For");
    const auto via = joinValues(fields, "Via");
    const auto withoutKey = [&head](const std::string &text) {
        return containsApiKey({}, text, head) ? std::string() : text;
    };
    upstream::appendHeader(headerLines, "X-Forwarded-For",
                           withoutKey(forwardedFor) + std::string(callerAddress));
    upstream::appendHeader(headerLines, "Via", withoutKey(via) + std::string(VIA_ENTRY));
    return headerLines;
}

auto findSingleValue(const request_fields &fields, std::string_view name)
        -> std::optional<std::string_view>
{
    const auto [first, last] = fields.equal_range({name.data(), name.size()});
    if (std::distance(first, last) != 1) {
        return std::nullopt;
    }
    return toStringView(first->value());
}

} // namespace hawthornpick::caller
