// reader.h: how the operators' text becomes a configuration.
#pragma once

#include "sapphirespool/Configuration/configuration.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string_view>

namespace sapphirespool::configuration
{

/// Reads the operators' text in one language. The text itself is what is stored and handed back; only its meaning is shared.
class Reader
{
public:
    Reader() = default;
    Reader(const Reader &) = delete;
    auto operator=(const Reader &) -> Reader & = delete;
    virtual ~Reader() = default;

    /// \return the configuration in \p text, or an error with support::TextProblems
    [[nodiscard]] virtual auto read(std::string_view text) const -> boost::leaf::result<Configuration> = 0;
};

/// \return the reader of the project's own language
[[nodiscard]] auto makeYamlReader() -> std::shared_ptr<const Reader>;

} // namespace sapphirespool::configuration
