#ifndef FILBERTSPOKE_STEADY_CALLER_H
#define FILBERTSPOKE_STEADY_CALLER_H

#include "GatewayScene.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

/** \brief An answer that has arrived whole. */
struct WholeAnswer {
    unsigned status = 0;
    std::size_t bytes = 0;
    bool closes = false; ///< it says that the connection ends with it
    std::string eventIds;

    bool operator==(const WholeAnswer&) const = default;
};

/** \returns the answer with which the text begins, if it is whole */
std::optional<WholeAnswer> readAnswer(std::string_view);

/** \brief What the requests of callers have come to. */
struct CallOutcomes {
    std::map<unsigned, std::size_t> statuses; ///< whole answers and refusals
    std::vector<std::string> crossed; ///< requests that crossed the close of a kept connection and that no replica got
    std::vector<std::string> timedOut; ///< requests whose answer was not whole when their time was over
    std::map<std::string, std::string> faults; ///< by request
};

/** \brief A caller that sends its requests one after the other, and checks that each gets one whole answer or one refusal. */
class SteadyCaller {
public:
    using Clock = std::chrono::steady_clock;
    /** \returns whether a replica got the request */
    using Reached = std::function<bool(const std::string& id)>;

    struct Plan {
        std::string name; ///< requests are named after it
        HttpAddress gateway;
        std::string method;
        std::string target;
        std::string expectedEvents; ///< ids of all events of an answer
        bool keepsConnection = true;
        std::chrono::milliseconds pause { 0 }; ///< between an answer and the next request
        std::chrono::milliseconds limit { 6000 };
        std::chrono::milliseconds excusedAfter { 6000 }; ///< a request that has taken so long may end without a whole answer
        Clock::time_point lastSend;

        bool operator==(const Plan&) const = default;
    };

    SteadyCaller(boost::asio::io_context&, Plan);

    /** \brief Sends no request later than this. */
    void sendUntil(Clock::time_point moment) { this->plan.lastSend = moment; }
    const HttpAddress& gateway() const { return this->plan.gateway; }
    /** \returns whether all requests have ended and no more will be sent */
    bool ended() const;
    /** \brief Takes what has arrived, and sends the next request if it is due. */
    void advance(CallOutcomes&, const Reached&);

private:
    void read(CallOutcomes&, const Reached&);
    void take(const WholeAnswer&, std::string_view received, CallOutcomes&);
    void noteClose(std::string_view received, CallOutcomes&, const Reached&);
    void send(CallOutcomes&);

    boost::asio::io_context& context;
    Plan plan;
    Clock::time_point due;
    Clock::time_point sentAt;
    std::unique_ptr<RawCaller> connection;
    std::size_t taken = 0; ///< bytes of the answers that have come over the connection
    std::string waiting; ///< the request that has no whole answer yet
    std::string answered; ///< the last request that got one
    int sent = 0;
    bool reused = false;
    bool closing = false;
};

}

#endif
