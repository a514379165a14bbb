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

/** \brief What was read of one stream. */
struct StreamContents {
    std::vector<LogRecord> records;
    LogOffset oldest = 0;
    LogOffset next = 0;

    bool operator==(const StreamContents&) const = default;
};

/** \brief The configuration stream as every daemon folds it. */
struct ConfigurationHistory {
    ConfigurationFold fold;
    std::vector<AuditEntry> entries; ///< those that wait for a checkpoint stand last
    LogOffset oldest = 0;
    LogOffset next = 0;
};

/** \brief When each daemon took a revision into force. */
using InForceTimes = std::map<LogOffset, std::map<DaemonId, WallTime>>;

/** \brief How an append ended. */
enum class AppendState {
    Appended,
    NotAppended,
    Unknown, ///< the answer was lost
};

/** \brief The platform's log, as the operators' tool reads and writes it. */
class ConfigurationLog {
public:
    ConfigurationLog(Transport& transport, HttpAddress address)
        : transport(transport)
        , address(std::move(address))
    {
    }

    /** \brief Reads and folds the whole configuration stream. \returns PlatformUnavailable when it can't be read */
    Result<ConfigurationHistory> readHistory();

    /** \brief Reads the daemons' reports. \returns PlatformUnavailable when they can't be read */
    Result<InForceTimes> readInForceTimes();

    /** \brief Appends one record to the configuration stream. */
    AppendState append(const ConfigurationRecord&);

    Transport& transportUsed() { return this->transport; }

private:
    Result<StreamContents> readStream(std::string_view stream);

    Transport& transport;
    HttpAddress address;
};

}

#endif
