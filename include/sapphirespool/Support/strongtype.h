// strongtype.h: distinct types for values that share a representation.
#pragma once

#include <compare>
#include <concepts>
#include <cstddef>
#include <functional>
#include <utility>

namespace sapphirespool::support
{

/// A value of type \p Value that cannot be mixed up with one of another \p Tag.
///
/// A term handed over where a log position is due compiles when both are plain integers; here it does not.
template <typename Tag, typename Value>
class StrongType
{
public:
    using ValueType = Value;

    StrongType() = default;

    explicit StrongType(Value value)
        : content(std::move(value))
    {
    }

    [[nodiscard]] auto value() const -> const Value &
    {
        return this->content;
    }

    auto operator<=>(const StrongType &) const = default;

    /// \return the value that follows this one; for counters only
    [[nodiscard]] auto next() const -> StrongType
        requires std::unsigned_integral<Value>
    {
        return StrongType(this->content + 1);
    }

private:
    Value content{};
};

} // namespace sapphirespool::support

template <typename Tag, typename Value>
struct std::hash<sapphirespool::support::StrongType<Tag, Value>>
{
    auto operator()(const sapphirespool::support::StrongType<Tag, Value> &strong) const noexcept -> std::size_t
    {
        return std::hash<Value>{}(strong.value());
    }
};
