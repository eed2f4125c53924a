// Queue of the requests that wait for one class of slots, ordered by rank. Handles load above the
// capacity of an endpoint whose requests differ in urgency. Holds entry numbers that its user
// assigns, and no requests. Does no I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylspur {

/// Within a rank, customers are served round-robin, and each customer's entries in order of
/// arrival. Entry numbers must be small, since links are stored by number, and unique in the queue.
class RankedQueue
{
public:
    using Entry = std::uint32_t;

    void push(Entry entry, std::uint32_t rank, std::string_view customer);

    /// Most and least urgent rank with entries; std::nullopt if the queue is empty.
    std::optional<std::uint32_t> firstRank() const;
    std::optional<std::uint32_t> lastRank() const;

    /// Entry of \a rank that is served next. The rank must have entries.
    Entry front(std::uint32_t rank) const;
    /// Removes and returns front(); its customer goes to the back of its rank.
    Entry popFront(std::uint32_t rank);
    /// Removes and returns the entry of \a rank that arrived last. The rank must have entries.
    Entry popNewest(std::uint32_t rank);

    std::uint32_t size() const { return m_size; }
    /// Number of entries that are as urgent as \a rank or more urgent.
    std::uint32_t sizeUpTo(std::uint32_t rank) const;
    std::uint32_t sizeOf(std::uint32_t rank) const;
    std::uint32_t sizeOf(std::uint32_t rank, std::string_view customer) const;
    /// Number of customers with entries of \a rank.
    std::uint32_t customers(std::uint32_t rank) const;

    /// Calls \a visit(rank) for each rank with entries, the most urgent first.
    template <typename Visit>
    void forEachRank(const Visit &visit) const
    {
        for (const Rank &rank : m_ranks) {
            if (rank.size > 0)
                visit(rank.number);
        }
    }

    /// Removes the entries for which \a remove(entry) returns true. Calls it once per entry.
    template <typename Remove>
    void removeIf(const Remove &remove)
    {
        for (Rank &rank : m_ranks) {
            for (CustomerQueue &customer : rank.customers)
                removeFrom(rank, customer, remove);
            std::erase_if(rank.customers,
                          [](const CustomerQueue &customer) { return customer.size == 0; });
        }
    }

private:
    static constexpr Entry None = UINT32_MAX;

    /// FIFO queue of one customer's entries. Invariant: not empty.
    struct CustomerQueue
    {
        std::string name;
        Entry head = None;
        Entry tail = None;
        std::uint32_t size = 0;
    };
    /// The front customer is served next and then moves to the back.
    struct Rank
    {
        std::uint32_t number = 0;
        std::deque<CustomerQueue> customers;
        std::uint32_t size = 0;
    };
    struct Link
    {
        Entry next = None; ///< next entry of the same customer and rank
        std::uint64_t arrival = 0; ///< order of push()
    };

    template <typename Remove>
    void removeFrom(Rank &rank, CustomerQueue &customer, const Remove &remove)
    {
        Entry previous = None;
        for (Entry entry = customer.head; entry != None;) {
            const Entry following = m_links[entry].next;
            if (remove(entry)) {
                (previous == None ? customer.head : m_links[previous].next) = following;
                if (following == None)
                    customer.tail = previous;
                --customer.size;
                --rank.size;
                --m_size;
            } else {
                previous = entry;
            }
            entry = following;
        }
    }
    const Rank *find(std::uint32_t rank) const;
    Rank &at(std::uint32_t rank);
    /// The rank, which is added if it is absent.
    Rank &require(std::uint32_t rank);

    std::vector<Rank> m_ranks; ///< by number; may hold empty ones
    std::vector<Link> m_links; ///< by entry
    std::uint32_t m_size = 0;
    std::uint64_t m_arrivals = 0;
};

} // namespace berylspur
