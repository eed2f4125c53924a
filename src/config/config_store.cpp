// Storage of the configuration in force. The highest revision of each service and customer shard
// wins.
#include "berylspur/config/config_store.h"

#include "berylspur/core/ids.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace berylspur {

namespace {

/// Hash of \a message, a service or customer shard, without its revision.
template <typename Message>
std::uint64_t contentHash(Message message)
{
    message.clear_revision();
    return hash64(message.SerializeAsString());
}

} // namespace

ConfigChange ConfigStore::merge(const schema::ConfigDelta &delta)
{
    ConfigChange changed;
    for (const auto &config : delta.services()) {
        if (mergeService(config))
            changed.services.push_back(find(config.service()));
    }
    for (const auto &shard : delta.customer_shards()) {
        if (mergeShard(shard))
            changed.customerShards.push_back(findShard(shard.number()));
    }
    if (delta.revision() > m_revision) {
        m_revision = delta.revision();
        m_heldRevisions.push_back(m_revision);
        if (m_heldRevisions.size() > MaxHeldRevisions)
            m_heldRevisions.pop_front();
    }
    return changed;
}

bool ConfigStore::mergeService(const schema::ServiceConfig &config)
{
    const auto stored = m_services.find(config.service());
    if (stored != m_services.end() && stored->second.config.revision() >= config.revision()) {
        m_ignoredOlder += config.revision() < stored->second.config.revision() ? 1 : 0;
        return false;
    }
    auto &target = m_services[config.service()];
    target.config = config;
    if (target.config.deleted())
        target.config.clear_content();
    target.hash = contentHash(target.config);
    return true;
}

bool ConfigStore::mergeShard(const schema::CustomerShard &shard)
{
    const auto stored = findShard(shard.number());
    if (stored && stored->revision() >= shard.revision()) {
        m_ignoredOlder += shard.revision() < stored->revision() ? 1 : 0;
        return false;
    }
    m_shards[shard.number()] = {std::make_shared<const schema::CustomerShard>(shard),
                                contentHash(shard)};
    return true;
}

schema::ConfigDelta ConfigStore::deltaSince(std::uint64_t revision) const
{
    schema::ConfigDelta delta;
    delta.set_revision(m_revision);
    for (const auto &[name, stored] : m_services) {
        if (stored.config.revision() > revision)
            *delta.add_services() = stored.config;
    }
    for (const auto &[number, stored] : m_shards) {
        if (stored.shard->revision() > revision)
            *delta.add_customer_shards() = *stored.shard;
    }
    return delta;
}

schema::ConfigDelta ConfigStore::deltaFor(std::uint64_t revision,
                                          const std::unordered_set<std::uint64_t> &held) const
{
    // A node that is ahead learns nothing from an older configuration.
    const bool isKnown =
            revision == 0 || revision >= m_revision
            || std::binary_search(m_heldRevisions.begin(), m_heldRevisions.end(), revision);
    return isKnown ? deltaSince(revision) : completeDelta(held);
}

schema::ConfigDelta ConfigStore::completeDelta(const std::unordered_set<std::uint64_t> &held) const
{
    schema::ConfigDelta delta;
    delta.set_revision(m_revision);
    delta.set_complete(true);
    for (const auto &[name, stored] : m_services) {
        if (stored.config.deleted())
            continue;
        auto &added = *delta.add_services();
        if (!held.contains(stored.hash)) {
            added = stored.config;
            continue;
        }
        added.set_service(name);
        added.set_unchanged(true);
    }
    for (const auto &[number, stored] : m_shards) {
        if (stored.shard->customers().empty())
            continue;
        auto &added = *delta.add_customer_shards();
        if (!held.contains(stored.hash)) {
            added = *stored.shard;
            continue;
        }
        added.set_number(number);
        added.set_unchanged(true);
    }
    return delta;
}

std::vector<std::uint64_t> ConfigStore::contentHashes() const
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(m_services.size() + m_shards.size());
    for (const auto &[name, stored] : m_services)
        hashes.push_back(stored.hash);
    for (const auto &[number, stored] : m_shards)
        hashes.push_back(stored.hash);
    return hashes;
}

std::uint64_t ConfigStore::revision() const
{
    return m_revision;
}

const schema::ServiceConfig *ConfigStore::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.config;
}

CustomerShardPtr ConfigStore::findShard(std::uint32_t number) const
{
    const auto found = m_shards.find(number);
    return found == m_shards.end() ? nullptr : found->second.shard;
}

std::vector<const schema::ServiceConfig *> ConfigStore::all() const
{
    std::vector<const schema::ServiceConfig *> configs;
    configs.reserve(m_services.size());
    for (const auto &[name, stored] : m_services)
        configs.push_back(&stored.config);
    return configs;
}

std::uint64_t ConfigStore::ignoredOlder() const
{
    return m_ignoredOlder;
}

std::size_t ConfigStore::bytes() const
{
    std::size_t bytes = 0;
    for (const auto &[name, stored] : m_services)
        bytes += sizeof(std::string) + name.capacity() + stored.config.SpaceUsedLong();
    for (const auto &[number, stored] : m_shards)
        bytes += stored.shard->SpaceUsedLong();
    return bytes;
}

schema::ConfigDelta ConfigStore::difference(const schema::ConfigDelta &complete) const
{
    schema::ConfigDelta delta;
    delta.set_revision(complete.revision());
    addServiceDifference(complete, delta);
    addShardDifference(complete, delta);
    return delta;
}

void ConfigStore::addServiceDifference(const schema::ConfigDelta &complete,
                                       schema::ConfigDelta &delta) const
{
    const auto isSame = [](const schema::ServiceConfig &left, const schema::ServiceConfig &right) {
        return !left.deleted() && left.customer_header() == right.customer_header()
               && left.content().SerializeAsString() == right.content().SerializeAsString()
               && left.caller_bounds().SerializeAsString()
                          == right.caller_bounds().SerializeAsString();
    };
    std::set<std::string_view> present;
    for (const auto &config : complete.services()) {
        present.insert(config.service());
        const auto *stored = find(config.service());
        if (config.unchanged() || (stored && isSame(*stored, config)))
            continue;
        auto &changed = *delta.add_services();
        changed = config;
        changed.set_revision(complete.revision());
    }
    for (const auto &[name, stored] : m_services) {
        if (stored.config.deleted() || present.contains(name))
            continue;
        auto &gone = *delta.add_services();
        gone.set_service(name);
        gone.set_revision(complete.revision());
        gone.set_deleted(true);
    }
}

void ConfigStore::addShardDifference(const schema::ConfigDelta &complete,
                                     schema::ConfigDelta &delta) const
{
    const auto isSame = [](const schema::CustomerShard &left, const schema::CustomerShard &right) {
        const auto &customers = right.customers();
        return std::equal(left.customers().begin(), left.customers().end(), customers.begin(),
                          customers.end(), [](const auto &a, const auto &b) {
                              return a.SerializeAsString() == b.SerializeAsString();
                          });
    };
    std::set<std::uint32_t> present;
    for (const auto &shard : complete.customer_shards()) {
        present.insert(shard.number());
        const auto stored = findShard(shard.number());
        if (shard.unchanged() || (stored && isSame(*stored, shard)))
            continue;
        auto &changed = *delta.add_customer_shards();
        changed = shard;
        changed.set_revision(complete.revision());
    }
    for (const auto &[number, stored] : m_shards) {
        if (stored.shard->customers().empty() || present.contains(number))
            continue;
        auto &emptied = *delta.add_customer_shards();
        emptied.set_number(number);
        emptied.set_revision(complete.revision());
    }
}

std::vector<schema::ManifestHead::Entry> ConfigStore::newerEntries(const schema::ManifestHead &head)
{
    if (head.revision() < m_revision) {
        ++m_ignoredOlder;
        return {};
    }
    std::vector<schema::ManifestHead::Entry> entries;
    for (const auto &entry : head.entries()) {
        const auto *config = find(entry.service());
        if (!config || config->revision() < entry.revision())
            entries.push_back(entry);
    }
    return entries;
}

std::vector<schema::ManifestHead::CustomerEntry>
ConfigStore::newerCustomerEntries(const schema::ManifestHead &head) const
{
    std::vector<schema::ManifestHead::CustomerEntry> entries;
    for (const auto &entry : head.customer_entries()) {
        const auto shard = findShard(entry.shard());
        if (!shard || shard->revision() < entry.revision())
            entries.push_back(entry);
    }
    return entries;
}

} // namespace berylspur
