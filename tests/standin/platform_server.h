// HTTP side of the platform stand-in: the published protocol of the object store, accounting of
// calls and faults. Tests run it on their own event loop; berylspur-platform runs it as a process.
//
// Control, answered during faults too: POST /faults takes a JSON object with any of
//   "outage": true or false         every call is answered with 503 and has no effect
//   "silent": true or false         every call is read and never answered, and has no effect
//   "delay-ms": N                   answers wait N ms; the call takes effect at once
//   "lose-write-responses": N       the next N writes take effect and their connection is closed
//   "drop-writes": N                the next N writes have no effect and their connection is closed
//   "late-writes": N                the next N writes take effect "late-ms" later, without an
//   answer "late-ms": N "too-many": N                   the next N calls are answered with 429 and
//   have no effect "old-snapshot": true or false   reads, lists and watches see the state of now
//   until false "compact": true                 the history is dropped and waiting watches are cut
//   off "lose-data": true               all objects are gone
// GET /accounting returns calls per kind, faults that happened, and the number of objects.
#pragma once

#include "object_store.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace berylspur::standin {

inline constexpr int StatusCreated = 201;
inline constexpr int StatusConflict = 409;
inline constexpr int StatusGone = 410;
inline constexpr int StatusTooMany = 429;
inline constexpr int MaxWatchMs = 30000;
inline constexpr std::size_t PageObjects = 500;

struct Faults
{
    bool outage = false;
    bool silent = false;
    int delayMs = 0;
    std::uint64_t loseWriteResponses = 0;
    std::uint64_t dropWrites = 0;
    std::uint64_t lateWrites = 0;
    int lateMs = 1000;
    std::uint64_t tooMany = 0;
};

struct Accounting
{
    std::uint64_t read = 0;
    std::uint64_t write = 0;
    std::uint64_t remove = 0;
    std::uint64_t list = 0;
    std::uint64_t watch = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;
    std::uint64_t lostResponses = 0;
    std::uint64_t dropped = 0;
};

struct Reply
{
    int status = HTTP_OK;
    std::string body;
};

class PlatformServer
{
public:
    PlatformServer(event_base *base, evhttp *http) : m_base(base)
    {
        evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                                 | EVHTTP_REQ_POST);
        evhttp_set_gencb(
                http,
                [](evhttp_request *request, void *self) {
                    static_cast<PlatformServer *>(self)->handle(request);
                },
                this);
    }
    ~PlatformServer()
    {
        while (!m_waiting.empty()) {
            const std::unique_ptr<Waiting> waiting(*m_waiting.begin());
            release(waiting.get());
        }
        for (auto *late : m_late) {
            event_free(late->timer);
            delete late;
        }
    }
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    Faults &faults() { return m_faults; }
    const Accounting &accounting() const { return m_accounting; }
    ObjectStore &store() { return m_store; }

    /// Writes as a client would.
    void put(const std::string &name, std::string value)
    {
        m_store.write(name, value, std::nullopt);
        wakeWatches();
    }
    /// Writes as the operator would.
    void putForeign(const std::string &name, const Json &specification)
    {
        m_store.put(name, specification, std::nullopt);
        wakeWatches();
    }
    /// Drops the history; waiting watches end.
    void compact()
    {
        m_store.compact();
        endWaiting({StatusGone, {}});
    }
    /// Begins or ends an outage. Waiting calls end when it begins.
    void setOutage(bool outage)
    {
        m_faults.outage = outage;
        if (outage)
            endWaiting({HTTP_SERVUNAVAIL, {}});
    }
    std::size_t waitingCalls() const { return m_waiting.size(); }
    /// All calls so far, refused ones included; a watch counts once.
    std::uint64_t calls() const
    {
        return m_accounting.read + m_accounting.write + m_accounting.remove + m_accounting.list
               + m_accounting.watch + m_accounting.refused;
    }

    /// Called with the object's name at the start and after the effect of each write, and at the
    /// start of each read, for tests of races.
    std::function<void(const std::string &name)> beforeWrite;
    std::function<void(const std::string &name)> afterWrite;
    std::function<void(const std::string &name)> beforeRead;

private:
    /// A request without an answer yet: a watch, a delayed answer, or one that never comes.
    struct Waiting
    {
        PlatformServer *platform = nullptr;
        evhttp_request *request = nullptr;
        event *timer = nullptr;
        std::string watched; ///< kind
        std::uint64_t after = 0;
        Reply reply;
    };
    /// A write that takes effect after its connection ended.
    struct LateWrite
    {
        PlatformServer *platform = nullptr;
        event *timer = nullptr;
        std::function<void()> effect;
    };

    void endWaiting(const Reply &reply)
    {
        while (!m_waiting.empty()) {
            const std::unique_ptr<Waiting> owned(*m_waiting.begin());
            send(release(owned.get()), reply);
        }
    }

    void handle(evhttp_request *request)
    {
        const auto *uri = evhttp_request_get_evhttp_uri(request);
        const std::string path = evhttp_uri_get_path(uri) ? evhttp_uri_get_path(uri) : "";
        if (path == "/faults")
            return send(request, setFaults(bodyOf(request)));
        if (path == "/accounting")
            return send(request, {HTTP_OK, accountingText()});
        if (m_faults.silent) {
            ++m_accounting.refused;
            wait(request, {}, nullptr);
            return;
        }
        if (m_faults.outage || m_faults.tooMany > 0) {
            ++m_accounting.refused;
            const int status = m_faults.outage ? HTTP_SERVUNAVAIL : StatusTooMany;
            m_faults.tooMany -= m_faults.outage ? 0 : 1;
            return answer(request, {status, {}});
        }
        constexpr std::string_view Objects = "/v1/objects/";
        if (!path.starts_with(Objects))
            return answer(request, {HTTP_NOTFOUND, {}});
        const auto rest = path.substr(Objects.size());
        const auto slash = rest.find('/');
        const auto kind = decoded(rest.substr(0, slash));
        if (slash == std::string::npos)
            return kindCall(request, kind);
        const auto last = rest.substr(slash + 1);
        constexpr std::string_view Status = "/status";
        if (last.ends_with(Status))
            return statusCall(request,
                              kind + "/" + decoded(last.substr(0, last.size() - Status.size())));
        objectCall(request, kind + "/" + decoded(last));
    }

    void kindCall(evhttp_request *request, const std::string &kind)
    {
        if (evhttp_request_get_command(request) == EVHTTP_REQ_POST)
            return create(request, kind);
        if (evhttp_request_get_command(request) != EVHTTP_REQ_GET)
            return answer(request, {HTTP_BADMETHOD, {}});
        if (!queryValue(request, "watch").empty())
            return watch(request, kind);
        ++m_accounting.list;
        answer(request, list(kind, queryValue(request, "after")));
    }

    void create(evhttp_request *request, const std::string &kind)
    {
        const auto body = Json::parse(bodyOf(request), nullptr, false);
        if (!body.is_object() || !body.contains("metadata"))
            return answer(request, {HTTP_BADREQUEST, {}});
        const auto name = kind + "/" + body["metadata"].value("name", "");
        change(request, name, [this, name, body] {
            return m_store.put(name, body.value("spec", Json()), 0,
                               body["metadata"].value("finalizers", Json()));
        });
    }

    void objectCall(evhttp_request *request, const std::string &name)
    {
        switch (evhttp_request_get_command(request)) {
        case EVHTTP_REQ_GET: {
            ++m_accounting.read;
            if (beforeRead)
                beforeRead(name);
            const auto object = m_store.find(name);
            return answer(request,
                          object ? Reply {HTTP_OK, object->dump()} : Reply {HTTP_NOTFOUND, {}});
        }
        case EVHTTP_REQ_PUT: {
            const auto body = Json::parse(bodyOf(request), nullptr, false);
            if (!body.is_object())
                return answer(request, {HTTP_BADREQUEST, {}});
            const auto metadata = body.value("metadata", Json::object());
            const auto expected = revisionOf(request, metadata);
            return change(request, name, [this, name, body, metadata, expected]() -> WriteOutcome {
                if (!m_store.find(name) && !m_store.holdsSnapshot())
                    return {StoreStatus::NotFound, 0};
                return m_store.put(name, body.value("spec", Json()), expected,
                                   metadata.value("finalizers", Json()));
            });
        }
        case EVHTTP_REQ_DELETE: {
            ++m_accounting.remove;
            const auto outcome = m_store.remove(name, revisionOf(request, Json::object()));
            wakeWatches();
            return answerWrite(request, replyTo(name, outcome, HTTP_OK));
        }
        default:
            return answer(request, {HTTP_BADMETHOD, {}});
        }
    }

    void statusCall(evhttp_request *request, const std::string &name)
    {
        const auto body = Json::parse(bodyOf(request), nullptr, false);
        if (!body.is_object())
            return answer(request, {HTTP_BADREQUEST, {}});
        const auto expected = revisionOf(request, body.value("metadata", Json::object()));
        change(request, name, [this, name, body, expected] {
            return m_store.putStatus(name, body.value("status", Json()), expected);
        });
    }

    /// Carries out a write with the faults that concern writes.
    void change(evhttp_request *request, const std::string &name,
                const std::function<WriteOutcome()> &effect)
    {
        ++m_accounting.write;
        if (beforeWrite)
            beforeWrite(name);
        if (m_faults.dropWrites > 0 || m_faults.lateWrites > 0) {
            ++m_accounting.dropped;
            if (m_faults.dropWrites > 0)
                --m_faults.dropWrites;
            else
                writeLater(effect);
            evhttp_connection_free(evhttp_request_get_connection(request));
            return;
        }
        const auto outcome = effect();
        if (outcome.status == StoreStatus::Conflict)
            ++m_accounting.conflicts;
        if (outcome.status == StoreStatus::Ok) {
            if (afterWrite)
                afterWrite(name);
            wakeWatches();
        }
        answerWrite(request, replyTo(name, outcome, HTTP_OK));
    }

    void writeLater(const std::function<WriteOutcome()> &effect)
    {
        --m_faults.lateWrites;
        auto *late = new LateWrite {this, nullptr, [this, effect] {
                                        effect();
                                        wakeWatches();
                                    }};
        const timeval delay {m_faults.lateMs / 1000, m_faults.lateMs % 1000 * 1000L};
        late->timer = event_new(
                m_base, -1, 0,
                [](evutil_socket_t, short, void *context) {
                    auto *write = static_cast<LateWrite *>(context);
                    write->effect();
                    write->platform->m_late.erase(write);
                    event_free(write->timer);
                    delete write;
                },
                late);
        event_add(late->timer, &delay);
        m_late.insert(late);
    }

    Reply replyTo(const std::string &name, const WriteOutcome &outcome, int success) const
    {
        switch (outcome.status) {
        case StoreStatus::NotFound:
            return {HTTP_NOTFOUND, {}};
        case StoreStatus::Conflict:
        case StoreStatus::Ok:
            break;
        }
        // The answer shows what was written, also while reads see an older state.
        Json object = m_store.find(name).value_or(Json::object());
        object["metadata"]["revision"] = outcome.version;
        return {outcome.status == StoreStatus::Ok ? success : StatusConflict, object.dump()};
    }

    Reply list(const std::string &kind, const std::string &after) const
    {
        Json items = Json::array();
        bool more = false;
        for (const auto &[name, version] : m_store.list(kind + "/")) {
            if (!after.empty() && name <= kind + "/" + after)
                continue;
            more = items.size() >= PageObjects;
            if (more)
                break;
            items.push_back(*m_store.find(name));
        }
        const Json page = {{"items", items}, {"hasMore", more}, {"at", m_store.revision()}};
        return {HTTP_OK, page.dump()};
    }

    void watch(evhttp_request *request, const std::string &kind)
    {
        ++m_accounting.watch;
        const auto after = parseNumber(queryValue(request, "watch"));
        const auto waitMs = parseNumber(queryValue(request, "waitMs"));
        if (!after)
            return answer(request, {HTTP_BADREQUEST, {}});
        const auto reply = eventsReply(kind, *after);
        if (reply)
            return answer(request, *reply);
        const int ms = static_cast<int>(std::min<std::uint64_t>(waitMs.value_or(0), MaxWatchMs));
        const timeval time {ms / 1000, ms % 1000 * 1000L};
        const Json nothing = {{"events", Json::array()}, {"at", m_store.revision()}};
        auto *waiting = wait(request, {HTTP_OK, nothing.dump()}, &time);
        waiting->watched = kind;
        waiting->after = *after;
    }

    /// Answer to a watch of \a kind; nothing while there is no event.
    std::optional<Reply> eventsReply(const std::string &kind, std::uint64_t after) const
    {
        if (m_store.holdsSnapshot())
            return std::nullopt;
        const auto events = m_store.eventsAfter(kind, after);
        if (!events)
            return Reply {StatusGone, {}};
        if (events->empty())
            return std::nullopt;
        Json body = {{"events", Json::array()}, {"at", m_store.revision()}};
        for (const auto &event : *events)
            body["events"].push_back({{"deleted", event.deleted}, {"object", event.object}});
        return Reply {HTTP_OK, body.dump()};
    }

    void wakeWatches()
    {
        std::vector<std::pair<Waiting *, Reply>> ready;
        for (auto *waiting : m_waiting) {
            if (waiting->watched.empty())
                continue;
            if (auto reply = eventsReply(waiting->watched, waiting->after))
                ready.emplace_back(waiting, std::move(*reply));
        }
        for (const auto &[waiting, reply] : ready) {
            const std::unique_ptr<Waiting> owned(waiting);
            answer(release(waiting), reply);
        }
    }

    static std::optional<std::uint64_t> revisionOf(evhttp_request *request, const Json &metadata)
    {
        if (metadata.contains("revision") && metadata["revision"].is_number_unsigned())
            return metadata["revision"].get<std::uint64_t>();
        const auto text = queryValue(request, "revision");
        return text.empty() ? std::nullopt : parseNumber(text);
    }

    void answerWrite(evhttp_request *request, const Reply &reply)
    {
        if (reply.status == HTTP_OK && m_faults.loseWriteResponses > 0) {
            --m_faults.loseWriteResponses;
            ++m_accounting.lostResponses;
            evhttp_connection_free(evhttp_request_get_connection(request));
            return;
        }
        answer(request, reply);
    }

    void answer(evhttp_request *request, const Reply &reply)
    {
        if (m_faults.delayMs == 0)
            return send(request, reply);
        const timeval delay {m_faults.delayMs / 1000, m_faults.delayMs % 1000 * 1000L};
        wait(request, reply, &delay);
    }

    Waiting *wait(evhttp_request *request, Reply reply, const timeval *time)
    {
        auto *waiting = new Waiting {this, request, nullptr, {}, 0, std::move(reply)};
        waiting->timer = event_new(m_base, -1, 0, onWaited, waiting);
        if (time)
            event_add(waiting->timer, time);
        m_waiting.insert(waiting);
        evhttp_connection_set_closecb(
                evhttp_request_get_connection(request),
                [](evhttp_connection *, void *context) {
                    auto *closed = static_cast<Waiting *>(context);
                    closed->platform->release(closed);
                    delete closed;
                },
                waiting);
        return waiting;
    }

    static void onWaited(evutil_socket_t, short, void *context)
    {
        const std::unique_ptr<Waiting> waiting(static_cast<Waiting *>(context));
        send(waiting->platform->release(waiting.get()), waiting->reply);
    }

    evhttp_request *release(Waiting *waiting)
    {
        m_waiting.erase(waiting);
        event_free(waiting->timer);
        evhttp_connection_set_closecb(evhttp_request_get_connection(waiting->request), nullptr,
                                      nullptr);
        return waiting->request;
    }

    static void send(evhttp_request *request, const Reply &reply)
    {
        evbuffer_add(evhttp_request_get_output_buffer(request), reply.body.data(),
                     reply.body.size());
        evhttp_send_reply(request, reply.status, nullptr, nullptr);
    }

    Reply setFaults(const std::string &text)
    {
        const auto json = nlohmann::json::parse(text, nullptr, false);
        if (!json.is_object())
            return {HTTP_BADREQUEST, "expected a JSON object\n"};
        try {
            m_faults.outage = json.value("outage", m_faults.outage);
            m_faults.silent = json.value("silent", m_faults.silent);
            m_faults.delayMs = json.value("delay-ms", m_faults.delayMs);
            m_faults.loseWriteResponses =
                    json.value("lose-write-responses", m_faults.loseWriteResponses);
            m_faults.dropWrites = json.value("drop-writes", m_faults.dropWrites);
            m_faults.lateWrites = json.value("late-writes", m_faults.lateWrites);
            m_faults.lateMs = json.value("late-ms", m_faults.lateMs);
            m_faults.tooMany = json.value("too-many", m_faults.tooMany);
            if (json.value("compact", false))
                compact();
            if (json.contains("old-snapshot"))
                json["old-snapshot"].get<bool>() ? m_store.holdSnapshot()
                                                 : m_store.releaseSnapshot();
            if (json.value("lose-data", false))
                m_store.loseAll();
        } catch (const nlohmann::json::exception &error) {
            return {HTTP_BADREQUEST, std::string(error.what()) + "\n"};
        }
        wakeWatches();
        return {HTTP_OK, {}};
    }

    std::string accountingText() const
    {
        const nlohmann::json json = {
                {"read", m_accounting.read},       {"write", m_accounting.write},
                {"remove", m_accounting.remove},   {"list", m_accounting.list},
                {"watch", m_accounting.watch},     {"conflicts", m_accounting.conflicts},
                {"refused", m_accounting.refused}, {"lost-responses", m_accounting.lostResponses},
                {"dropped", m_accounting.dropped}, {"waiting", m_waiting.size()},
                {"objects", m_store.size()},
        };
        return json.dump(2) + "\n";
    }

    static std::string bodyOf(evhttp_request *request)
    {
        auto *buffer = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(buffer), '\0');
        evbuffer_copyout(buffer, body.data(), body.size());
        return body;
    }

    static std::string decoded(const std::string &text)
    {
        std::size_t size = 0;
        const std::unique_ptr<char, decltype(&free)> plain(evhttp_uridecode(text.c_str(), 0, &size),
                                                           &free);
        return {plain.get(), size};
    }

    static std::string queryValue(evhttp_request *request, const char *key)
    {
        const auto *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
        if (!query)
            return {};
        evkeyvalq values {};
        evhttp_parse_query_str(query, &values);
        const auto *value = evhttp_find_header(&values, key);
        std::string text = value ? value : "";
        evhttp_clear_headers(&values);
        return text;
    }

    static std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    event_base *m_base;
    ObjectStore m_store;
    Faults m_faults;
    Accounting m_accounting;
    std::set<Waiting *> m_waiting;
    std::set<LateWrite *> m_late;
};

} // namespace berylspur::standin
