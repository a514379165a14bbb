#ifndef FILBERTSPOKE_CONFIGURATION_RECORD_H
#define FILBERTSPOKE_CONFIGURATION_RECORD_H

#include "Questionnaire.h"

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief Name of the log stream with changes and checkpoints. */
constexpr std::string_view configurationStream = "configuration";
/** \brief Name of the log stream in which daemons report when they put revisions into force. */
constexpr std::string_view inForceStream = "configuration-in-force";

/** \brief Version of the record format; a reader skips records of a newer version. */
constexpr std::uint32_t configurationRecordVersion = 1;
/** \brief Version of generate(); it must be raised when equal answers give another encoding than before. */
constexpr std::uint32_t generatorVersion = 1;

/** \brief Author and approver of a change, and the answers from which its configuration is generated. */
struct Approval {
    std::string change; ///< UUID given by the operator's tool; identifies the change when its append is retried
    std::string scope; ///< team whose configuration changes
    std::string author;
    std::string approver;
    WallTime at; ///< time of the approval by the clock of the operator's tool
    std::uint32_t generator = generatorVersion; ///< version of generate() that gave the hash
    std::string answers; ///< YAML text of the approved questionnaire
    std::string hash; ///< configurationHash() of the generated configuration

    auto operator<=>(const Approval&) const = default;
};

/** \brief A record that requests a new configuration of one scope. */
struct ConfigurationChange {
    Approval approval;
    std::optional<LogOffset> base; ///< revision in force that the approver saw; none for the first change of a scope
    std::string configuration; ///< canonical JSON encoding, see configurationJson()

    auto operator<=>(const ConfigurationChange&) const = default;
};

/** \brief The change in force in one scope. */
struct ScopeRevision {
    LogOffset revision = 0; ///< log offset of the change
    Approval approval;

    auto operator<=>(const ScopeRevision&) const = default;
};

/** \brief The changes in force once all records before \a next are applied. */
struct ConfigurationSnapshot {
    LogOffset next = 0; ///< offset of the first record that is not applied
    std::vector<ScopeRevision> scopes; ///< sorted by scope name

    auto operator<=>(const ConfigurationSnapshot&) const = default;
};

/** \brief A record with a snapshot, which keeps the state readable after the log drops old changes. */
struct ConfigurationCheckpoint {
    DaemonId daemon;
    WallTime at; ///< by the daemon's clock
    ConfigurationSnapshot snapshot;

    auto operator<=>(const ConfigurationCheckpoint&) const = default;
};

/** \brief The time at which a revision came into force on a daemon. */
struct RevisionInForce {
    LogOffset revision = 0;
    WallTime at; ///< by the daemon's clock

    auto operator<=>(const RevisionInForce&) const = default;
};

/** \brief A record in which a daemon reports when it put revisions into force. */
struct InForceReport {
    DaemonId daemon;
    std::vector<RevisionInForce> taken;

    auto operator<=>(const InForceReport&) const = default;
};

/** \brief A record of the configuration stream or of the in-force stream. */
using ConfigurationRecord = std::variant<ConfigurationChange, ConfigurationCheckpoint, InForceReport>;

/** \returns the record as JSON, the payload of a log record */
std::string configurationRecordJson(const ConfigurationRecord&);

/** \brief Parses the payload of a log record.
 *
 * \returns the record, MalformedRecord when the payload is invalid, or UnsupportedVersion when its format is newer
 */
Result<ConfigurationRecord> parseConfigurationRecord(std::string_view payload);

/** \returns a snapshot as JSON, the encoding in which daemons exchange it */
std::string snapshotJson(const ConfigurationSnapshot&);

/** \brief Parses the output of snapshotJson(). \returns the snapshot, or MalformedRecord when \a json has another form */
Result<ConfigurationSnapshot> parseSnapshot(std::string_view json);

/** \brief Makes the record that requests the configuration generated from a questionnaire.
 *
 * \param approval its scope, generator version and hash are replaced by those of the questionnaire
 * \param base revision of the scope that the change replaces, none for the first
 */
ConfigurationChange makeChange(const Questionnaire& questionnaire, Approval approval, std::optional<LogOffset> base);

}

#endif
