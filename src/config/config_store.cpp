// Storage of the configuration in force. The highest revision of each service wins.
#include "berylspur/config/config_store.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace berylspur {

std::vector<const schema::ServiceConfig *> ConfigStore::merge(const schema::ConfigDelta &delta)
{
    std::vector<const schema::ServiceConfig *> changed;
    for (const auto &config : delta.services()) {
        const auto stored = m_services.find(config.service());
        if (stored != m_services.end() && stored->second.revision() >= config.revision()) {
            m_ignoredOlder += config.revision() < stored->second.revision() ? 1 : 0;
            continue;
        }
        schema::ServiceConfig &target = m_services[config.service()];
        target = config;
        if (target.deleted())
            target.clear_content();
        changed.push_back(&target);
    }
    m_revision = std::max(m_revision, delta.revision());
    return changed;
}

schema::ConfigDelta ConfigStore::deltaSince(std::uint64_t revision) const
{
    schema::ConfigDelta delta;
    delta.set_revision(m_revision);
    for (const auto &[name, config] : m_services) {
        if (config.revision() > revision)
            *delta.add_services() = config;
    }
    return delta;
}

std::uint64_t ConfigStore::revision() const
{
    return m_revision;
}

const schema::ServiceConfig *ConfigStore::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

std::vector<const schema::ServiceConfig *> ConfigStore::all() const
{
    std::vector<const schema::ServiceConfig *> configs;
    configs.reserve(m_services.size());
    for (const auto &[name, config] : m_services)
        configs.push_back(&config);
    return configs;
}

std::uint64_t ConfigStore::ignoredOlder() const
{
    return m_ignoredOlder;
}

std::size_t ConfigStore::bytes() const
{
    std::size_t bytes = 0;
    for (const auto &[name, config] : m_services)
        bytes += sizeof(std::string) + name.capacity() + config.SpaceUsedLong();
    return bytes;
}

schema::ConfigDelta ConfigStore::difference(const schema::ConfigDelta &complete) const
{
    const auto isSame = [](const schema::ServiceConfig &left, const schema::ServiceConfig &right) {
        return !left.deleted() && left.customer_header() == right.customer_header()
               && left.content().SerializeAsString() == right.content().SerializeAsString()
               && left.caller_bounds().SerializeAsString()
                          == right.caller_bounds().SerializeAsString();
    };
    schema::ConfigDelta delta;
    delta.set_revision(complete.revision());
    std::set<std::string_view> present;
    for (const auto &config : complete.services()) {
        present.insert(config.service());
        const auto *stored = find(config.service());
        if (stored && isSame(*stored, config))
            continue;
        auto &changed = *delta.add_services();
        changed = config;
        changed.set_revision(complete.revision());
    }
    for (const auto &[name, config] : m_services) {
        if (config.deleted() || present.contains(name))
            continue;
        auto &gone = *delta.add_services();
        gone.set_service(name);
        gone.set_revision(complete.revision());
        gone.set_deleted(true);
    }
    return delta;
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

} // namespace berylspur
