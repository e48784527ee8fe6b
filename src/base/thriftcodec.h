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
    using apache::thrift::transport::TMemoryBuffer;
    // TMemoryBuffer only reads the bytes here, but its constructor takes a pointer to non-const.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer =
            std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    try {
        // The generated code allocates as many elements as a list announces before it reads them,
        // so the sizes are checked against the bytes first.
        protocol.skip(apache::thrift::protocol::T_STRUCT);
        if (buffer->available_read() != 0) {
            return std::nullopt;
        }
        buffer->resetBuffer(data, static_cast<std::uint32_t>(bytes.size()));
        Struct value;
        value.read(&protocol);
        return value;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace hawthornpick::base
