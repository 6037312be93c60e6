// operatortext.cpp: the texts that operators write, services and settings.
#include "sapphirespool/Configuration/configuration.h"
#include "sapphirespool/Settings/settings.h"
#include "sapphirespool/Support/yaml.h"

#include <boost/leaf/handle_errors.hpp>

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sapphirespool
{

namespace
{

/// Reads \p text by \p parse; a text that is refused names a problem.
template <typename Parse>
auto read(Parse parse) -> void
{
    boost::leaf::try_handle_all(
        [&parse]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(parse());
            return {};
        },
        [](const support::TextProblems &problems) {
            assert(!describe(problems).empty() && "a refused text names a problem");
            static_cast<void>(problems);
        },
        [] {
            assert(false && "each error is a list of problems");
        });
}

} // namespace

} // namespace sapphirespool

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    using namespace sapphirespool;
    const auto text = std::string_view(reinterpret_cast<const char *>(data), size);
    read([text] {
        return configuration::parseConfiguration("text", text);
    });
    read([text] {
        return settings::parseSettings("text", text);
    });
    return 0;
}
