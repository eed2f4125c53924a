// Node process of a backend server host: creates the tasks and connects them.
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
    /// \a settingsFile is reloaded on SIGHUP and when it changes; never if empty.
    explicit Node(schema::NodeSettings settings, std::string settingsFile = {});
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Binds all addresses and starts the tasks. Fails with AddressUnusable; then nothing runs.
    Result<void> start();
    /// Runs until a planned stop is complete. SIGTERM and SIGINT begin one; a second signal ends
    /// the process immediately.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
