// Builds the next manifest head, writes content objects and head, and determines whether a write
// with a lost response took effect.
#include "berylspur/ctl/manifest_writer.h"

#include "berylspur/core/ids.h"
#include "berylspur/customers/customer_table.h"
#include "berylspur/options.pb.h"

#include <algorithm>
#include <iomanip>
#include <regex>
#include <set>
#include <sstream>

namespace berylspur {

namespace {

using Entry = schema::ManifestHead::Entry;
using CustomerEntry = schema::ManifestHead::CustomerEntry;

constexpr std::size_t MaxHeadBytes = 1000000;
constexpr int MaxWriteAttempts = 3;
constexpr int MaxReadAttempts = 10;

std::map<std::string, Entry> entriesByService(const schema::ManifestHead &head)
{
    std::map<std::string, Entry> entries;
    for (const auto &entry : head.entries())
        entries[entry.service()] = entry;
    return entries;
}

/// Services whose content differs between two heads. A deleted service equals an absent one.
std::vector<std::string> servicesWithDifferentContent(const schema::ManifestHead &left,
                                                      const schema::ManifestHead &right)
{
    const auto leftEntries = entriesByService(left);
    const auto rightEntries = entriesByService(right);
    const auto hashOf = [](const std::map<std::string, Entry> &entries, const std::string &name) {
        const auto found = entries.find(name);
        return found == entries.end() ? std::string() : found->second.hash();
    };
    std::set<std::string> names;
    for (const auto &[name, entry] : leftEntries)
        names.insert(name);
    for (const auto &[name, entry] : rightEntries)
        names.insert(name);
    std::vector<std::string> found;
    for (const auto &name : names) {
        if (hashOf(leftEntries, name) != hashOf(rightEntries, name))
            found.push_back(name);
    }
    return found;
}

std::map<std::uint32_t, CustomerEntry> customerEntries(const schema::ManifestHead &head)
{
    std::map<std::uint32_t, CustomerEntry> entries;
    for (const auto &entry : head.customer_entries())
        entries[entry.shard()] = entry;
    return entries;
}

/// True if the customers of two heads differ. An empty shard equals an absent one.
bool haveDifferentCustomers(const schema::ManifestHead &left, const schema::ManifestHead &right)
{
    const auto hashes = [](const schema::ManifestHead &head) {
        std::map<std::uint32_t, std::string> found;
        for (const auto &entry : head.customer_entries()) {
            if (!entry.hash().empty())
                found[entry.shard()] = entry.hash();
        }
        return found;
    };
    return hashes(left) != hashes(right);
}

bool isDrainTarget(const std::string &target)
{
    const auto *field = schema::Service::descriptor()->FindFieldByName("drain");
    const std::regex pattern(field->options().GetExtension(schema::rule).pattern());
    // No valid target is this long, and std::regex recurses once per character.
    constexpr std::size_t MaxLength = 128;
    return target.size() <= MaxLength && std::regex_match(target, pattern);
}

/// Outcome of a command that failed at a read. A read has no side effect, so its timeout is
/// reported as PlatformUnreachable and not as an unknown outcome.
WriteOutcome readFailure(Error error)
{
    if (error.code == ErrorCode::PlatformTimeout)
        error.code = ErrorCode::PlatformUnreachable;
    WriteOutcome outcome;
    outcome.error = std::move(error);
    return outcome;
}

WriteOutcome failedOutcome(ErrorCode code, std::string detail)
{
    WriteOutcome outcome;
    outcome.error = {code, std::move(detail)};
    return outcome;
}

} // namespace

/// A write of the head in preparation.
struct ManifestWriter::Plan
{
    Head base; ///< head that this write replaces
    schema::ManifestHead next;
    std::map<std::string, Entry> entries; ///< entries of the next head, by service
    std::map<std::uint32_t, CustomerEntry> customers; ///< entries of the next head, by shard
    std::vector<PlatformObject> contents; ///< content of services to write before the head
    std::vector<PlatformObject> customerContents; ///< the same for customers
    std::vector<std::string> changedServices;
    bool customersChanged = false;
    /// True if a node has a higher revision than the current head, which means that the platform
    /// lost data. All entries then get the new revision so that nodes accept every one of them.
    bool bumpAllRevisions = false;
    ActiveRevisions activeRevisions;
};

ManifestWriter::ManifestWriter(PlatformSession &session, Duration readPause)
    : m_session(session), m_readPause(readPause)
{
}

std::string ManifestWriter::contentName(const std::string &service, const std::string &hash)
{
    return "manifest/services/" + service + "/" + hash;
}

std::string ManifestWriter::customerContentName(std::uint32_t shard, const std::string &hash)
{
    return "manifest/customers/" + std::to_string(shard) + "/" + hash;
}

std::string ManifestWriter::contentHash(const std::string &content)
{
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(16) << hash64(content) << std::setw(16)
         << hash64(content, 1);
    return text.str();
}

Result<ManifestWriter::Head> ManifestWriter::readHead()
{
    const auto object = m_session.read(HeadName);
    if (!object && object.error().code == ErrorCode::PlatformNotFound)
        return Head {};
    if (!object)
        return object.as_failure();
    Head head;
    head.version = object.value().version;
    if (!head.content.ParseFromString(object.value().value))
        return failure(ErrorCode::PlatformBadAnswer, std::string(HeadName) + " is malformed");
    return head;
}

Result<std::vector<schema::Service>> ManifestWriter::readServices(const schema::ManifestHead &head)
{
    std::vector<std::string> names;
    for (const auto &entry : head.entries()) {
        if (!entry.hash().empty())
            names.push_back(contentName(entry.service(), entry.hash()));
    }
    std::vector<schema::Service> services;
    for (const auto &object : m_session.readAll(names)) {
        if (!object)
            return object.as_failure();
        if (!services.emplace_back().ParseFromString(object.value().value))
            return failure(ErrorCode::PlatformBadAnswer, "a service is malformed");
    }
    return services;
}

void ManifestWriter::addService(Plan &plan, const schema::Service &service,
                                const std::string &customerHeader)
{
    const auto content = service.SerializeAsString();
    Entry entry;
    entry.set_service(service.name());
    entry.set_hash(contentHash(content));
    entry.set_revision(plan.next.revision());
    const auto old = plan.entries.find(service.name());
    const bool sameContent = old != plan.entries.end() && old->second.hash() == entry.hash();
    // Nodes store the header with each service, so a new header changes every service.
    const bool sameHeader = plan.base.content.customer_header() == customerHeader;
    if (sameContent && sameHeader && !plan.bumpAllRevisions)
        return;
    if (!sameContent || plan.bumpAllRevisions)
        plan.contents.push_back({contentName(service.name(), entry.hash()), NoObject, content});
    plan.changedServices.push_back(service.name());
    plan.entries[service.name()] = entry;
}

void ManifestWriter::addDeletions(Plan &plan)
{
    std::set<std::string> kept;
    for (const auto &entry : plan.next.entries())
        kept.insert(entry.service());
    std::set<std::string> deletedServices;
    for (const auto &[name, entry] : plan.entries) {
        if (!kept.contains(name) && (!entry.hash().empty() || plan.bumpAllRevisions))
            deletedServices.insert(name);
    }
    // After data loss, nodes may still run services that the platform no longer lists.
    if (plan.bumpAllRevisions) {
        for (const auto &[name, revision] : plan.activeRevisions.services) {
            if (!kept.contains(name))
                deletedServices.insert(name);
        }
    }
    for (const auto &name : deletedServices) {
        Entry tombstone;
        tombstone.set_service(name);
        tombstone.set_revision(plan.next.revision());
        plan.entries[name] = tombstone;
        plan.changedServices.push_back(name);
    }
}

void ManifestWriter::addCustomers(Plan &plan, const schema::Manifest &manifest)
{
    std::map<std::uint32_t, std::string> contents;
    for (const auto &shard :
         shardCustomers({manifest.customers().begin(), manifest.customers().end()}))
        contents[shard.number()] = shard.SerializeAsString();
    for (std::uint32_t number = 0; number < CustomerShards; ++number) {
        const auto content = contents.find(number);
        const bool isEmpty = content == contents.end();
        const auto old = plan.customers.find(number);
        const bool wasEmpty = old == plan.customers.end() || old->second.hash().empty();
        CustomerEntry entry;
        entry.set_shard(number);
        entry.set_hash(isEmpty ? std::string() : contentHash(content->second));
        entry.set_revision(plan.next.revision());
        const bool isSame = isEmpty ? wasEmpty : !wasEmpty && old->second.hash() == entry.hash();
        // After data loss, nodes may hold shards that the platform no longer lists, so that empty
        // ones are listed too.
        if (isSame && !plan.bumpAllRevisions)
            continue;
        if (!isEmpty)
            plan.customerContents.push_back(
                    {customerContentName(number, entry.hash()), NoObject, content->second});
        plan.customersChanged = true;
        plan.customers[number] = entry;
    }
}

WriteOutcome ManifestWriter::apply(const schema::Manifest &manifest,
                                   const ActiveRevisions &activeRevisions,
                                   const WriteIdentity &identity)
{
    auto head = readHead();
    if (!head)
        return readFailure(head.error());
    Plan plan;
    plan.base = std::move(head.value());
    plan.activeRevisions = activeRevisions;
    plan.entries = entriesByService(plan.base.content);
    plan.customers = customerEntries(plan.base.content);
    plan.bumpAllRevisions = activeRevisions.revision > plan.base.content.revision();
    plan.next.set_revision(std::max(plan.base.content.revision(), activeRevisions.revision) + 1);
    plan.next.set_customer_header(manifest.customer_header());
    for (const auto &service : manifest.services()) {
        addService(plan, service, manifest.customer_header());
        plan.next.add_entries()->set_service(service.name());
    }
    addDeletions(plan);
    addCustomers(plan, manifest);
    if (plan.changedServices.empty() && !plan.customersChanged && plan.base.version != NoObject) {
        WriteOutcome outcome;
        outcome.revision = plan.base.content.revision();
        outcome.isUnchanged = true;
        return outcome;
    }
    auto undrainedTargets = findUndrainedTargets(plan);
    auto outcome = commit(plan, identity);
    outcome.undrained = std::move(undrainedTargets);
    return outcome;
}

WriteOutcome ManifestWriter::drain(const std::string &service, const std::string &target, bool undo,
                                   const ActiveRevisions &activeRevisions,
                                   const WriteIdentity &identity)
{
    if (!isDrainTarget(target))
        return failedOutcome(ErrorCode::CommandUsage,
                             target + " is not an endpoint id or node name");
    auto head = readHead();
    if (!head)
        return readFailure(head.error());
    Plan plan;
    plan.base = std::move(head.value());
    plan.entries = entriesByService(plan.base.content);
    plan.customers = customerEntries(plan.base.content);
    if (activeRevisions.revision > plan.base.content.revision())
        return failedOutcome(ErrorCode::PlatformOlderData,
                             "nodes run revision " + std::to_string(activeRevisions.revision)
                                     + " and the platform has "
                                     + std::to_string(plan.base.content.revision())
                                     + "; apply the manifest first");
    const auto entry = plan.entries.find(service);
    if (entry == plan.entries.end() || entry->second.hash().empty())
        return failedOutcome(ErrorCode::CommandUsage, "no service " + service + " in the manifest");
    const auto object = m_session.read(contentName(service, entry->second.hash()));
    schema::Service content;
    if (!object || !content.ParseFromString(object.value().value))
        return readFailure(object ? Error {ErrorCode::PlatformBadAnswer, service} : object.error());

    auto &list = *content.mutable_drain();
    const auto listed = std::find(list.begin(), list.end(), target);
    if ((listed == list.end()) == undo) {
        WriteOutcome outcome;
        outcome.revision = plan.base.content.revision();
        outcome.isUnchanged = true;
        return outcome;
    }
    if (undo)
        list.erase(listed);
    else
        *list.Add() = target;
    plan.next.set_revision(plan.base.content.revision() + 1);
    plan.next.set_customer_header(plan.base.content.customer_header());
    addService(plan, content, plan.next.customer_header());
    return commit(plan, identity);
}

std::vector<std::string> ManifestWriter::findUndrainedTargets(const Plan &plan)
{
    std::map<std::string, std::set<std::string>> kept;
    for (const auto &object : plan.contents) {
        schema::Service content;
        content.ParseFromString(object.value);
        kept[content.name()] = {content.drain().begin(), content.drain().end()};
    }
    std::vector<std::string> names;
    for (const auto &[name, entry] : entriesByService(plan.base.content)) {
        if (kept.contains(name) && !entry.hash().empty())
            names.push_back(contentName(name, entry.hash()));
    }
    std::vector<std::string> undrainedTargets;
    for (const auto &object : m_session.readAll(names)) {
        schema::Service content;
        if (!object || !content.ParseFromString(object.value().value))
            continue;
        for (const auto &target : content.drain()) {
            if (!kept[content.name()].contains(target))
                undrainedTargets.push_back(content.name() + ": " + target);
        }
    }
    return undrainedTargets;
}

WriteOutcome ManifestWriter::commit(Plan &plan, const WriteIdentity &identity)
{
    const auto &base = plan.base.content;
    auto &next = plan.next;
    next.set_author(identity.author);
    next.set_apply_id(identity.applyId);
    next.set_time_ms(identity.timeMs);
    next.clear_entries();
    for (const auto &[name, entry] : plan.entries)
        *next.add_entries() = entry;
    next.clear_customer_entries();
    for (const auto &[number, entry] : plan.customers)
        *next.add_customer_entries() = entry;
    if (!base.apply_id().empty()) {
        auto &last = *next.add_earlier();
        last.set_revision(base.revision());
        last.set_apply_id(base.apply_id());
    }
    for (int i = 0; i < base.earlier_size() && next.earlier_size() < MaxEarlierWrites; ++i)
        *next.add_earlier() = base.earlier(i);
    if (next.ByteSizeLong() > MaxHeadBytes)
        return failedOutcome(
                ErrorCode::ManifestInvalid,
                "too many services: the head exceeds the size limit of a platform object");
    for (const auto *contents : {&plan.contents, &plan.customerContents}) {
        if (auto created = m_session.createAll(*contents); !created)
            return readFailure(created.error());
    }
    auto outcome = writeHead(plan);
    outcome.changedServices = plan.changedServices;
    outcome.customersChanged = plan.customersChanged;
    return outcome;
}

WriteOutcome ManifestWriter::writeHead(const Plan &plan)
{
    const auto value = plan.next.SerializeAsString();
    bool isUnknown = false;
    Error last;
    for (int i = 0; i < MaxWriteAttempts; ++i) {
        const auto written = m_session.write(HeadName, value, plan.base.version);
        if (written) {
            WriteOutcome outcome;
            outcome.revision = plan.next.revision();
            return outcome;
        }
        last = written.error();
        if (last.code == ErrorCode::PlatformUnreachable && !isUnknown)
            return failedOutcome(last.code, last.detail);
        const bool isConflict = last.code == ErrorCode::PlatformConflict;
        isUnknown = isUnknown || !isConflict;
        const auto head = readHeadAfter(plan.base.version);
        // While the head still has the version that the write expects, repeating the write is safe:
        // the version check lets at most one of the two take effect.
        if (!head || head.value().version == plan.base.version)
            continue;
        if (auto own = findOwnWrite(plan, head.value())) {
            own->isRecovered = true;
            return *own;
        }
        return conflictOutcome(plan, head.value());
    }
    if (isUnknown)
        return failedOutcome(ErrorCode::PlatformTimeout,
                             "the outcome is unknown (" + last.detail
                                     + "); apply the same manifest again");
    return failedOutcome(ErrorCode::ManifestConflict, "the platform still returns the old head");
}

/// Reads the head until it is newer than \a version; returns the last result if it never is.
Result<ManifestWriter::Head> ManifestWriter::readHeadAfter(const ObjectVersion &version)
{
    auto head = readHead();
    for (int i = 1; i < MaxReadAttempts && (!head || !head.value().version.isNewerThan(version));
         ++i) {
        m_session.sleep(m_readPause);
        head = readHead();
    }
    return head;
}

std::optional<WriteOutcome> ManifestWriter::findOwnWrite(const Plan &plan, const Head &head) const
{
    const auto &id = plan.next.apply_id();
    WriteOutcome outcome;
    outcome.revision = plan.next.revision();
    if (head.content.apply_id() == id)
        return outcome;
    const auto &earlier = head.content.earlier();
    if (std::none_of(earlier.begin(), earlier.end(),
                     [&id](const auto &applied) { return applied.apply_id() == id; }))
        return std::nullopt;
    outcome.winner = {head.content.author(), head.content.revision(), head.content.time_ms()};
    outcome.differingServices = servicesWithDifferentContent(plan.next, head.content);
    outcome.customersDiffer = haveDifferentCustomers(plan.next, head.content);
    return outcome;
}

WriteOutcome ManifestWriter::conflictOutcome(const Plan &plan, const Head &head) const
{
    auto outcome = failedOutcome(ErrorCode::ManifestConflict,
                                 "revision " + std::to_string(head.content.revision()) + " by "
                                         + head.content.author() + " was accepted first");
    outcome.revision = head.content.revision();
    outcome.winner = {head.content.author(), head.content.revision(), head.content.time_ms()};
    outcome.differingServices = servicesWithDifferentContent(plan.next, head.content);
    outcome.customersDiffer = haveDifferentCustomers(plan.next, head.content);
    return outcome;
}

} // namespace berylspur
