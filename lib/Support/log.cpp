#include "sapphirespool/Support/log.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <chrono>
#include <utility>

namespace sapphirespool::support
{

namespace
{

/// Lines that may wait for the output: some seconds of a busy process.
constexpr auto bufferedLines = 2'000;

std::atomic<LogFormat> currentFormat = LogFormat::Text;

auto logger() -> const log4cxx::LoggerPtr &
{
    static const auto instance = log4cxx::Logger::getLogger("sapphirespool");
    return instance;
}

auto level(Severity severity) -> log4cxx::LevelPtr
{
    switch (severity) {
    case Severity::Info:
        return log4cxx::Level::getInfo();
    case Severity::Warning:
        return log4cxx::Level::getWarn();
    case Severity::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

auto quoted(std::string_view text) -> std::string
{
    return boost::json::serialize(boost::json::string(text));
}

/// A value with spaces or quotes is quoted, so that a field ends at the next space.
auto textValue(const std::string &value) -> std::string
{
    if (value.find_first_of(" \"\n") == std::string::npos && !value.empty()) {
        return value;
    }
    return quoted(value);
}

auto textLine(const EventDescription &description, std::initializer_list<LogField> fields) -> std::string
{
    auto line = "SP" + std::to_string(static_cast<int>(description.event)) + " " + std::string(description.text);
    for (const auto &field : fields) {
        line += " " + std::string(field.name) + "=" + textValue(field.value);
    }
    return line;
}

auto jsonLine(const EventDescription &description, std::initializer_list<LogField> fields) -> std::string
{
    auto line = R"("event":"SP)" + std::to_string(static_cast<int>(description.event)) + R"(","text":)" + quoted(description.text);
    for (const auto &field : fields) {
        line += "," + quoted(field.name) + ":" + quoted(field.value);
    }
    return line;
}

} // namespace

LogField::LogField(std::string_view name, std::string value)
    : name(name)
    , value(std::move(value))
{
}

LogField::LogField(std::string_view name, std::string_view value)
    : name(name)
    , value(value)
{
}

LogField::LogField(std::string_view name, const char *value)
    : name(name)
    , value(value)
{
}

LogField::LogField(std::string_view name, std::uint64_t value)
    : name(name)
    , value(std::to_string(value))
{
}

LogField::LogField(std::string_view name, Duration value)
    : name(name)
    , value(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()))
{
}

auto configureLog(LogFormat format) -> void
{
    currentFormat = format;
    const auto *const pattern
        = format == LogFormat::Json ? R"({"time":"%d{yyyy-MM-ddTHH:mm:ss.SSS}Z","level":"%p",%m}%n)" : "%d{yyyy-MM-ddTHH:mm:ss.SSS}Z %p %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    // A reader of the output that stands still would hold up whoever logs next, and with it callers. The lines wait beside the threads
    // that write them; when too many do, further ones are dropped and counted in a line of their own.
    const auto appender = std::make_shared<log4cxx::AsyncAppender>();
    appender->addAppender(console);
    appender->setBufferSize(bufferedLines);
    appender->setBlocking(false);
    log4cxx::BasicConfigurator::configure(appender);
}

auto log(Event event, std::initializer_list<LogField> fields) -> void
{
    const auto &description = describe(event);
    const auto line = currentFormat == LogFormat::Json ? jsonLine(description, fields) : textLine(description, fields);
    logger()->log(level(description.severity), line);
}

} // namespace sapphirespool::support
