// Flush timer, batch writes and retries.
#include "berylspur/record/record_task.h"

#include "berylspur/core/log.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace berylspur {

namespace {

constexpr std::int64_t MsPerMinute = 60000;

timeval toTimeval(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {static_cast<time_t>(seconds.count()),
            static_cast<suseconds_t>((duration - seconds).count())};
}

} // namespace

class RecordTask::Impl
{
public:
    Impl(event_base *base, DecisionLog &log, PlatformClient &platform)
        : m_log(log), m_platform(platform), m_timer(event_new(base, -1, 0, onTimer, this))
    {
    }
    ~Impl() { event_free(m_timer); }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void start()
    {
        auto random = seededRandom();
        std::uniform_int_distribution<Duration::rep> phase(1, interval().count());
        schedule(Duration(phase(random)));
    }

    void setNodes(std::size_t nodes) { m_nodes = nodes; }

    void flush()
    {
        if (m_isWriteInProgress)
            return;
        const auto batch = m_log.nextBatch();
        if (!batch) {
            notifyStopped(true);
            return;
        }
        m_isWriteInProgress = true;
        const auto name = objectName(*batch);
        const std::weak_ptr<Impl *> alive = m_self;
        m_platform.write(name, batch->SerializeAsString(), NoObject,
                         [alive, name](const Result<ObjectVersion> &result) {
                             if (const auto self = alive.lock())
                                 (*self)->onWritten(name, result);
                         });
    }

    void stop(std::function<void(bool)> done)
    {
        event_del(m_timer);
        m_onStopped = std::move(done);
        flush();
    }

    std::uint64_t batchesWritten() const { return m_batchesWritten; }
    std::uint64_t failedWrites() const { return m_failedWrites; }

private:
    Duration interval() const { return DecisionLog::flushInterval(m_nodes); }

    void schedule(Duration delay)
    {
        const auto time = toTimeval(delay);
        event_add(m_timer, &time);
    }

    static void onTimer(evutil_socket_t, short, void *context)
    {
        auto &task = *static_cast<Impl *>(context);
        task.schedule(task.interval());
        task.flush();
    }

    void onWritten(const std::string &name, const Result<ObjectVersion> &result)
    {
        m_isWriteInProgress = false;
        // No other writer uses this name, so a conflict means that an earlier attempt succeeded.
        if (result || result.error().code == ErrorCode::PlatformConflict) {
            m_log.written();
            ++m_batchesWritten;
            if (m_onStopped)
                flush();
            return;
        }
        m_log.failed();
        ++m_failedWrites;
        log::warn("decisions-not-written", {{"object", name},
                                            {"error", describe(result.error())},
                                            {"records", m_log.size()},
                                            {"dropped", m_log.dropped()}});
        notifyStopped(false);
    }

    void notifyStopped(bool written)
    {
        if (!m_onStopped)
            return;
        const auto done = std::exchange(m_onStopped, nullptr);
        done(written);
    }

    DecisionLog &m_log;
    PlatformClient &m_platform;
    event *m_timer;
    std::size_t m_nodes = 1;
    bool m_isWriteInProgress = false;
    std::function<void(bool)> m_onStopped;
    std::uint64_t m_batchesWritten = 0;
    std::uint64_t m_failedWrites = 0;
    /// Expires with this object, since callbacks of the platform client may outlive it.
    std::shared_ptr<Impl *> m_self = std::make_shared<Impl *>(this);
};

RecordTask::RecordTask(event_base *base, DecisionLog &log, PlatformClient &platform)
    : m_impl(std::make_unique<Impl>(base, log, platform))
{
}

RecordTask::~RecordTask() = default;

void RecordTask::start()
{
    m_impl->start();
}

void RecordTask::setNodes(std::size_t nodes)
{
    m_impl->setNodes(nodes);
}

void RecordTask::flush()
{
    m_impl->flush();
}

void RecordTask::stop(std::function<void(bool)> done)
{
    m_impl->stop(std::move(done));
}

std::uint64_t RecordTask::batchesWritten() const
{
    return m_impl->batchesWritten();
}

std::uint64_t RecordTask::failedWrites() const
{
    return m_impl->failedWrites();
}

std::string RecordTask::minutePrefix(std::int64_t timeMs)
{
    std::ostringstream name;
    name << "decisions/" << std::setw(10) << std::setfill('0') << timeMs / MsPerMinute << "/";
    return name.str();
}

std::string RecordTask::objectName(const schema::DecisionBatch &batch)
{
    std::int64_t newest = 0;
    for (const auto &record : batch.records())
        newest = std::max(newest, record.time_ms());
    return minutePrefix(newest) + batch.node() + "/" + std::to_string(batch.incarnation()) + "-"
           + std::to_string(batch.batch());
}

} // namespace berylspur
