#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace hawthornpick::base {

//! Serialises a Thrift struct in the compact protocol. Equal structs give equal bytes.
//! Thread safety: pure.
template <typename Struct>
auto encodeThrift(const Struct &value) -> std::string
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(
            buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

//! Parses a Thrift struct in the compact protocol; returns nothing if the bytes are malformed,
//! truncated or followed by further bytes.
//! Thread safety: pure.
template <typename Struct>
auto decodeThrift(std::string_view bytes) -> std::optional<Struct>
{
    // TMemoryBuffer only reads the bytes here, but its constructor takes a pointer to non-const.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
            data, static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(
            buffer);
    try {
        Struct value;
        value.read(&protocol);
        if (buffer->available_read() != 0) {
            return std::nullopt;
        }
        return value;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace hawthornpick::base
