// Ranks of a queue and the customers within each rank.
#include "berylspur/admission/ranked_queue.h"

#include <utility>

namespace berylspur {

namespace {

/// Empty ranks are kept up to this number, so that a rank whose queue empties and fills again
/// allocates nothing. The limit bounds memory if priorities take many values.
constexpr std::size_t MaxKeptRanks = 16;

} // namespace

void RankedQueue::push(Entry entry, std::uint32_t rank, std::string_view customer)
{
    if (m_links.size() <= entry)
        m_links.resize(entry + 1);
    m_links[entry] = {None, m_arrivals++};
    Rank &target = require(rank);
    const auto found =
            std::find_if(target.customers.begin(), target.customers.end(),
                         [&](const CustomerQueue &queue) { return queue.name == customer; });
    if (found == target.customers.end()) {
        target.customers.push_back({std::string(customer), entry, entry, 1});
    } else {
        m_links[found->tail].next = entry;
        found->tail = entry;
        ++found->size;
    }
    ++target.size;
    ++m_size;
}

std::optional<std::uint32_t> RankedQueue::firstRank() const
{
    const auto found = std::find_if(m_ranks.begin(), m_ranks.end(),
                                    [](const Rank &rank) { return rank.size > 0; });
    return found == m_ranks.end() ? std::nullopt : std::optional(found->number);
}

std::optional<std::uint32_t> RankedQueue::lastRank() const
{
    const auto found = std::find_if(m_ranks.rbegin(), m_ranks.rend(),
                                    [](const Rank &rank) { return rank.size > 0; });
    return found == m_ranks.rend() ? std::nullopt : std::optional(found->number);
}

RankedQueue::Entry RankedQueue::front(std::uint32_t rank) const
{
    return find(rank)->customers.front().head;
}

RankedQueue::Entry RankedQueue::popFront(std::uint32_t rank)
{
    Rank &source = at(rank);
    CustomerQueue customer = std::move(source.customers.front());
    source.customers.pop_front();
    const Entry entry = customer.head;
    customer.head = m_links[entry].next;
    --customer.size;
    --source.size;
    --m_size;
    if (customer.size > 0)
        source.customers.push_back(std::move(customer));
    return entry;
}

RankedQueue::Entry RankedQueue::popNewest(std::uint32_t rank)
{
    const auto &customers = at(rank).customers;
    const auto newest =
            std::max_element(customers.begin(), customers.end(),
                             [this](const CustomerQueue &left, const CustomerQueue &right) {
                                 return m_links[left.tail].arrival < m_links[right.tail].arrival;
                             });
    const Entry entry = newest->tail;
    removeIf([entry](Entry candidate) { return candidate == entry; });
    return entry;
}

std::uint32_t RankedQueue::sizeUpTo(std::uint32_t rank) const
{
    std::uint32_t sum = 0;
    for (const Rank &candidate : m_ranks)
        sum += candidate.number <= rank ? candidate.size : 0;
    return sum;
}

std::uint32_t RankedQueue::sizeOf(std::uint32_t rank) const
{
    const Rank *found = find(rank);
    return found ? found->size : 0;
}

std::uint32_t RankedQueue::sizeOf(std::uint32_t rank, std::string_view customer) const
{
    const Rank *found = find(rank);
    if (!found)
        return 0;
    for (const CustomerQueue &queue : found->customers) {
        if (queue.name == customer)
            return queue.size;
    }
    return 0;
}

std::uint32_t RankedQueue::customers(std::uint32_t rank) const
{
    const Rank *found = find(rank);
    return found ? static_cast<std::uint32_t>(found->customers.size()) : 0;
}

const RankedQueue::Rank *RankedQueue::find(std::uint32_t rank) const
{
    const auto found = std::find_if(m_ranks.begin(), m_ranks.end(),
                                    [rank](const Rank &entry) { return entry.number == rank; });
    return found == m_ranks.end() ? nullptr : &*found;
}

RankedQueue::Rank &RankedQueue::at(std::uint32_t rank)
{
    return const_cast<Rank &>(*std::as_const(*this).find(rank));
}

RankedQueue::Rank &RankedQueue::require(std::uint32_t rank)
{
    if (find(rank))
        return at(rank);
    if (m_ranks.size() >= MaxKeptRanks)
        std::erase_if(m_ranks, [](const Rank &entry) { return entry.size == 0; });
    const auto position = std::find_if(m_ranks.begin(), m_ranks.end(),
                                       [rank](const Rank &entry) { return entry.number > rank; });
    return *m_ranks.insert(position, Rank {rank, {}, 0});
}

} // namespace berylspur
