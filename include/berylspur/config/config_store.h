// Configuration in force: for each service the highest revision that this node has received.
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

/// Invariant: the revision of a service never decreases. A deletion has a revision of its own.
class ConfigStore
{
public:
    /// Applies the newer revisions in \a delta and returns the services that changed. Lower
    /// revisions are counted and ignored.
    std::vector<const schema::ServiceConfig *> merge(const schema::ConfigDelta &delta);

    /// All services with a revision higher than \a revision.
    schema::ConfigDelta deltaSince(std::uint64_t revision) const;

    /// Revision up to which this node has the complete configuration.
    std::uint64_t revision() const;
    const schema::ServiceConfig *find(const std::string &service) const;
    std::vector<const schema::ServiceConfig *> all() const;
    /// Number of services and manifest heads that were ignored because they were older.
    std::uint64_t ignoredOlder() const;
    /// Memory used by the configuration, in bytes.
    std::size_t bytes() const;

    /// Entries of \a head that are newer than the configuration in force and have to be fetched. A
    /// head older than the configuration in force is counted and ignored, because the platform may
    /// serve old data.
    std::vector<schema::ManifestHead::Entry> newerEntries(const schema::ManifestHead &head);

    /// Delta that turns the stored configuration into \a complete: services whose content differs
    /// and deletions of missing services, all with the revision of \a complete.
    schema::ConfigDelta difference(const schema::ConfigDelta &complete) const;

private:
    /// Includes tombstones of deleted services, without which an older revision could restore them.
    std::map<std::string, schema::ServiceConfig> m_services;
    std::uint64_t m_revision = 0;
    std::uint64_t m_ignoredOlder = 0;
};

} // namespace berylspur
