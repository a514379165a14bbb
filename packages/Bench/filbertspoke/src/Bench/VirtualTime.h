#ifndef FILBERTSPOKE_VIRTUAL_TIME_H
#define FILBERTSPOKE_VIRTUAL_TIME_H

#include <filbertspoke/Core>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace filbertspoke::bench {

/** \brief Runs callbacks in the order of their virtual times; equal times in the order of their insertion. */
class VirtualTime {
public:
    using Callback = std::function<void()>;

    Now now() const { return Now(this->current, WallTime(this->current.time_since_epoch())); }

    void after(Duration delay, Callback callback)
    {
        this->pending.push_back({ this->current + std::max(delay, Duration::zero()), this->inserted++, std::move(callback) });
        std::push_heap(this->pending.begin(), this->pending.end());
    }

    void runUntil(TimePoint end)
    {
        while (!this->pending.empty() && this->pending.front().time <= end) {
            std::pop_heap(this->pending.begin(), this->pending.end());
            const Entry entry = std::move(this->pending.back());
            this->pending.pop_back();
            this->current = entry.time;
            entry.callback();
        }
        this->current = end;
    }

private:
    struct Entry {
        TimePoint time;
        std::uint64_t order = 0;
        Callback callback;

        bool operator<(const Entry& other) const
        {
            return std::pair(this->time, this->order) > std::pair(other.time, other.order);
        }
    };

    std::vector<Entry> pending; ///< a heap
    TimePoint current { std::chrono::hours(1) };
    std::uint64_t inserted = 0;
};

}

#endif
