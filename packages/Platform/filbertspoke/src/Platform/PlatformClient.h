#ifndef FILBERTSPOKE_PLATFORM_CLIENT_H
#define FILBERTSPOKE_PLATFORM_CLIENT_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>
#include <filbertspoke/Router>

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace filbertspoke {

/** \brief Addresses of the platform, and the periods, timeouts and limits of requests to it. */
struct PlatformSettings {
    HttpAddress log;
    HttpAddress hostList;
    Duration longPoll = std::chrono::seconds(2); ///< how long the log delays its response when there are no new records
    Duration readTimeout = std::chrono::seconds(2); ///< for a read, in addition to the long poll
    Duration appendTimeout = std::chrono::seconds(2); ///< for an append, including its time in the queue
    Duration hostListPeriod = std::chrono::seconds(1);
    Duration hostListTimeout = std::chrono::seconds(2);
    Duration minimumRetryDelay = std::chrono::milliseconds(100); ///< after the first failed read
    Duration maximumRetryDelay = std::chrono::seconds(2); ///< upper bound of the exponential backoff
    std::uint32_t recordsPerRead = 1000;
    HttpLimits limits;

    bool operator==(const PlatformSettings&) const = default;
};

/** \brief Reads and appends to the platform's log and polls its host list.
 *
 * The first ReadRecords of a stream starts a loop of long polls. The client emits RecordsRead for
 * every response, with no records when the long poll ended without any, and ReadFailed for every
 * failed attempt. A later ReadRecords moves the position and is answered without a long poll, with
 * no records when there are none. When the log no longer keeps the position, RecordsRead carries
 * the new `oldest` and no records, and the reads continue from `oldest`. Appends to one stream are
 * sent one at a time and never retried.
 *
 * The sink is called from the io_context, never from within carryOut().
 */
class PlatformClient {
public:
    using Sink = std::function<void(Event)>;

    PlatformClient(boost::asio::io_context&, PlatformSettings, Sink);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    /** \brief Starts polling the host list. */
    void start();

    /** \brief Queues an append; emits RecordsAppended or AppendFailed. */
    void carryOut(const AppendRecords&);
    /** \brief Reads a stream from an offset on; emits RecordsRead or ReadFailed for every attempt. */
    void carryOut(const ReadRecords&);

private:
    class State;
    std::unique_ptr<State> state;
};

}

#endif
