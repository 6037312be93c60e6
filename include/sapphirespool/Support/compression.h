// compression.h: compressed forms of what is sent to many VMs or over thin links.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::support
{

/// Load pattern: a configuration of thousands of services goes to each VM, and some have links of 2 Mbit/s. In plain form it fills such a
/// link for seconds, in which heartbeats, announcements and connections to upstreams wait behind it. Names and settings repeat, so
/// that a tenth of the bytes carries the same.
[[nodiscard]] auto compress(std::span<const std::byte> plain) -> std::vector<std::byte>;
[[nodiscard]] auto compress(std::string_view plain) -> std::vector<std::byte>;

/// \param limit bytes that the plain form may take; a few hostile bytes could otherwise fill the memory
/// \return nothing if \p packed cannot be read or unpacks to more than \p limit
[[nodiscard]] auto decompress(std::span<const std::byte> packed, std::size_t limit) -> std::optional<std::vector<std::byte>>;
[[nodiscard]] auto decompressText(std::span<const std::byte> packed, std::size_t limit) -> std::optional<std::string>;

} // namespace sapphirespool::support
