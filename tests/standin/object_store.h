// Object store of the platform stand-in: objects by kind and name, revisions, conditional writes,
// finalizers, an event history for watches, copies to restore, and injected faults.
#pragma once

#include <boost/algorithm/hex.hpp>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylspur::standin {

using Json = nlohmann::json;

inline std::string toHex(const std::string &bytes)
{
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

/// Bytes of an object that the fleet wrote in hexadecimal; JSON text of any other object.
inline std::string decodeBytes(const Json &specification)
{
    if (!specification.is_string())
        return specification.dump();
    const auto text = specification.get<std::string>();
    std::string bytes;
    boost::algorithm::unhex(text.begin(), text.end(), std::back_inserter(bytes));
    return bytes;
}

/// Version and decoded value of an object.
struct StoredObject
{
    std::uint64_t version = 0;
    std::string value;
};

enum class StoreStatus { Ok, NotFound, Conflict };

/// Result of a write: the new version, or the current version on a conflict.
struct WriteOutcome
{
    StoreStatus status = StoreStatus::Ok;
    std::uint64_t version = 0;
};

/// In-memory object store. All objects share one version counter that each change increments. Reads
/// see the latest state or, while a snapshot is held, the state of the snapshot; writes always
/// apply to the latest state. Names have the form "kind/name".
class ObjectStore
{
public:
    struct Event
    {
        std::uint64_t revision = 0;
        std::string name;
        Json object;
        bool deleted = false;
    };

    std::optional<StoredObject> read(const std::string &name) const
    {
        const auto object = find(name);
        if (!object)
            return std::nullopt;
        return StoredObject {(*object)["metadata"]["revision"].get<std::uint64_t>(),
                             decodeBytes((*object)["spec"])};
    }

    std::optional<Json> find(const std::string &name) const
    {
        const auto &objects = visibleObjects();
        const auto found = objects.find(name);
        return found == objects.end() ? std::nullopt : std::optional(found->second);
    }

    std::vector<std::pair<std::string, std::uint64_t>> list(const std::string &prefix) const
    {
        std::vector<std::pair<std::string, std::uint64_t>> found;
        const auto &objects = visibleObjects();
        for (auto entry = objects.lower_bound(prefix);
             entry != objects.end() && entry->first.starts_with(prefix); ++entry)
            found.emplace_back(entry->first,
                               entry->second["metadata"]["revision"].get<std::uint64_t>());
        return found;
    }

    /// Writes bytes as the fleet does if the version of \a name is \a expected. 0 requires that the
    /// object does not exist; std::nullopt accepts any version.
    WriteOutcome write(const std::string &name, const std::string &value,
                       std::optional<std::uint64_t> expected)
    {
        return put(name, toHex(value), expected);
    }

    /// Writes a specification. Replaces the finalizers if \a finalizers is an array.
    WriteOutcome put(const std::string &name, const Json &specification,
                     std::optional<std::uint64_t> expected, const Json &finalizers = {})
    {
        const auto found = m_objects.find(name);
        const std::uint64_t current = versionOf(found);
        if (expected && *expected != current)
            return {StoreStatus::Conflict, current};
        Json object = found == m_objects.end() ? newObject(name) : found->second;
        const Json before = object;
        object["spec"] = specification;
        if (finalizers.is_array())
            object["metadata"]["finalizers"] = finalizers;
        if (found != m_objects.end() && object == before)
            return {StoreStatus::Ok, current};
        if (object["metadata"]["deletionPending"] == true
            && object["metadata"]["finalizers"].empty()) {
            erase(name);
            return {StoreStatus::Ok, m_revision};
        }
        return {StoreStatus::Ok, store(name, std::move(object))};
    }

    /// Replaces the status of an existing object.
    WriteOutcome putStatus(const std::string &name, const Json &status,
                           std::optional<std::uint64_t> expected)
    {
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
            return {StoreStatus::NotFound, 0};
        if (expected && *expected != versionOf(found))
            return {StoreStatus::Conflict, versionOf(found)};
        Json object = found->second;
        object["status"] = status;
        return {StoreStatus::Ok, store(name, std::move(object))};
    }

    /// Removes the object, or marks it as pending deletion if it has finalizers.
    WriteOutcome remove(const std::string &name, std::optional<std::uint64_t> expected = {})
    {
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
            return {StoreStatus::NotFound, 0};
        if (expected && *expected != versionOf(found))
            return {StoreStatus::Conflict, versionOf(found)};
        if (!found->second["metadata"]["finalizers"].empty()) {
            Json object = found->second;
            object["metadata"]["deletionPending"] = true;
            return {StoreStatus::Ok, store(name, std::move(object))};
        }
        erase(name);
        return {StoreStatus::Ok, m_revision};
    }

    /// Events of \a kind after \a revision, or std::nullopt if the history does not cover them:
    /// they were dropped, or the store has not reached \a revision since it was restored.
    std::optional<std::vector<Event>> eventsAfter(const std::string &kind,
                                                  std::uint64_t revision) const
    {
        if (revision < m_historyStart || revision > m_revision)
            return std::nullopt;
        std::vector<Event> events;
        for (const auto &event : m_history) {
            if (event.revision > revision && event.name.starts_with(kind + "/"))
                events.push_back(event);
        }
        return events;
    }

    /// Drops the history. Watches from an earlier revision then fail.
    void compact()
    {
        m_history.clear();
        m_historyStart = m_revision;
    }

    /// Makes reads see the current state until releaseSnapshot(), regardless of later writes.
    void holdSnapshot()
    {
        if (!m_snapshot)
            m_snapshot = m_objects;
    }
    void releaseSnapshot() { m_snapshot.reset(); }
    bool holdsSnapshot() const { return m_snapshot.has_value(); }

    /// Deletes all objects, as a platform that lost its data. The version counter is not reset.
    void loseAllData()
    {
        m_objects.clear();
        m_snapshot.reset();
        ++m_revision;
        compact();
    }

    /// Copies the current state, for restoreCopy().
    void takeCopy() { m_copy = {m_objects, m_revision}; }

    /// Returns to the state of the last takeCopy(); an empty store without one. Later changes are
    /// gone, their revisions are given out again, and a new era begins.
    void restoreCopy()
    {
        m_objects = m_copy.objects;
        m_revision = m_copy.revision;
        m_snapshot.reset();
        compact();
        ++m_era;
    }

    std::size_t size() const { return m_objects.size(); }
    std::uint64_t revision() const { return m_revision; }
    /// Rises by one with each restored copy.
    std::uint64_t era() const { return m_era; }

private:
    using Objects = std::map<std::string, Json>;
    static constexpr std::size_t MaxHistory = 4096;

    struct Copy
    {
        Objects objects;
        std::uint64_t revision = 0;
    };

    const Objects &visibleObjects() const { return m_snapshot ? *m_snapshot : m_objects; }

    std::uint64_t versionOf(Objects::const_iterator object) const
    {
        return object == m_objects.end()
                       ? 0
                       : object->second["metadata"]["revision"].get<std::uint64_t>();
    }

    Json newObject(const std::string &name) const
    {
        return {{"metadata",
                 {{"name", name.substr(name.find('/') + 1)},
                  {"revision", 0},
                  {"createdAt", m_revision + 1},
                  {"finalizers", Json::array()},
                  {"deletionPending", false}}},
                {"spec", nullptr},
                {"status", nullptr}};
    }

    std::uint64_t store(const std::string &name, Json object)
    {
        object["metadata"]["revision"] = ++m_revision;
        record({m_revision, name, object, false});
        m_objects[name] = std::move(object);
        return m_revision;
    }

    void erase(const std::string &name)
    {
        record({++m_revision, name, m_objects[name], true});
        m_objects.erase(name);
    }

    void record(Event event)
    {
        m_history.push_back(std::move(event));
        if (m_history.size() <= MaxHistory)
            return;
        m_historyStart = m_history.front().revision;
        m_history.pop_front();
    }

    Objects m_objects;
    std::optional<Objects> m_snapshot;
    Copy m_copy;
    std::deque<Event> m_history;
    std::uint64_t m_historyStart = 0; ///< events up to this revision were dropped
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 1;
};

} // namespace berylspur::standin
