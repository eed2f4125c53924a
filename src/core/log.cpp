// Structured logging through log4cxx.
#include "berylspur/core/log.h"

#include "berylspur/core/enum_table.h"
#include "berylspur/core/text_escape.h"
#include "berylspur/core/timer.h"

#include <algorithm>
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

log4cxx::LevelPtr toLog4cxxLevel(Level level)
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

/// Event whose lines are rate-limited per value of their first field.
constexpr std::string_view DecisionEvent = "decision";
/// Lines are batched for this time, because a system call per line would cost more than formatting
/// it.
constexpr Duration FlushDelay = std::chrono::milliseconds(50);
constexpr Duration SuppressionReportInterval = std::chrono::seconds(1);
constexpr Duration FinalFlushTimeout = std::chrono::seconds(1);

/// State between log4cxx and standard output.
struct Output
{
    LogBuffer buffer;
    LineRateLimiter limiter;
    LinePriority priority = LinePriority::Normal; ///< of the line being formatted
    std::unique_ptr<Timer> writeTimer; ///< null: lines are written immediately
    bool writePending = false;
    TimePoint suppressionReportedAt;
};

Output &output()
{
    static Output instance;
    return instance;
}

void flushBuffer()
{
    auto &out = output();
    out.writePending = false;
    writeAvailable(out.buffer, STDOUT_FILENO);
    if (!out.buffer.isEmpty() && out.writeTimer) {
        out.writePending = true;
        out.writeTimer->start(FlushDelay);
    }
}

/// log4cxx appender that adds formatted lines to the buffer.
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
        out.buffer.append(line, out.priority);
        if (!out.writeTimer) {
            flushBuffer();
        } else if (!std::exchange(out.writePending, true)) {
            out.writeTimer->start(FlushDelay);
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
        if (!text.empty() && isPrintable(text)
            && text.find_first_of(" \"=") == std::string_view::npos) {
            line.append(text);
            return;
        }
        std::string oneLine(text);
        std::replace(oneLine.begin(), oneLine.end(), '\n', ' ');
        line.push_back('"');
        for (const char c : printableText(oneLine)) {
            if (c == '"' || c == '\\')
                line.push_back('\\');
            line.push_back(c);
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
    logger()->setLevel(toLog4cxxLevel(level));
}

void attach(event_base *base)
{
    output().writeTimer = std::make_unique<Timer>(base, flushBuffer);
}

void detach()
{
    auto &out = output();
    out.writeTimer.reset();
    const auto end = BootClock::now() + FinalFlushTimeout;
    while (writeAvailable(out.buffer, STDOUT_FILENO) && !out.buffer.isEmpty()
           && BootClock::now() < end) {
        pollfd entry {STDOUT_FILENO, POLLOUT, 0};
        poll(&entry, 1, static_cast<int>(toMs(FlushDelay)));
    }
}

void setLevel(Level level)
{
    logger()->setLevel(toLog4cxxLevel(level));
}

Level levelFromName(std::string_view name)
{
    return enumValue(LevelNames, name).value_or(Level::Info);
}

namespace {

std::string formatLine(std::string_view name, std::initializer_list<Field> fields)
{
    std::string line(name);
    for (const auto &field : fields) {
        line.append(" ").append(field.key).append("=");
        std::visit(ValueWriter {line}, field.value);
    }
    return line;
}

void write(Level level, LinePriority priority, const std::string &line)
{
    output().priority = priority;
    logger()->log(toLog4cxxLevel(level), line);
}

/// Returns the kind for the rate limiter: the event name, followed by the decision kind (the value
/// of the first field) for decisions.
std::string limiterKind(std::string_view name, std::initializer_list<Field> fields)
{
    std::string kind(name);
    if (fields.size() > 0 && name == DecisionEvent) {
        if (const auto *text = std::get_if<std::string_view>(&fields.begin()->value))
            kind.append(" ").append(*text);
    }
    return kind;
}

/// Logs the number of suppressed and dropped lines, at most once per second.
void reportSuppressed(TimePoint now)
{
    auto &out = output();
    if (now - out.suppressionReportedAt < SuppressionReportInterval)
        return;
    out.suppressionReportedAt = now;
    for (const auto &kind : out.limiter.takeSuppressed()) {
        write(Level::Warn, LinePriority::High,
              formatLine("log-lines-left-out", {{"kind", kind.kind}, {"lines", kind.lines}}));
    }
    if (const auto dropped = out.buffer.takeDropped(); dropped > 0)
        write(Level::Warn, LinePriority::High,
              formatLine("log-lines-dropped", {{"lines", dropped}}));
}

} // namespace

void event(Level level, std::string_view name, std::initializer_list<Field> fields)
{
    if (!logger()->isEnabledFor(toLog4cxxLevel(level)))
        return;
    const auto now = BootClock::now();
    reportSuppressed(now);
    const bool isHighPriority = level == Level::Warn || level == Level::Error;
    if (!isHighPriority && !output().limiter.admit(limiterKind(name, fields), now))
        return;
    write(level, isHighPriority ? LinePriority::High : LinePriority::Normal,
          formatLine(name, fields));
}

void infoUnlimited(std::string_view name, std::initializer_list<Field> fields)
{
    if (!logger()->isEnabledFor(toLog4cxxLevel(Level::Info)))
        return;
    reportSuppressed(BootClock::now());
    write(Level::Info, LinePriority::High, formatLine(name, fields));
}

} // namespace berylspur::log
