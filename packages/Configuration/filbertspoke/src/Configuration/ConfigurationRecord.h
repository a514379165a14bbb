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

/** \brief The log's stream with changes and checkpoints. */
constexpr std::string_view configurationStream = "configuration";
/** \brief The log's stream in which daemons say when they took revisions into force. */
constexpr std::string_view inForceStream = "configuration-in-force";

/** \brief Version of the records; a reader skips records of a newer one. */
constexpr std::uint32_t configurationRecordVersion = 1;
/** \brief Version of generate(): raised whenever equal answers would give other bytes. */
constexpr std::uint32_t generatorVersion = 1;

/** \brief Who decided on a change, and the answers that it rests on. */
struct Approval {
    std::string change; ///< UUID that the operator's tool gave this approval; a repeated append keeps it
    std::string scope; ///< the team whose part of the configuration changes
    std::string author;
    std::string approver;
    WallTime at; ///< by the clock of the operator's tool
    std::uint32_t generator = generatorVersion;
    std::string answers; ///< the questionnaire as it was approved
    std::string hash; ///< of the canonical bytes

    auto operator<=>(const Approval&) const = default;
};

/** \brief A record that asks for a change of one scope. */
struct ConfigurationChange {
    Approval approval;
    std::optional<LogOffset> base; ///< the revision in force that the approver saw; none for the first
    std::string configuration; ///< canonical bytes

    auto operator<=>(const ConfigurationChange&) const = default;
};

/** \brief The change in force in one scope. */
struct ScopeRevision {
    LogOffset revision = 0; ///< the offset of the change
    Approval approval;

    auto operator<=>(const ScopeRevision&) const = default;
};

/** \brief What is in force once every record before \a next has been taken into account. */
struct ConfigurationSnapshot {
    LogOffset next = 0;
    std::vector<ScopeRevision> scopes; ///< in the order of their names

    auto operator<=>(const ConfigurationSnapshot&) const = default;
};

/** \brief A record that keeps a snapshot in the log, which forgets old changes. */
struct ConfigurationCheckpoint {
    DaemonId daemon;
    WallTime at; ///< by the daemon's clock
    ConfigurationSnapshot snapshot;

    auto operator<=>(const ConfigurationCheckpoint&) const = default;
};

/** \brief One revision that a daemon took into force. */
struct RevisionInForce {
    LogOffset revision = 0;
    WallTime at; ///< by the daemon's clock

    auto operator<=>(const RevisionInForce&) const = default;
};

/** \brief A record in which a daemon says when it took revisions into force. */
struct InForceReport {
    DaemonId daemon;
    std::vector<RevisionInForce> taken;

    auto operator<=>(const InForceReport&) const = default;
};

using ConfigurationRecord = std::variant<ConfigurationChange, ConfigurationCheckpoint, InForceReport>;

/** \returns the record as the log's payload */
std::string configurationRecordJson(const ConfigurationRecord&);

/** \brief Reads a payload.
 *
 * \returns MalformedRecord for what is no record, UnsupportedVersion for a newer one
 */
Result<ConfigurationRecord> parseConfigurationRecord(std::string_view payload);

/** \returns a snapshot as JSON, as it travels between daemons */
std::string snapshotJson(const ConfigurationSnapshot&);

/** \brief Reads what snapshotJson() wrote. \returns MalformedRecord for anything else */
Result<ConfigurationSnapshot> parseSnapshot(std::string_view json);

/** \brief Makes the record that puts a questionnaire into force once it is appended. */
ConfigurationChange makeChange(const Questionnaire& questionnaire, Approval approval, std::optional<LogOffset> base);

}

#endif
