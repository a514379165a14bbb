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

/** \brief Where the platform is, and how often and how long it is asked. */
struct PlatformSettings {
    HttpAddress log;
    HttpAddress hostList;
    Duration longPoll = std::chrono::seconds(2); ///< how long the log holds back an empty answer
    Duration readTimeout = std::chrono::seconds(2); ///< of a read, beyond the long poll
    Duration appendTimeout = std::chrono::seconds(2); ///< of an append, its wait in the queue included
    Duration hostListPeriod = std::chrono::seconds(1);
    Duration hostListTimeout = std::chrono::seconds(2);
    Duration shortestRetryDelay = std::chrono::milliseconds(100); ///< after the first failed read
    Duration longestRetryDelay = std::chrono::seconds(2); ///< after many failed reads
    std::uint32_t recordsPerRead = 1000;
    HttpLimits limits;

    bool operator==(const PlatformSettings&) const = default;
};

/** \brief Reads and appends to the platform's log and polls its host list.
 *
 * A stream is followed from its first ReadRecords on: the client emits RecordsRead with every
 * batch, and with no records when the long poll found none, or ReadFailed for every failed try.
 * A later ReadRecords moves the position and is answered at once, with no records when there are
 * none. When the log no longer keeps the position, RecordsRead carries the new `oldest` and no
 * records, and the stream goes on from there. Appends to one stream go out one after another, and
 * none is ever repeated.
 *
 * Events reach the sink from the io_context, never from within carryOut().
 */
class PlatformClient {
public:
    using Sink = std::function<void(Event)>;

    PlatformClient(boost::asio::io_context&, PlatformSettings, Sink);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    /** \brief Begins to poll the host list. */
    void start();

    void carryOut(const AppendRecords&);
    void carryOut(const ReadRecords&);

private:
    class State;
    std::unique_ptr<State> state;
};

}

#endif
