#include "sapphirespool/Configuration/reader.h"

namespace sapphirespool::configuration
{

namespace
{

/// Name of the text in reports; the command line puts the file's name in its place.
constexpr auto textName = std::string_view("configuration");

class YamlReader : public Reader
{
public:
    [[nodiscard]] auto read(std::string_view text) const -> boost::leaf::result<Configuration> override
    {
        return parseConfiguration(textName, text);
    }
};

} // namespace

auto makeYamlReader() -> std::shared_ptr<const Reader>
{
    return std::make_shared<YamlReader>();
}

} // namespace sapphirespool::configuration
