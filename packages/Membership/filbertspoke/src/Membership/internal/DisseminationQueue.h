#ifndef FILBERTSPOKE_DISSEMINATION_QUEUE_H
#define FILBERTSPOKE_DISSEMINATION_QUEUE_H

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace filbertspoke::internal {

/** \brief Keys of updates still to be gossiped on heartbeats; the least transmitted key goes first. */
template <typename Key>
class DisseminationQueue {
public:
    /** \brief Queues \a key, resetting its transmission count if it is queued already. */
    void add(const Key& key)
    {
        this->remove(key);
        this->insert(0, key);
    }

    void remove(const Key& key)
    {
        const auto entry = this->sendsByKey.find(key);
        if (entry == this->sendsByKey.end())
            return;
        this->bySends.erase({ entry->second, key });
        this->sendsByKey.erase(entry);
    }

    bool empty() const { return this->bySends.empty(); }
    std::size_t size() const { return this->bySends.size(); }

    /** \brief Returns up to \a limit keys and counts a transmission of each; a key is dropped after \a maximumSends. */
    std::vector<Key> take(std::size_t limit, unsigned maximumSends)
    {
        std::vector<Entry> picked;
        for (auto entry = this->bySends.begin(); entry != this->bySends.end() && picked.size() < limit; ++entry)
            picked.push_back(*entry);
        std::vector<Key> taken;
        taken.reserve(picked.size());
        for (auto& [sends, key] : picked) {
            this->remove(key);
            if (sends + 1 < maximumSends)
                this->insert(sends + 1, key);
            taken.push_back(std::move(key));
        }
        return taken;
    }

private:
    using Entry = std::pair<unsigned, Key>;

    void insert(unsigned sends, const Key& key)
    {
        this->bySends.insert({ sends, key });
        this->sendsByKey.emplace(key, sends);
    }

    std::set<Entry> bySends;
    std::map<Key, unsigned> sendsByKey;
};

}

#endif
