// Writes manifests to the platform: content objects first, then a conditional update of the head.
#pragma once

#include "berylspur/ctl/platform_session.h"
#include "berylspur/manifest.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylspur {

/// Revisions that the queried nodes have active.
struct ActiveRevisions
{
    std::uint64_t revision = 0; ///< highest of all nodes
    std::map<std::string, std::uint64_t> services; ///< highest of all nodes, by service
};

/// Author and time of a write. Each command generates a new apply id.
struct WriteIdentity
{
    std::string author;
    std::string applyId;
    std::int64_t timeMs = 0;
};

/// The write that won a ManifestConflict against this one, or that replaced this one later. It may
/// come from the same author, since writes differ by apply id.
struct WinningWrite
{
    std::string author;
    std::uint64_t revision = 0;
    std::int64_t timeMs = 0;
};

/// Result of ManifestWriter::apply() or ManifestWriter::drain().
struct WriteOutcome
{
    Error error; ///< Ok if the manifest was accepted
    std::uint64_t revision = 0; ///< of the accepted manifest; the current one if unchanged
    bool isUnchanged = false; ///< the head already has this content; nothing was written
    bool isRecovered = false; ///< a response was lost; the head shows that the write took effect
    std::vector<std::string> changedServices; ///< services that this write adds, changes or deletes
    bool customersChanged = false; ///< this write adds, changes or deletes customers
    /// Endpoints and nodes ("service: name") that the old head drains and this write does not.
    std::vector<std::string> undrained;
    std::optional<WinningWrite> winner; ///< on ManifestConflict, and if this was replaced later
    std::vector<std::string> differingServices; ///< content differs from that of the winner
    bool customersDiffer = false; ///< from those of the winner
};

/// Writes manifests to the platform. Invariants: at most one write of the head takes effect per
/// apply id, and the head refers only to content objects that exist.
class ManifestWriter
{
public:
    static constexpr const char *HeadName = "manifest/head";
    /// Earlier writes listed in the head, which resolve a lost response after further writes.
    static constexpr int MaxEarlierWrites = 32;

    /// \a readPause is the time between reads of the head while the outcome of a write is unknown
    /// and the platform still returns an older head.
    explicit ManifestWriter(PlatformSession &session,
                            Duration readPause = std::chrono::milliseconds(100));

    /// Makes \a manifest, which must be valid, the content of the head. The new revision is one
    /// above those of the head and of \a activeRevisions. Errors:
    /// - ManifestConflict: another write came first; winner and differingServices are set,
    /// - PlatformTimeout: the outcome is unknown; applying the same manifest again is safe,
    /// - PlatformUnreachable or PlatformBadAnswer: nothing took effect.
    WriteOutcome apply(const schema::Manifest &manifest, const ActiveRevisions &activeRevisions,
                       const WriteIdentity &identity);
    /// Adds \a target to the drain list of \a service, or removes it if \a undo is set. Fails as
    /// apply() does, and with CommandUsage if the service does not exist or \a target is malformed.
    WriteOutcome drain(const std::string &service, const std::string &target, bool undo,
                       const ActiveRevisions &activeRevisions, const WriteIdentity &identity);

    /// The head and its object version; NoObject and empty content if no head exists.
    struct Head
    {
        ObjectVersion version;
        schema::ManifestHead content;
    };
    Result<Head> readHead();
    /// The services that \a head names.
    Result<std::vector<schema::Service>> readServices(const schema::ManifestHead &head);

    /// Object name "manifest/services/<service>/<hash>".
    static std::string contentName(const std::string &service, const std::string &hash);
    /// Object name "manifest/customers/<shard>/<hash>".
    static std::string customerContentName(std::uint32_t shard, const std::string &hash);
    /// 128-bit hash of \a content in hexadecimal.
    static std::string contentHash(const std::string &content);

private:
    struct Plan;

    void addService(Plan &plan, const schema::Service &service, const std::string &customerHeader);
    void addDeletions(Plan &plan);
    void addCustomers(Plan &plan, const schema::Manifest &manifest);
    std::vector<std::string> findUndrainedTargets(const Plan &plan);
    WriteOutcome commit(Plan &plan, const WriteIdentity &identity);
    WriteOutcome writeHead(const Plan &plan);
    std::optional<WriteOutcome> findOwnWrite(const Plan &plan, const Head &head) const;
    WriteOutcome conflictOutcome(const Plan &plan, const Head &head) const;
    Result<Head> readHeadAfter(const ObjectVersion &version);

    PlatformSession &m_session;
    Duration m_readPause;
};

} // namespace berylspur
