#ifndef FILBERTSPOKE_DEADLINE_QUEUE_H
#define FILBERTSPOKE_DEADLINE_QUEUE_H

#include "Time.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief A set of keys with one deadline each, ordered by deadline.
 *
 * \tparam Key ordered by operator<
 */
template <typename Key>
class DeadlineQueue {
public:
    /** \brief Sets the key's deadline, replacing any previous one. */
    void set(const Key& key, TimePoint deadline)
    {
        this->erase(key);
        this->byKey.emplace(key, deadline);
        this->byTime.emplace(deadline, key);
    }

    void erase(const Key& key)
    {
        auto entry = this->byKey.find(key);
        if (entry == this->byKey.end())
            return;
        this->byTime.erase({ entry->second, key });
        this->byKey.erase(entry);
    }

    /** \returns the keys whose deadline is not after \a now, earliest first, and removes them */
    std::vector<Key> takeDue(TimePoint now)
    {
        std::vector<Key> due;
        while (!this->byTime.empty() && this->byTime.begin()->first <= now) {
            due.push_back(this->byTime.begin()->second);
            this->erase(due.back());
        }
        return due;
    }

    /** \returns the earliest deadline, or nothing if there are no keys */
    std::optional<TimePoint> next() const
    {
        if (this->byTime.empty())
            return std::nullopt;
        return this->byTime.begin()->first;
    }

private:
    std::map<Key, TimePoint> byKey;
    std::set<std::pair<TimePoint, Key>> byTime;
};

/** \returns the earlier of two optional times; an empty one counts as later than any time */
inline std::optional<TimePoint> earlier(std::optional<TimePoint> a, std::optional<TimePoint> b)
{
    if (!a)
        return b;
    if (!b)
        return a;
    return std::min(*a, *b);
}

}

#endif
