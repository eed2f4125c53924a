// Configuration in force: per service the highest revision ever seen by this node.
#pragma once

#include "berylspur/core/result.h"
#include "berylspur/manifest.pb.h"
#include "berylspur/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylspur {

/// Invariant: the revision of a service never falls; a deletion is a revision too.
class ConfigStore
{
public:
    /// Takes what is newer in \a delta; returns the services that changed. Lower revisions are
    /// counted and ignored.
    std::vector<const schema::ServiceConfig *> merge(const schema::ConfigDelta &delta);

    /// All services with a revision above \a revision.
    schema::ConfigDelta newerThan(std::uint64_t revision) const;

    /// Highest revision up to which this node has everything.
    std::uint64_t revision() const;
    const schema::ServiceConfig *find(const std::string &service) const;
    std::vector<const schema::ServiceConfig *> all() const;
    /// Deltas, services and heads of the platform that were ignored as older.
    std::uint64_t ignoredOlder() const;
    /// Bytes that the configuration takes in memory.
    std::size_t bytes() const;

    /// Entries of \a head that are newer here than in force, to be fetched. Counts and ignores a
    /// head older than the configuration in force: the platform may serve old data.
    std::vector<schema::ManifestHead::Entry> missing(const schema::ManifestHead &head);

    /// What \a whole, a complete configuration, changes: services whose content differs, and
    /// deletions of those it lacks, all with its revision.
    schema::ConfigDelta difference(const schema::ConfigDelta &whole) const;

private:
    /// Tombstones stay: a forgotten deletion would let an older revision return.
    std::map<std::string, schema::ServiceConfig> m_services;
    std::uint64_t m_revision = 0;
    std::uint64_t m_ignoredOlder = 0;
};

} // namespace berylspur
