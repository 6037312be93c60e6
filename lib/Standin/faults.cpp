#include "sapphirespool/Standin/faults.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace sapphirespool::standin
{

auto parseFaults(std::string_view text) -> std::optional<Faults>
{
    auto error = boost::json::error_code();
    const auto given = boost::json::parse(text, error);
    if (error || !given.is_object()) {
        return std::nullopt;
    }
    auto whole = boost::json::value_from(Faults()).as_object();
    for (const auto &field : given.as_object()) {
        if (!whole.contains(field.key())) {
            return std::nullopt;
        }
        whole[field.key()] = field.value();
    }
    const auto faults = boost::json::try_value_to<Faults>(boost::json::value(whole));
    if (!faults) {
        return std::nullopt;
    }
    return *faults;
}

} // namespace sapphirespool::standin
