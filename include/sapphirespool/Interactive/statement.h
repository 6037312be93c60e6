// statement.h: statements of a caller's session.
#pragma once

#include <cstdint>
#include <string>

namespace sapphirespool::interactive
{

enum class StatementKind : std::uint8_t {
    Begin,
    /// Begins a read-only transaction.
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a value of the session.
    SetValue,
    /// Stores a statement shape under a name.
    Prepare,
    /// Executes a prepared statement.
    Execute,
    /// Removes a prepared name.
    Deallocate,
};

/// A statement without its arguments, for prepared statements. Each Execute sends the arguments.
struct PreparedShape
{
    bool writes = false;
    std::string shape;

    auto operator<=>(const PreparedShape &) const = default;
};

/// One statement of a caller.
struct Statement
{
    /// Identifier chosen by the caller. It is sent to the upstream unchanged, so that both sides' logs can be correlated.
    std::string id;
    StatementKind kind = StatementKind::Read;
    /// Name of the value or of the prepared statement.
    std::string name;
    /// SetValue: the value. Execute: the text after the name, with the arguments. Read and Write: the whole text, sent to the upstream
    /// unchanged.
    std::string text;
    /// Prepare: the shape.
    PreparedShape shape;
};

} // namespace sapphirespool::interactive
