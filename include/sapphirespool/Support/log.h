// log.h: numbered log events over log4cxx.
#pragma once

#include "sapphirespool/Support/events.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sapphirespool::support
{

/// How log lines are laid out.
enum class LogFormat {
    Text,
    Json,
};

/// One named value of a log event.
struct LogField
{
    std::string_view name;
    std::string value;

    LogField(std::string_view name, std::string value);
    LogField(std::string_view name, std::string_view value);
    LogField(std::string_view name, const char *value);
    LogField(std::string_view name, std::uint64_t value);
    /// Written in whole milliseconds; the name ends in _ms.
    LogField(std::string_view name, Duration value);
};

/// Sends all events of the process to standard output in \p format. Call once, before the first event.
auto configureLog(LogFormat format) -> void;

/// Writes \p event with \p fields, for example `SP1203 upstream ejected upstream=u2 reason=slow`.
auto log(Event event, std::initializer_list<LogField> fields = {}) -> void;

} // namespace sapphirespool::support
