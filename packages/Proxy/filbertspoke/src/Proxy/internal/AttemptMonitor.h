#ifndef FILBERTSPOKE_INTERNAL_ATTEMPT_MONITOR_H
#define FILBERTSPOKE_INTERNAL_ATTEMPT_MONITOR_H

#include "../BootClock.h"
#include "../EngineFailureDetector.h"

#include <filbertspoke/Core>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace filbertspoke::internal {

/** \brief State of the coroutine that monitors one attempt. Shared by the coroutine and the attempt, because the coroutine may outlive the attempt. */
struct AttemptMonitor {
    explicit AttemptMonitor(boost::asio::io_context& context)
        : moveEnded(context, boost::asio::steady_timer::time_point::max())
    {
    }

    bool finished = false; ///< the attempt has ended
    bool moving = false; ///< the rest of the stream is requested elsewhere
    bool moveCancelled = false; ///< the attempt ended such that the rest is not needed
    boost::asio::steady_timer moveEnded; ///< cancelled as soon as the request elsewhere was accepted or has failed
    Duration firstEventLimit {}; ///< time to the first event after which the chain is checked
    Duration gapLimit {}; ///< time between events after which the chain is checked
    TimePoint checkedAt = bootNow(); ///< time of the last check
    unsigned checksSinceEvent = 0; ///< checks since the last event that found no failed engine

    /** \returns the time without events after which the chain is checked again. It backs off exponentially, because an engine
     * that was alive at earlier checks is more likely slow than failed */
    Duration checkInterval(Duration limit) const
    {
        // A failed engine is detected within the first checks, which therefore run without backoff.
        const unsigned doublings = this->checksSinceEvent < missedReportsForFailure ? 0 : this->checksSinceEvent - missedReportsForFailure + 1;
        return limit * (1 << std::min(doublings, maximumDoublings));
    }

private:
    static constexpr unsigned maximumDoublings = 2;
};

}

#endif
