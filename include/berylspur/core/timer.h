// One-shot timer on the event loop.
#pragma once

#include "berylspur/core/clock.h"

#include <event2/event.h>
#include <functional>
#include <utility>

namespace berylspur {

/// Destroying the timer cancels a pending call.
class Timer
{
public:
    Timer(event_base *base, std::function<void()> callback)
        : m_callback(std::move(callback)), m_event(event_new(base, -1, 0, onFire, this))
    {
    }
    ~Timer() { event_free(m_event); }
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Invokes the callback once after \a delay. Replaces a pending call.
    void start(Duration delay)
    {
        const auto us = std::max<Duration::rep>(delay.count(), 0);
        const timeval time {us / 1000000, static_cast<suseconds_t>(us % 1000000)};
        event_add(m_event, &time);
    }
    void stop() { event_del(m_event); }

private:
    static void onFire(evutil_socket_t, short, void *self)
    {
        static_cast<Timer *>(self)->m_callback();
    }

    std::function<void()> m_callback;
    event *m_event;
};

} // namespace berylspur
