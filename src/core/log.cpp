// Structured log lines through log4cxx.
#include "berylspur/core/log.h"

#include "berylspur/core/enum_table.h"
#include "berylspur/core/timer.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <memory>
#include <poll.h>
#include <unistd.h>

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

/// Name of the event whose lines are told apart by their first value.
constexpr std::string_view DecisionEvent = "decision";
/// Lines wait this long to be written together: a system call for each would cost more than the
/// line.
constexpr Duration WriteDelay = std::chrono::milliseconds(50);
constexpr Duration LeftOutInterval = std::chrono::seconds(1);
constexpr Duration LastWriteLimit = std::chrono::seconds(1);

/// Lines between the library and standard output.
struct Output
{
    LogBuffer buffer;
    LineLimiter limiter;
    Importance importance = Importance::Routine; ///< of the line that is being formatted
    std::unique_ptr<Timer> writeTimer; ///< null: lines are written at once
    bool writePending = false;
    TimePoint leftOutReported;
};

Output &output()
{
    static Output instance;
    return instance;
}

void writeNow()
{
    auto &out = output();
    out.writePending = false;
    writeAvailable(out.buffer, STDOUT_FILENO);
    if (!out.buffer.isEmpty() && out.writeTimer) {
        out.writePending = true;
        out.writeTimer->start(WriteDelay);
    }
}

/// Hands formatted lines to the buffer.
class BufferAppender : public log4cxx::AppenderSkeleton
{
public:
    explicit BufferAppender(log4cxx::LayoutPtr layout) : m_layout(std::move(layout)) { }

    void close() override { }
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString text;
        m_layout->format(text, event, pool);
        std::string line;
        log4cxx::helpers::Transcoder::encode(text, line);
        auto &out = output();
        out.buffer.append(line, out.importance);
        if (!out.writeTimer) {
            writeNow();
        } else if (!std::exchange(out.writePending, true)) {
            out.writeTimer->start(WriteDelay);
        }
    }

private:
    log4cxx::LayoutPtr m_layout;
};

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
    std::string pattern = "%d{ISO8601}{GMT} %p node=";
    pattern.append(node).append(" %m%n");
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
    const log4cxx::AppenderPtr appender(new BufferAppender(layout));
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(toLibrary(level));
}

void attach(event_base *base)
{
    output().writeTimer = std::make_unique<Timer>(base, writeNow);
}

void detach()
{
    auto &out = output();
    out.writeTimer.reset();
    const auto end = BootClock::now() + LastWriteLimit;
    while (writeAvailable(out.buffer, STDOUT_FILENO) && !out.buffer.isEmpty()
           && BootClock::now() < end) {
        pollfd entry {STDOUT_FILENO, POLLOUT, 0};
        poll(&entry, 1, static_cast<int>(toMs(WriteDelay)));
    }
}

void setLevel(Level level)
{
    logger()->setLevel(toLibrary(level));
}

Level levelFromName(std::string_view name)
{
    return enumValue(LevelNames, name).value_or(Level::Info);
}

namespace {

std::string lineOf(std::string_view name, std::initializer_list<Field> fields)
{
    std::string line(name);
    for (const auto &field : fields) {
        line.append(" ").append(field.key).append("=");
        std::visit(ValueWriter {line}, field.value);
    }
    return line;
}

void write(Level level, Importance importance, const std::string &line)
{
    output().importance = importance;
    logger()->log(toLibrary(level), line);
}

/// Lines of one kind: the event, and for decisions their kind, which is the first value.
std::string kindOf(std::string_view name, std::initializer_list<Field> fields)
{
    std::string kind(name);
    if (fields.size() > 0 && name == DecisionEvent) {
        if (const auto *text = std::get_if<std::string_view>(&fields.begin()->value))
            kind.append(" ").append(*text);
    }
    return kind;
}

/// Tells about once a second what the bounds left out.
void reportLeftOut(TimePoint now)
{
    auto &out = output();
    if (now - out.leftOutReported < LeftOutInterval)
        return;
    out.leftOutReported = now;
    for (const auto &kind : out.limiter.takeLeftOut()) {
        write(Level::Warn, Importance::Cause,
              lineOf("log-lines-left-out", {{"kind", kind.kind}, {"lines", kind.lines}}));
    }
    if (const auto dropped = out.buffer.takeDropped(); dropped > 0)
        write(Level::Warn, Importance::Cause, lineOf("log-lines-dropped", {{"lines", dropped}}));
}

} // namespace

void event(Level level, std::string_view name, std::initializer_list<Field> fields)
{
    if (!logger()->isEnabledFor(toLibrary(level)))
        return;
    const auto now = BootClock::now();
    reportLeftOut(now);
    const bool isCause = level == Level::Warn || level == Level::Error;
    if (!isCause && !output().limiter.admit(kindOf(name, fields), now))
        return;
    write(level, isCause ? Importance::Cause : Importance::Routine, lineOf(name, fields));
}

void cause(std::string_view name, std::initializer_list<Field> fields)
{
    if (!logger()->isEnabledFor(toLibrary(Level::Info)))
        return;
    reportLeftOut(BootClock::now());
    write(Level::Info, Importance::Cause, lineOf(name, fields));
}

} // namespace berylspur::log
