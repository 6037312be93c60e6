// bytes.h: bytes as Cap'n Proto takes and gives them.
#pragma once

#include <capnp/blob.h>
#include <capnp/common.h>
#include <kj/array.h>

#include <cstddef>
#include <cstring>
#include <span>
#include <string>
#include <string_view>

namespace sapphirespool::rpc
{

[[nodiscard]] inline auto toData(std::span<const std::byte> bytes) -> capnp::Data::Reader
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

[[nodiscard]] inline auto toData(std::string_view bytes) -> capnp::Data::Reader
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

[[nodiscard]] inline auto toString(capnp::Data::Reader data) -> std::string
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

[[nodiscard]] inline auto bytesOf(capnp::Data::Reader data) -> std::span<const std::byte>
{
    return std::as_bytes(std::span(data.begin(), data.size()));
}

/// \return a copy of the whole words of \p bytes, aligned as a reader of messages needs them
[[nodiscard]] inline auto align(std::span<const std::byte> bytes) -> kj::Array<capnp::word>
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    if (words.size() > 0) {
        std::memcpy(words.begin(), bytes.data(), words.size() * sizeof(capnp::word));
    }
    return words;
}

} // namespace sapphirespool::rpc
