// The process of a backend server host: connects the tasks and carries their messages.
#pragma once

#include "berylspur/core/ids.h"
#include "berylspur/core/result.h"
#include "berylspur/settings.pb.h"

#include <memory>
#include <string>

namespace berylspur {

class Node
{
public:
    /// \a settingsFile is read again on SIGHUP and when it changes; empty: never.
    explicit Node(schema::NodeSettings settings, std::string settingsFile = {});
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Binds all addresses. Fails with AddressUnusable; then nothing was started.
    Result<void> start();
    /// Runs until a planned stop ended. SIGTERM and SIGINT begin one; a second signal ends it at
    /// once.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
