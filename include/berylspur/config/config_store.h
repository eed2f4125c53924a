// Configuration in force: for each service and customer shard the highest revision that this node
// has received.
#pragma once

#include "berylspur/core/result.h"
#include "berylspur/customers/customer_table.h"
#include "berylspur/manifest.pb.h"
#include "berylspur/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace berylspur {

/// Services and customer shards that changed.
struct ConfigChange
{
    std::vector<const schema::ServiceConfig *> services;
    std::vector<CustomerShardPtr> customerShards;

    bool empty() const { return services.empty() && customerShards.empty(); }
};

/// Invariant: the revision of a service or customer shard never decreases. A deletion has a
/// revision of its own, and so has a shard that lost its last customer.
class ConfigStore
{
public:
    /// Applies the newer revisions in \a delta and returns what changed. Lower revisions are
    /// counted and ignored.
    ConfigChange merge(const schema::ConfigDelta &delta);

    /// All services and customer shards with a revision higher than \a revision.
    schema::ConfigDelta deltaSince(std::uint64_t revision) const;

    /// The same for a node that has the configuration of \a revision and whose services and shards
    /// have the content hashes \a held. If this node never had that revision, it may not know what
    /// has been deleted since; the delta then is complete and replaces the configuration of the
    /// other node, which applies it with difference(). Only for configurations whose services get
    /// their revisions from difference().
    schema::ConfigDelta deltaFor(std::uint64_t revision,
                                 const std::unordered_set<std::uint64_t> &held) const;
    /// Hashes of the content of all services and shards in force, without their revisions.
    std::vector<std::uint64_t> contentHashes() const;

    /// Revision up to which this node has the complete configuration.
    std::uint64_t revision() const;
    const schema::ServiceConfig *find(const std::string &service) const;
    /// Customers of the shard \a number; nullptr if it never had any.
    CustomerShardPtr findShard(std::uint32_t number) const;
    std::vector<const schema::ServiceConfig *> all() const;
    /// Number of services, customer shards and manifest heads that were ignored because they were
    /// older.
    std::uint64_t ignoredOlder() const;
    /// Memory used by the configuration, in bytes.
    std::size_t bytes() const;

    /// Entries of \a head that are newer than the configuration in force and have to be fetched. A
    /// head older than the configuration in force is counted and ignored, because the platform may
    /// serve old data.
    std::vector<schema::ManifestHead::Entry> newerEntries(const schema::ManifestHead &head);
    /// The same for the customer shards of a \a head that is not older.
    std::vector<schema::ManifestHead::CustomerEntry>
    newerCustomerEntries(const schema::ManifestHead &head) const;

    /// Delta that turns the stored configuration into \a complete: services and customer shards
    /// whose content differs, deletions of missing services, and empty shards in place of missing
    /// ones, all with the revision of \a complete.
    schema::ConfigDelta difference(const schema::ConfigDelta &complete) const;

private:
    /// Number of earlier revisions for which deltaFor() need not be complete.
    static constexpr std::size_t MaxHeldRevisions = 1024;

    struct StoredService
    {
        schema::ServiceConfig config;
        std::uint64_t hash = 0; ///< of the content
    };
    struct StoredShard
    {
        CustomerShardPtr shard;
        std::uint64_t hash = 0;
    };

    schema::ConfigDelta completeDelta(const std::unordered_set<std::uint64_t> &held) const;
    bool mergeService(const schema::ServiceConfig &config);
    bool mergeShard(const schema::CustomerShard &shard);
    void addServiceDifference(const schema::ConfigDelta &complete,
                              schema::ConfigDelta &delta) const;
    void addShardDifference(const schema::ConfigDelta &complete, schema::ConfigDelta &delta) const;

    /// Includes tombstones of deleted services, without which an older revision could restore them.
    std::map<std::string, StoredService> m_services;
    std::map<std::uint32_t, StoredShard> m_shards; ///< includes empty ones, for the same reason
    std::uint64_t m_revision = 0;
    std::deque<std::uint64_t>
            m_heldRevisions; ///< earlier values of m_revision and itself, ascending
    std::uint64_t m_ignoredOlder = 0;
};

} // namespace berylspur
