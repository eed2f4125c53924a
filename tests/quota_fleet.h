// Model of a fleet for customer quotas: each node is a gate and a home. Messages are delayed, lost,
// doubled and late; nodes are killed, paused and separated, and their views of the fleet differ.
#pragma once

#include "berylspur/limits/quota_client.h"
#include "berylspur/limits/quota_home.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace berylspur::test {

using namespace std::chrono_literals;

struct QuotaCustomer
{
    std::string name;
    RateLimit limit;
    double demand = 0; ///< requests/s over all gates
    double skew = 0; ///< share of the requests that arrive at the first three gates
};

struct QuotaSetup
{
    std::size_t nodes = 3;
    std::vector<QuotaCustomer> customers;
    double loss = 0; ///< probability that a message is lost, in each direction
    double doubled = 0; ///< probability that a request arrives twice
    double late = 0; ///< probability that a message takes up to 4 s
    Duration longestDelay = 5ms; ///< one way, of the other messages
    Duration detection = 2s; ///< longest time until a view follows a change
};

/// Token bucket of the whole limit, as a single process would have it.
class IdealBucket
{
public:
    IdealBucket(const RateLimit &limit, double extra)
        : m_rate(limit.rate), m_capacity(limit.burst + extra), m_level(m_capacity)
    {
    }
    bool take(TimePoint now)
    {
        m_level = std::min(m_level + m_rate * std::chrono::duration<double>(now - m_at).count(),
                           m_capacity);
        m_at = now;
        if (m_level < 1)
            return false;
        --m_level;
        return true;
    }

private:
    double m_rate;
    double m_capacity;
    double m_level;
    TimePoint m_at;
};

class QuotaFleet
{
public:
    static constexpr double ExtraBurst = 10;
    static constexpr Duration Window = 5s;

    struct Totals
    {
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        std::uint64_t idealRefused = 0;
        double worst = 0; ///< largest number in a window, as a share of what is allowed
        double worstOfProof = 0; ///< the same, of the bound in docs/proofs.md
        Duration longestWait {};
    };

    QuotaFleet(QuotaSetup setup, std::uint64_t seed) : m_setup(std::move(setup)), m_random(seed)
    {
        for (const auto &customer : m_setup.customers) {
            m_customers.push_back({customer, {}, {}, IdealBucket(customer.limit, ExtraBurst)});
            m_limits[customer.name] = customer.limit;
        }
        m_nodes.resize(m_setup.nodes);
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            m_nodes[i].name = "node-" + std::to_string(i);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            restart(i);
            tick(i, Duration(static_cast<std::int64_t>(uniform() * 1e5)));
        }
    }

    void startRequests()
    {
        for (std::size_t i = 0; i < m_customers.size(); ++i)
            arrive(i);
    }
    void run(Duration time)
    {
        const auto end = m_now + time;
        while (!m_events.empty() && m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = end;
    }

    TimePoint now() const { return m_now; }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::size_t pickNode() { return static_cast<std::size_t>(uniform() * m_nodes.size()); }
    const Totals &totals(std::size_t customer) const { return m_customers[customer].totals; }
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }

    /// Counts from now on.
    void resetTotals()
    {
        for (auto &customer : m_customers)
            customer.totals = {};
    }
    /// Replaces the limit of a customer at all homes, and forgets what was admitted before.
    void setLimit(std::size_t customer, const RateLimit &limit)
    {
        m_customers[customer].setup.limit = limit;
        m_limits[m_customers[customer].setup.name] = limit;
    }
    void forgetAdmitted()
    {
        for (auto &customer : m_customers)
            customer.admitted.clear();
    }
    void split(std::size_t sides)
    {
        for (auto &node : m_nodes)
            node.side = static_cast<std::size_t>(uniform() * sides);
        changeViews();
    }
    void kill(std::size_t node, Duration downTime)
    {
        m_nodes[node].isAlive = false;
        ++m_nodes[node].incarnation;
        m_nodes[node].waiting.clear();
        changeViews();
        after(downTime, [this, node] {
            restart(node);
            changeViews();
        });
    }
    void pause(std::size_t node, Duration time) { m_nodes[node].pausedUntil = m_now + time; }
    /// Each node leaves nodes out of its view at random, so that homes move and views differ.
    void disturbViews()
    {
        for (auto &node : m_nodes) {
            node.ignored.clear();
            if (uniform() < 0.5)
                node.ignored.insert(pickNode());
        }
        changeViews();
    }
    std::size_t homeOf(std::size_t customer) const
    {
        const auto key =
                "customer-quota/" + std::to_string(quotaShard(m_customers[customer].setup.name));
        std::vector<std::string> names;
        for (const auto &node : m_nodes)
            names.push_back(node.name);
        const auto home = rendezvousNode(key, names);
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), home)
                                        - names.begin());
    }
    /// Largest sum of the shares of all homes that any shard had; more than 1 is a fault.
    double largestShareSum() const { return m_largestShareSum; }
    double share(std::size_t node, std::uint32_t shard)
    {
        return m_nodes[node].home->shards(m_now)[shard].share;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct Waiting
    {
        std::size_t customer = 0;
        TimePoint since;
        Duration limit;
    };
    struct NodeState
    {
        std::string name;
        bool isAlive = true;
        Incarnation incarnation = 1;
        TimePoint pausedUntil;
        std::size_t side = 0;
        std::set<std::size_t> ignored;
        std::unique_ptr<QuotaClient> client;
        std::unique_ptr<QuotaHome> home;
        std::deque<Waiting> waiting;
    };
    struct Customer
    {
        QuotaCustomer setup;
        Totals totals;
        std::deque<TimePoint> admitted; ///< in the last window
        IdealBucket ideal;
    };

    void after(Duration wait, std::function<void()> action)
    {
        m_events.push({m_now + wait, m_order++, std::move(action)});
    }
    Duration delay()
    {
        const Duration longest = uniform() < m_setup.late ? Duration(4s) : m_setup.longestDelay;
        return Duration(static_cast<std::int64_t>(uniform() * longest.count()));
    }
    /// Runs \a action at a node, after its pause if it is paused, unless it was killed meanwhile.
    void at(std::size_t index, std::function<void()> action)
    {
        auto &node = m_nodes[index];
        if (!node.isAlive)
            return;
        if (m_now >= node.pausedUntil) {
            action();
            return;
        }
        after(node.pausedUntil - m_now,
              [this, index, process = node.incarnation, action = std::move(action)] {
                  if (m_nodes[index].incarnation == process)
                      at(index, action);
              });
    }

    void restart(std::size_t index)
    {
        auto &node = m_nodes[index];
        node.isAlive = true;
        node.client = std::make_unique<QuotaClient>(m_now);
        node.home = std::make_unique<QuotaHome>(ExtraBurst, m_now);
        updateView(index);
    }
    void changeViews()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            after(Duration(static_cast<std::int64_t>(uniform() * m_setup.detection.count())),
                  [this, i] { at(i, [this, i] { updateView(i); }); });
        }
    }
    void updateView(std::size_t index)
    {
        auto &node = m_nodes[index];
        std::vector<std::string> reachable;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const auto &other = m_nodes[i];
            if (i == index
                || (other.isAlive && other.side == node.side && !node.ignored.contains(i)))
                reachable.push_back(other.name);
        }
        const auto size = static_cast<std::uint32_t>(m_nodes.size());
        node.client->setNodes(reachable, size);
        node.home->setFleetSize(size, m_now);
    }

    void tick(std::size_t index, Duration wait)
    {
        after(wait, [this, index] {
            at(index, [this, index] {
                giveUp(index);
                m_nodes[index].client->expire(m_now);
                m_nodes[index].home->expire(m_now);
                addShares();
                poll(index);
            });
            tick(index, 100ms);
        });
    }
    void addShares()
    {
        std::array<double, QuotaShards> sums {};
        for (auto &node : m_nodes) {
            if (!node.isAlive)
                continue;
            const auto views = node.home->shards(m_now);
            for (std::size_t i = 0; i < views.size(); ++i)
                sums[i] += views[i].share;
        }
        m_largestShareSum =
                std::max(m_largestShareSum, *std::max_element(sums.begin(), sums.end()));
    }
    void arrive(std::size_t customer)
    {
        const auto &setup = m_customers[customer].setup;
        const double gap = std::exponential_distribution<double>(setup.demand)(m_random);
        after(Duration(static_cast<std::int64_t>(gap * 1e6)), [this, customer] {
            const auto busiest = std::min<std::size_t>(m_nodes.size(), 3);
            const bool isSkewed = uniform() < m_customers[customer].setup.skew;
            const auto gate = isSkewed ? static_cast<std::size_t>(uniform() * busiest) : pickNode();
            at(gate, [this, gate, customer] { request(gate, customer); });
            arrive(customer);
        });
    }
    void request(std::size_t index, std::size_t customer)
    {
        auto &state = m_customers[customer];
        if (!state.ideal.take(m_now))
            ++state.totals.idealRefused;
        auto &client = *m_nodes[index].client;
        const auto decision = client.request(state.setup.name, state.setup.limit, m_now);
        if (decision.verdict == QuotaClient::Verdict::Wait)
            m_nodes[index].waiting.push_back({customer, m_now, Duration(1s)});
        else
            count(customer, decision.verdict, {});
        poll(index);
    }
    void count(std::size_t index, QuotaClient::Verdict verdict, Duration waited)
    {
        auto &customer = m_customers[index];
        customer.totals.longestWait = std::max(customer.totals.longestWait, waited);
        if (verdict == QuotaClient::Verdict::Refuse) {
            ++customer.totals.refused;
            return;
        }
        ++customer.totals.admitted;
        customer.admitted.push_back(m_now);
        while (customer.admitted.front() <= m_now - Window)
            customer.admitted.pop_front();
        const auto &limit = customer.setup.limit;
        const double allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 2 * ExtraBurst;
        const double proved = limit.rate * 5.5 + limit.burst + ExtraBurst;
        const auto number = static_cast<double>(customer.admitted.size());
        customer.totals.worst = std::max(customer.totals.worst, number / allowed);
        customer.totals.worstOfProof = std::max(customer.totals.worstOfProof, number / proved);
    }
    void giveUp(std::size_t index)
    {
        auto &node = m_nodes[index];
        std::erase_if(node.waiting, [&](const Waiting &request) {
            if (m_now - request.since < request.limit)
                return false;
            node.client->leave(m_customers[request.customer].setup.name);
            count(request.customer, QuotaClient::Verdict::Refuse, request.limit);
            return true;
        });
    }

    void poll(std::size_t index)
    {
        auto &node = m_nodes[index];
        for (auto &outgoing : node.client->poll(m_now))
            send(index, outgoing);
        wake(index);
    }
    void wake(std::size_t index)
    {
        auto &node = m_nodes[index];
        const auto names = node.client->takeWoken();
        if (names.empty())
            return;
        const std::set<std::string> woken(names.begin(), names.end());
        std::erase_if(node.waiting, [&](const Waiting &request) {
            const auto &name = m_customers[request.customer].setup.name;
            if (!woken.contains(name))
                return false;
            const auto decision = node.client->recheck(name, m_now);
            if (decision.verdict == QuotaClient::Verdict::Wait)
                return false;
            count(request.customer, decision.verdict, m_now - request.since);
            return true;
        });
        poll(index);
    }
    void send(std::size_t index, const QuotaClient::Outgoing &outgoing)
    {
        ++m_messages;
        m_bytes += outgoing.request.ByteSizeLong();
        const auto home = static_cast<std::size_t>(std::stoul(outgoing.home.substr(5)));
        const auto sequence = outgoing.request.sequence();
        const auto process = m_nodes[index].incarnation;
        const bool isConnected = m_nodes[home].isAlive && m_nodes[home].side == m_nodes[index].side;
        if (!isConnected && uniform() < 0.5) {
            toGate(index, process, [this, index, home, sequence] {
                m_nodes[index].client->onFailed(m_nodes[home].name, sequence, m_now);
            });
        }
        if (!isConnected || uniform() < m_setup.loss)
            return;
        const auto arrive = [this, index, process, home, sentAt = m_now,
                             request = outgoing.request] {
            at(home, [=, this] { handle(index, process, home, sentAt, request); });
        };
        after(delay(), arrive);
        if (uniform() < m_setup.doubled)
            after(delay(), arrive);
    }
    void handle(std::size_t gate, Incarnation process, std::size_t home, TimePoint sentAt,
                const schema::CustomerQuotaRequest &request)
    {
        // The bound of the transit time is not exact.
        const auto age = m_now - sentAt + Duration(static_cast<std::int64_t>(uniform() * 1e4));
        const auto limitOf = [this](const std::string &name) -> std::optional<RateLimit> {
            const auto found = m_limits.find(name);
            return found == m_limits.end() ? std::nullopt : std::optional(found->second);
        };
        auto reply = m_nodes[home].home->handle(m_nodes[gate].name, process, request, age, limitOf,
                                                m_now);
        m_bytes += reply.ByteSizeLong();
        if (uniform() < m_setup.loss || m_nodes[home].side != m_nodes[gate].side)
            return;
        toGate(gate, process, [this, gate, home, sequence = request.sequence(), reply] {
            m_nodes[gate].client->onReply(m_nodes[home].name, sequence, reply, m_now);
        });
    }
    void toGate(std::size_t gate, Incarnation process, const std::function<void()> &action)
    {
        after(delay(), [this, gate, process, action] {
            at(gate, [this, gate, process, action] {
                if (m_nodes[gate].incarnation != process)
                    return;
                action();
                wake(gate);
                poll(gate);
            });
        });
    }

    QuotaSetup m_setup;
    Random m_random;
    TimePoint m_now {1000s};
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::vector<NodeState> m_nodes;
    std::vector<Customer> m_customers;
    std::map<std::string, RateLimit> m_limits;
    double m_largestShareSum = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace berylspur::test
