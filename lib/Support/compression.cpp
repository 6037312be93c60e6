#include "sapphirespool/Support/compression.h"

#include <zstd.h>

#include <stdexcept>

namespace sapphirespool::support
{

namespace
{

/// Packs a view of half a megabyte in a few milliseconds of a slow core; higher levels save little more.
constexpr auto level = 1;

template <typename Content>
auto unpack(std::span<const std::byte> packed, std::size_t limit) -> std::optional<Content>
{
    const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > limit) {
        return std::nullopt;
    }
    auto content = Content(static_cast<std::size_t>(size), {});
    const auto written = ZSTD_decompress(content.data(), content.size(), packed.data(), packed.size());
    if (ZSTD_isError(written) != 0 || written != content.size()) {
        return std::nullopt;
    }
    return content;
}

} // namespace

auto compress(std::span<const std::byte> plain) -> std::vector<std::byte>
{
    auto packed = std::vector<std::byte>(ZSTD_compressBound(plain.size()));
    const auto written = ZSTD_compress(packed.data(), packed.size(), plain.data(), plain.size(), level);
    if (ZSTD_isError(written) != 0) {
        throw std::runtime_error(std::string("cannot compress: ") + ZSTD_getErrorName(written));
    }
    packed.resize(written);
    packed.shrink_to_fit();
    return packed;
}

auto compress(std::string_view plain) -> std::vector<std::byte>
{
    return compress(std::as_bytes(std::span(plain)));
}

auto decompress(std::span<const std::byte> packed, std::size_t limit) -> std::optional<std::vector<std::byte>>
{
    return unpack<std::vector<std::byte>>(packed, limit);
}

auto decompressText(std::span<const std::byte> packed, std::size_t limit) -> std::optional<std::string>
{
    return unpack<std::string>(packed, limit);
}

} // namespace sapphirespool::support
