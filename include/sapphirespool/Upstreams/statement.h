// statement.h: what is asked of an upstream and what it answers.
#pragma once

#include "sapphirespool/Support/types.h"

#include <boost/json/array.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirespool::upstreams
{

/// One SQL statement. Its parameters and rows are the caller's own values, which the proxy passes on unread.
struct Statement
{
    std::string sql;
    boost::json::array params;
    Access access = Access::Read;
    /// Whether running it twice does no harm.
    bool repeatable = false;
};

/// What a statement gave.
struct StatementResult
{
    std::vector<std::string> columns;
    boost::json::array rows;
    std::uint64_t changes = 0;
    /// Term of the upstream when it ran the statement.
    Term term;
    /// Position of the upstream's log after a write, applied position before a read.
    LogPosition position;
};

} // namespace sapphirespool::upstreams
