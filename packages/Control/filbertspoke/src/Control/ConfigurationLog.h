#ifndef FILBERTSPOKE_CONFIGURATION_LOG_H
#define FILBERTSPOKE_CONFIGURATION_LOG_H

#include "Transport.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>
#include <filbertspoke/Http>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

/** \brief The records read from one stream. */
struct StreamContents {
    std::vector<LogRecord> records;
    LogOffset oldest = 0; ///< first offset that the log still holds
    LogOffset next = 0; ///< offset of the next record to be appended

    bool operator==(const StreamContents&) const = default;
};

/** \brief The configuration stream, replayed by the same rules as in every daemon. */
struct ConfigurationHistory {
    ConfigurationFold fold;
    std::vector<AuditEntry> entries; ///< in log order; entries that cannot be decided before a checkpoint is read come last
    LogOffset oldest = 0; ///< first offset that the log still holds
    LogOffset next = 0; ///< offset of the next record to be appended
};

/** \brief For each revision, the time at which each daemon activated it. */
using InForceTimes = std::map<LogOffset, std::map<DaemonId, WallTime>>;

/** \brief Result of an append. */
enum class AppendResult {
    Appended,
    NotAppended,
    Unknown, ///< no conclusive response; the record may have been appended
};

/** \brief Reads and writes the configuration in the platform's log. */
class ConfigurationLog {
public:
    ConfigurationLog(Transport& transport, HttpAddress address)
        : transport(transport)
        , address(std::move(address))
    {
    }

    /** \brief Reads and replays the whole configuration stream.
     * \returns the history, or PlatformUnavailable if the stream cannot be read */
    Result<ConfigurationHistory> readHistory();

    /** \brief Reads the reports in which daemons state when they activated a revision.
     * \returns the times, or PlatformUnavailable if the reports cannot be read */
    Result<InForceTimes> readInForceTimes();

    /** \brief Appends one record to the configuration stream. */
    AppendResult append(const ConfigurationRecord&);

    /** \returns the transport passed to the constructor */
    Transport& transportUsed() { return this->transport; }

private:
    Result<StreamContents> readStream(std::string_view stream);

    Transport& transport;
    HttpAddress address;
};

}

#endif
