// Structured log lines through log4cxx.
#include "berylspur/core/log.h"

#include "berylspur/core/enum_table.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace berylspur::log {

namespace {

constexpr EnumTable<Level, 5> LevelNames {{
        {Level::Trace, "trace"},
        {Level::Debug, "debug"},
        {Level::Info, "info"},
        {Level::Warn, "warn"},
        {Level::Error, "error"},
}};

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("berylspur");
    return instance;
}

log4cxx::LevelPtr toLibrary(Level level)
{
    switch (level) {
    case Level::Trace:
        return log4cxx::Level::getTrace();
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warn:
        return log4cxx::Level::getWarn();
    case Level::Error:
        break;
    }
    return log4cxx::Level::getError();
}

struct ValueWriter
{
    std::string &line;

    void operator()(std::string_view text) const
    {
        if (text.find_first_of(" \"=\n") == std::string_view::npos && !text.empty()) {
            line.append(text);
            return;
        }
        line.push_back('"');
        for (const char c : text) {
            if (c == '"' || c == '\\')
                line.push_back('\\');
            line.push_back(c == '\n' ? ' ' : c);
        }
        line.push_back('"');
    }
    void operator()(std::int64_t number) const { line.append(std::to_string(number)); }
    void operator()(double number) const { line.append(std::to_string(number)); }
};

} // namespace

void configure(std::string_view node, Level level)
{
    std::string pattern = "%d{ISO8601} %p node=";
    pattern.append(node).append(" %m%n");
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
    const log4cxx::AppenderPtr appender(
            new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemOut()));
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(toLibrary(level));
}

void setLevel(Level level)
{
    logger()->setLevel(toLibrary(level));
}

Level levelFromName(std::string_view name)
{
    return enumValue(LevelNames, name).value_or(Level::Info);
}

void event(Level level, std::string_view name, std::initializer_list<Field> fields)
{
    const auto libraryLevel = toLibrary(level);
    if (!logger()->isEnabledFor(libraryLevel))
        return;
    std::string line(name);
    for (const auto &field : fields) {
        line.append(" ").append(field.key).append("=");
        std::visit(ValueWriter {line}, field.value);
    }
    logger()->log(libraryLevel, line);
}

} // namespace berylspur::log
