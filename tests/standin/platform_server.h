// HTTP server of the platform stand-in: the published protocol of the object store, call accounting
// and fault injection. Tests run it on their event loop; berylspur-platform runs it as a process.
//
// Control calls work during faults too. POST /faults takes a JSON object with any of these fields:
//   "outage": BOOL             responds to every call with 503, without an effect
//   "silent": BOOL             reads every call and never responds, without an effect
//   "delay-ms": N              delays responses by N ms; calls take effect immediately
//   "lose-write-responses": N  applies the next N writes and closes their connections
//   "drop-writes": N           closes the connections of the next N writes, without an effect
//   "late-writes": N           applies the next N writes after "late-ms", without a response
//   "late-ms": N               delay of late writes
//   "too-many": N              responds to the next N calls with 429, without an effect
//   "old-snapshot": BOOL       while true, reads, lists and watches see the state at this call
//   "compact": true            drops the history and ends waiting watches
//   "lose-data": true          deletes all objects
//   "take-copy": true          copies the store
//   "restore-copy": true       returns to that copy, or to an empty store, and begins a new era
// GET /accounting returns the calls by kind, the faults that occurred and the number of objects.
#pragma once

#include "object_store.h"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <functional>
#include <iterator>
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

/// Faults to inject; see the top of this file.
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

/// Counts of calls and of injected faults.
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
    std::uint64_t era = 0; ///< era in which the reply was formed; 0: that in which it is sent
};

/// What happens to waiting watches when the store is restored: their connections are closed, or
/// they get status 410.
enum class WaitingWatches { Closed, Gone };

class PlatformServer;

/// How the store treats a client: Unavailable answers 503, Reset closes the connection, Silent
/// reads the call and never responds. All but Served have no effect on the objects.
enum class Treatment { Served, Unavailable, Reset, Silent };

/// An address of its own for one client, at which the store can reject this client alone.
struct ClientAddress
{
    PlatformServer *platform = nullptr;
    Treatment treatment = Treatment::Served;
};

class PlatformServer
{
public:
    PlatformServer(event_base *base, evhttp *http) : m_base(base) { listen(http, m_everyClient); }
    ~PlatformServer()
    {
        while (!m_pending.empty()) {
            const std::unique_ptr<PendingRequest> pending(*m_pending.begin());
            removePending(pending.get());
        }
        for (auto *delayed : m_delayedWrites) {
            event_free(delayed->timer);
            delete delayed;
        }
    }
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    Faults &faults() { return m_faults; }
    const Accounting &accounting() const { return m_accounting; }
    ObjectStore &store() { return m_store; }

    /// Writes bytes as a client would.
    void put(const std::string &name, std::string value)
    {
        m_store.write(name, value, std::nullopt);
        notifyWatches();
    }
    /// Writes a specification as an operator would.
    void putSpecification(const std::string &name, const Json &specification)
    {
        m_store.put(name, specification, std::nullopt);
        notifyWatches();
    }
    /// Drops the history and ends waiting watches.
    void compact()
    {
        m_store.compact();
        completePending({StatusGone, {}});
    }
    /// Begins or ends an outage. Calls that wait for a response fail when it begins.
    void setOutage(bool outage)
    {
        m_faults.outage = outage;
        if (outage)
            completePending({HTTP_SERVUNAVAIL, {}});
    }
    /// Returns to the last copy of the store. Watches that wait end as \a waiting says.
    void restoreCopy(WaitingWatches waiting = WaitingWatches::Closed)
    {
        m_store.restoreCopy();
        std::vector<PendingRequest *> watches;
        std::copy_if(m_pending.begin(), m_pending.end(), std::back_inserter(watches),
                     [](const PendingRequest *pending) { return !pending->watchedKind.empty(); });
        for (auto *watch : watches)
            endWatch(watch, waiting);
    }
    /// Serves \a client at the addresses of \a http. Both must outlive the calls to them.
    void listen(evhttp *http, ClientAddress &client)
    {
        client.platform = this;
        evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                                 | EVHTTP_REQ_POST);
        evhttp_set_gencb(
                http,
                [](evhttp_request *request, void *context) {
                    auto &caller = *static_cast<ClientAddress *>(context);
                    caller.platform->handle(request, caller);
                },
                &client);
    }
    /// Changes how \a client is treated. Its waiting calls end, or stay without response if Silent.
    void treat(ClientAddress &client, Treatment treatment)
    {
        client.treatment = treatment;
        if (treatment == Treatment::Served || treatment == Treatment::Silent)
            return;
        for (auto *pending : pendingOf(client)) {
            const std::unique_ptr<PendingRequest> owner(pending);
            reject(removePending(pending), client);
        }
    }
    std::size_t pendingCalls() const { return m_pending.size(); }
    std::size_t pendingCalls(const ClientAddress &client) const { return pendingOf(client).size(); }
    /// Number of calls so far, including refused ones. A watch counts once.
    std::uint64_t calls() const
    {
        return m_accounting.read + m_accounting.write + m_accounting.remove + m_accounting.list
               + m_accounting.watch + m_accounting.refused;
    }

    /// Hooks for tests of races, called with the object's name: before a write, after it took
    /// effect, and before a read.
    std::function<void(const std::string &name)> beforeWrite;
    std::function<void(const std::string &name)> afterWrite;
    std::function<void(const std::string &name)> beforeRead;

private:
    /// A request without a response so far: a watch, a delayed response, or one that never comes.
    struct PendingRequest
    {
        PlatformServer *platform = nullptr;
        evhttp_request *request = nullptr;
        const ClientAddress *client = nullptr;
        event *timer = nullptr;
        std::string watchedKind; ///< empty unless this is a watch
        std::uint64_t after = 0;
        Reply reply;
    };
    /// A write that takes effect after its connection was closed.
    struct DelayedWrite
    {
        PlatformServer *platform = nullptr;
        event *timer = nullptr;
        std::function<void()> effect;
    };

    void endWatch(PendingRequest *watch, WaitingWatches waiting)
    {
        const std::unique_ptr<PendingRequest> owner(watch);
        auto *request = removePending(watch);
        if (waiting == WaitingWatches::Gone)
            send(request, {StatusGone, {}});
        else
            evhttp_connection_free(evhttp_request_get_connection(request));
    }

    std::vector<PendingRequest *> pendingOf(const ClientAddress &client) const
    {
        std::vector<PendingRequest *> found;
        std::copy_if(m_pending.begin(), m_pending.end(), std::back_inserter(found),
                     [&](const PendingRequest *pending) { return pending->client == &client; });
        return found;
    }

    /// Treats \a request as \a client is treated now, which is not Served.
    void reject(evhttp_request *request, const ClientAddress &client)
    {
        ++m_accounting.refused;
        if (client.treatment == Treatment::Unavailable)
            send(request, {HTTP_SERVUNAVAIL, {}});
        else if (client.treatment == Treatment::Reset)
            evhttp_connection_free(evhttp_request_get_connection(request));
        else
            holdRequest(request, {}, nullptr);
    }

    void completePending(const Reply &reply)
    {
        while (!m_pending.empty()) {
            const std::unique_ptr<PendingRequest> owner(*m_pending.begin());
            send(removePending(owner.get()), reply);
        }
    }

    void handle(evhttp_request *request, const ClientAddress &client)
    {
        m_client = &client;
        const auto *uri = evhttp_request_get_evhttp_uri(request);
        const std::string path = evhttp_uri_get_path(uri) ? evhttp_uri_get_path(uri) : "";
        if (path == "/faults")
            return send(request, setFaults(requestBody(request)));
        if (path == "/accounting")
            return send(request, {HTTP_OK, formatAccounting()});
        if (client.treatment != Treatment::Served)
            return reject(request, client);
        if (m_faults.silent) {
            ++m_accounting.refused;
            holdRequest(request, {}, nullptr);
            return;
        }
        if (m_faults.outage || m_faults.tooMany > 0) {
            ++m_accounting.refused;
            const int status = m_faults.outage ? HTTP_SERVUNAVAIL : StatusTooMany;
            m_faults.tooMany -= m_faults.outage ? 0 : 1;
            return respond(request, {status, {}});
        }
        constexpr std::string_view Objects = "/v1/objects/";
        if (!path.starts_with(Objects))
            return respond(request, {HTTP_NOTFOUND, {}});
        const auto rest = path.substr(Objects.size());
        const auto slash = rest.find('/');
        const auto kind = urlDecode(rest.substr(0, slash));
        if (slash == std::string::npos)
            return handleCollection(request, kind);
        const auto objectPath = rest.substr(slash + 1);
        constexpr std::string_view Status = "/status";
        if (objectPath.ends_with(Status))
            return handleStatus(request, kind + "/"
                                                 + urlDecode(objectPath.substr(
                                                         0, objectPath.size() - Status.size())));
        handleObject(request, kind + "/" + urlDecode(objectPath));
    }

    void handleCollection(evhttp_request *request, const std::string &kind)
    {
        if (evhttp_request_get_command(request) == EVHTTP_REQ_POST)
            return create(request, kind);
        if (evhttp_request_get_command(request) != EVHTTP_REQ_GET)
            return respond(request, {HTTP_BADMETHOD, {}});
        if (!queryValue(request, "watch").empty())
            return watch(request, kind);
        ++m_accounting.list;
        respond(request, list(kind, queryValue(request, "after")));
    }

    void create(evhttp_request *request, const std::string &kind)
    {
        const auto body = Json::parse(requestBody(request), nullptr, false);
        if (!body.is_object() || !body.contains("metadata"))
            return respond(request, {HTTP_BADREQUEST, {}});
        const auto name = kind + "/" + body["metadata"].value("name", "");
        applyWrite(request, name, [this, name, body] {
            return m_store.put(name, body.value("spec", Json()), 0,
                               body["metadata"].value("finalizers", Json()));
        });
    }

    void handleObject(evhttp_request *request, const std::string &name)
    {
        switch (evhttp_request_get_command(request)) {
        case EVHTTP_REQ_GET: {
            ++m_accounting.read;
            if (beforeRead)
                beforeRead(name);
            const auto object = m_store.find(name);
            return respond(request,
                           object ? Reply {HTTP_OK, object->dump()} : Reply {HTTP_NOTFOUND, {}});
        }
        case EVHTTP_REQ_PUT: {
            const auto body = Json::parse(requestBody(request), nullptr, false);
            if (!body.is_object())
                return respond(request, {HTTP_BADREQUEST, {}});
            const auto metadata = body.value("metadata", Json::object());
            const auto expected = expectedRevision(request, metadata);
            return applyWrite(request, name,
                              [this, name, body, metadata, expected]() -> WriteOutcome {
                                  if (!m_store.find(name) && !m_store.holdsSnapshot())
                                      return {StoreStatus::NotFound, 0};
                                  return m_store.put(name, body.value("spec", Json()), expected,
                                                     metadata.value("finalizers", Json()));
                              });
        }
        case EVHTTP_REQ_DELETE: {
            ++m_accounting.remove;
            const auto outcome = m_store.remove(name, expectedRevision(request, Json::object()));
            notifyWatches();
            return respondToWrite(request, writeReply(name, outcome, HTTP_OK));
        }
        default:
            return respond(request, {HTTP_BADMETHOD, {}});
        }
    }

    void handleStatus(evhttp_request *request, const std::string &name)
    {
        const auto body = Json::parse(requestBody(request), nullptr, false);
        if (!body.is_object())
            return respond(request, {HTTP_BADREQUEST, {}});
        const auto expected = expectedRevision(request, body.value("metadata", Json::object()));
        applyWrite(request, name, [this, name, body, expected] {
            return m_store.putStatus(name, body.value("status", Json()), expected);
        });
    }

    /// Applies a write, subject to the faults that affect writes.
    void applyWrite(evhttp_request *request, const std::string &name,
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
                delayWrite(effect);
            evhttp_connection_free(evhttp_request_get_connection(request));
            return;
        }
        const auto outcome = effect();
        if (outcome.status == StoreStatus::Conflict)
            ++m_accounting.conflicts;
        if (outcome.status == StoreStatus::Ok) {
            if (afterWrite)
                afterWrite(name);
            notifyWatches();
        }
        respondToWrite(request, writeReply(name, outcome, HTTP_OK));
    }

    void delayWrite(const std::function<WriteOutcome()> &effect)
    {
        --m_faults.lateWrites;
        auto *delayed = new DelayedWrite {this, nullptr, [this, effect] {
                                              effect();
                                              notifyWatches();
                                          }};
        const timeval delay {m_faults.lateMs / 1000, m_faults.lateMs % 1000 * 1000L};
        delayed->timer = event_new(
                m_base, -1, 0,
                [](evutil_socket_t, short, void *context) {
                    auto *write = static_cast<DelayedWrite *>(context);
                    write->effect();
                    write->platform->m_delayedWrites.erase(write);
                    event_free(write->timer);
                    delete write;
                },
                delayed);
        event_add(delayed->timer, &delay);
        m_delayedWrites.insert(delayed);
    }

    Reply writeReply(const std::string &name, const WriteOutcome &outcome, int success) const
    {
        switch (outcome.status) {
        case StoreStatus::NotFound:
            return {HTTP_NOTFOUND, {}};
        case StoreStatus::Conflict:
        case StoreStatus::Ok:
            break;
        }
        // The response shows the new revision even while reads see an older snapshot.
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
            return respond(request, {HTTP_BADREQUEST, {}});
        const auto reply = eventsReply(kind, *after);
        if (reply)
            return respond(request, *reply);
        const int ms = static_cast<int>(std::min<std::uint64_t>(waitMs.value_or(0), MaxWatchMs));
        const timeval time {ms / 1000, ms % 1000 * 1000L};
        const Json noEvents = {{"events", Json::array()}, {"at", m_store.revision()}};
        auto *pending = holdRequest(request, {HTTP_OK, noEvents.dump()}, &time);
        pending->watchedKind = kind;
        pending->after = *after;
    }

    /// Response to a watch of \a kind, or std::nullopt if there is no event so far.
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

    void notifyWatches()
    {
        std::vector<std::pair<PendingRequest *, Reply>> ready;
        for (auto *pending : m_pending) {
            if (pending->watchedKind.empty() || pending->client->treatment == Treatment::Silent)
                continue;
            if (auto reply = eventsReply(pending->watchedKind, pending->after))
                ready.emplace_back(pending, std::move(*reply));
        }
        for (const auto &[pending, reply] : ready) {
            const std::unique_ptr<PendingRequest> owner(pending);
            respond(removePending(pending), reply);
        }
    }

    static std::optional<std::uint64_t> expectedRevision(evhttp_request *request,
                                                         const Json &metadata)
    {
        if (metadata.contains("revision") && metadata["revision"].is_number_unsigned())
            return metadata["revision"].get<std::uint64_t>();
        const auto text = queryValue(request, "revision");
        return text.empty() ? std::nullopt : parseNumber(text);
    }

    void respondToWrite(evhttp_request *request, const Reply &reply)
    {
        if (reply.status == HTTP_OK && m_faults.loseWriteResponses > 0) {
            --m_faults.loseWriteResponses;
            ++m_accounting.lostResponses;
            evhttp_connection_free(evhttp_request_get_connection(request));
            return;
        }
        respond(request, reply);
    }

    void respond(evhttp_request *request, const Reply &reply)
    {
        if (m_faults.delayMs == 0)
            return send(request, reply);
        const timeval delay {m_faults.delayMs / 1000, m_faults.delayMs % 1000 * 1000L};
        Reply delayed = reply;
        delayed.era = m_store.era();
        holdRequest(request, std::move(delayed), &delay);
    }

    PendingRequest *holdRequest(evhttp_request *request, Reply reply, const timeval *time)
    {
        auto *pending =
                new PendingRequest {this, request, m_client, nullptr, {}, 0, std::move(reply)};
        pending->timer = event_new(m_base, -1, 0, onPendingTimeout, pending);
        if (time)
            event_add(pending->timer, time);
        m_pending.insert(pending);
        evhttp_connection_set_closecb(
                evhttp_request_get_connection(request),
                [](evhttp_connection *, void *context) {
                    auto *closed = static_cast<PendingRequest *>(context);
                    closed->platform->removePending(closed);
                    delete closed;
                },
                pending);
        return pending;
    }

    static void onPendingTimeout(evutil_socket_t, short, void *context)
    {
        const std::unique_ptr<PendingRequest> pending(static_cast<PendingRequest *>(context));
        auto &platform = *pending->platform;
        platform.send(platform.removePending(pending.get()), pending->reply);
    }

    evhttp_request *removePending(PendingRequest *pending)
    {
        m_pending.erase(pending);
        event_free(pending->timer);
        evhttp_connection_set_closecb(evhttp_request_get_connection(pending->request), nullptr,
                                      nullptr);
        return pending->request;
    }

    void send(evhttp_request *request, const Reply &reply) const
    {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                          std::to_string(reply.era != 0 ? reply.era : m_store.era()).c_str());
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
                m_store.loseAllData();
            if (json.value("take-copy", false))
                m_store.takeCopy();
            if (json.value("restore-copy", false))
                restoreCopy();
        } catch (const nlohmann::json::exception &error) {
            return {HTTP_BADREQUEST, std::string(error.what()) + "\n"};
        }
        notifyWatches();
        return {HTTP_OK, {}};
    }

    std::string formatAccounting() const
    {
        const nlohmann::json json = {
                {"read", m_accounting.read},       {"write", m_accounting.write},
                {"remove", m_accounting.remove},   {"list", m_accounting.list},
                {"watch", m_accounting.watch},     {"conflicts", m_accounting.conflicts},
                {"refused", m_accounting.refused}, {"lost-responses", m_accounting.lostResponses},
                {"dropped", m_accounting.dropped}, {"waiting", m_pending.size()},
                {"objects", m_store.size()},
        };
        return json.dump(2) + "\n";
    }

    static std::string requestBody(evhttp_request *request)
    {
        auto *buffer = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(buffer), '\0');
        evbuffer_copyout(buffer, body.data(), body.size());
        return body;
    }

    static std::string urlDecode(const std::string &text)
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
    ClientAddress m_everyClient; ///< clients without an address of their own
    const ClientAddress *m_client = nullptr; ///< of the call that is being handled
    ObjectStore m_store;
    Faults m_faults;
    Accounting m_accounting;
    std::set<PendingRequest *> m_pending;
    std::set<DelayedWrite *> m_delayedWrites;
};

} // namespace berylspur::standin
