#ifndef FILBERTSPOKE_SPREAD_QUEUE_H
#define FILBERTSPOKE_SPREAD_QUEUE_H

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace filbertspoke::internal {

/** \brief Names of the news that still travel on heartbeats; the least sent goes first. */
template <typename Key>
class SpreadQueue {
public:
    /** \brief Starts to spread the news under \a key, anew if it spreads already. */
    void add(const Key& key)
    {
        this->remove(key);
        this->entries.push_back({ 0, key });
    }

    void remove(const Key& key)
    {
        std::erase_if(this->entries, [&](const Entry& entry) { return entry.second == key; });
    }

    bool empty() const { return this->entries.empty(); }
    std::size_t size() const { return this->entries.size(); }

    /** \brief Picks up to \a limit names and counts them as sent; after \a maximumSends they are dropped. */
    std::vector<Key> take(std::size_t limit, unsigned maximumSends)
    {
        const std::size_t count = std::min(limit, this->entries.size());
        const auto middle = this->entries.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(this->entries.begin(), middle, this->entries.end());
        std::vector<Key> taken;
        taken.reserve(count);
        for (auto entry = this->entries.begin(); entry != middle; ++entry) {
            ++entry->first;
            taken.push_back(entry->second);
        }
        std::erase_if(this->entries, [&](const Entry& entry) { return entry.first >= maximumSends; });
        return taken;
    }

private:
    using Entry = std::pair<unsigned, Key>;

    std::vector<Entry> entries;
};

}

#endif
