// statement.h: what a caller's session asks for.
#pragma once

#include <cstdint>
#include <string>

namespace sapphirespool::interactive
{

/// What a statement does.
enum class StatementKind : std::uint8_t {
    Begin,
    /// Begins a transaction that only reads.
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a value of the session.
    SetValue,
    /// Gives a name to a statement shape.
    Prepare,
    /// Runs a prepared shape.
    Execute,
    /// Forgets a prepared name.
    Deallocate,
};

/// A statement shape that a name can be given to.
struct PreparedShape
{
    bool writes = false;
    std::string shape;

    auto operator<=>(const PreparedShape &) const = default;
};

/// One statement of a caller.
struct Statement
{
    /// The caller's name for it; an upstream gets it unchanged, so that both can be found by it.
    std::string id;
    StatementKind kind = StatementKind::Read;
    /// Name of the value or of the prepared statement.
    std::string name;
    /// SetValue: the value. Execute: what follows the name. Read and Write: the whole text, which an upstream gets unchanged.
    std::string text;
    /// Prepare: the shape.
    PreparedShape shape;
};

} // namespace sapphirespool::interactive
