#ifndef FILBERTSPOKE_CONFIGURATION_HANDLER_H
#define FILBERTSPOKE_CONFIGURATION_HANDLER_H

#include "Event.h"
#include "RouterContext.h"
#include "internal/CheckpointSchedule.h"
#include "internal/InForceReporter.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Membership>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke::internal {

/** \brief Brings the configuration of the log's configuration stream into force.
 *
 * It folds the stream, keeps a checkpoint in it, and reports when revisions came into force. While the
 * log can't be read, or has forgotten records that this daemon never read, it takes what a peer has further on.
 */
class ConfigurationHandler {
public:
    explicit ConfigurationHandler(RouterContext& context)
        : context(context)
        , checkpoints(context.random)
    {
    }

    void start(const Now&, Actions&);
    void handle(const RecordsRead&, const Now&, Actions&);
    void handle(const ReadFailed&, const Now&, Actions&);
    void handle(const RecordsAppended&, const Now&, Actions&);
    void handle(const AppendFailed&, const Now&, Actions&);
    void handle(const HostsListed&, const Now&, Actions&);
    void handle(const PeerMessageReceived&, const PeerDirectory&, const Now&, Actions&);
    void handle(const Tick&, const PeerDirectory&, const Now&, Actions&);

    std::optional<TimePoint> nextWake() const;

private:
    bool hasGapInReading(const RecordsRead&);
    void take(const std::vector<AuditEntry>&, const Now&, Actions&);
    void count(const AuditEntry&, Actions&) const;
    void write(const AuditEntry&, Actions&) const;
    void bringIntoForce(const Now&, Actions&);
    void warnOfReplacedLog(const RecordsRead&, Actions&);

    void appendCheckpointWhenDue(const Now&, Actions&);
    void appendReportWhenDue(const Now&, Actions&);
    bool canAppendCheckpoint() const;

    bool needsPeer() const;
    void askPeerWhenDue(const PeerDirectory&, const Now&, Actions&);
    void answer(const RecordsRequest&, const DaemonId&, const PeerDirectory&, const Now&, Actions&) const;
    void take(const RecordsTransfer&, const Now&, Actions&);

    RouterContext& context;
    ConfigurationFold fold;
    std::map<std::string, LogOffset> revisionsInForce;
    bool logReachable = false;
    bool caughtUp = false; ///< old records are counted, but not written to the log one by one
    bool replacedLogReported = false;
    std::optional<LogOffset> readAgainFrom;

    CheckpointSchedule checkpoints;
    InForceReporter reporter;
    std::optional<std::uint64_t> reportAppend;
    std::optional<TimePoint> askPeerAt;
};

}

#endif
