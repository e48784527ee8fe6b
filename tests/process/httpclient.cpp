#include "tests/process/httpclient.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace hawthornpick::processtest {

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds CALL_LIMIT{20};

} // namespace

http_client::http_client(membership::endpoint address) : m_address(std::move(address)) {}

auto http_client::send(const std::string &method, const std::string &target,
                       const header_map &headers, const std::string &body)
        -> std::optional<http_answer>
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, "test");
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    http::response_parser<http::string_body> parser;
    parser.skip(method == "HEAD");
    bool complete = false;
    const auto read = [&] {
        http::async_read(*m_stream, m_buffer, parser,
                         [&complete](auto failure, std::size_t /*bytes*/) { complete = !failure; });
    };
    const auto write = [&](beast::error_code failure) {
        if (!failure) {
            http::async_write(*m_stream, request, [&read](auto error, std::size_t /*bytes*/) {
                if (!error) {
                    read();
                }
            });
        }
    };
    if (m_stream) {
        m_stream->expires_after(CALL_LIMIT);
        write({});
    } else {
        m_stream.emplace(m_context);
        m_stream->expires_after(CALL_LIMIT);
        m_stream->async_connect({asio::ip::make_address(m_address.address), m_address.port}, write);
    }
    m_context.restart();
    m_context.run();
    if (!complete) {
        m_stream.reset();
        m_buffer.clear();
        return std::nullopt;
    }
    const auto &answer = parser.get();
    if (!answer.keep_alive()) {
        m_stream.reset();
        m_buffer.clear();
    }
    http_answer result{answer.result_int(),
                       std::string(answer["X-Hawthornpick-Reason"]),
                       std::string(answer["X-Hawthornpick-Outcome"]),
                       answer.body(),
                       {}};
    for (const auto &field : answer) {
        result.headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] =
                std::string(field.value());
    }
    return result;
}

} // namespace hawthornpick::processtest
