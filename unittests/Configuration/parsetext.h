// parsetext.h: parses a configuration for the tests.
#pragma once

#include "sapphirespool/Configuration/configuration.h"
#include "sapphirespool/Support/yaml.h"

#include <boost/leaf/handle_errors.hpp>

#include <string>
#include <string_view>

namespace sapphirespool::configuration
{

/// A configuration, or what is wrong with the text.
struct ParsedText
{
    Configuration configuration;
    std::string problems;
};

inline auto parseText(std::string_view text) -> ParsedText
{
    return boost::leaf::try_handle_all(
        [text]() -> boost::leaf::result<ParsedText> {
            BOOST_LEAF_AUTO(configuration, parseConfiguration("services.yaml", text));
            return ParsedText{configuration, {}};
        },
        [](const support::TextProblems &problems) {
            return ParsedText{{}, describe(problems)};
        },
        [] {
            return ParsedText{{}, "an error without problems"};
        });
}

} // namespace sapphirespool::configuration
