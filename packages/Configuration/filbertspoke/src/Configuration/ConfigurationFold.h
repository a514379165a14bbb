#ifndef FILBERTSPOKE_CONFIGURATION_FOLD_H
#define FILBERTSPOKE_CONFIGURATION_FOLD_H

#include "AuditEntry.h"
#include "Configuration.h"
#include "ConfigurationRecord.h"

#include <filbertspoke/Core>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief A configuration with the log offset that put it into force. */
struct ConfigurationInForce {
    LogOffset revision = 0; ///< offset of the newest change that was accepted
    Configuration configuration;

    bool operator==(const ConfigurationInForce&) const = default;
};

/** \brief Works out the configuration in force from the log's configuration stream.
 *
 * The state is a pure function of the records: a change is accepted when its base is the revision in
 * force in its scope and its answers generate the configuration that it carries. Every reader
 * that has taken the same records into account holds the same state.
 *
 * The log forgets old records. A reader that finds records missing before the oldest one goes on with
 * what it has and waits for a checkpoint after which it can read every record; older checkpoints
 * don't count, since they may bring back a configuration that was replaced since.
 */
class ConfigurationFold {
public:
    /** \brief Takes one record into account.
     *
     * Records before next() are ignored; a record after it means that those between can't be read,
     * but for the first of all records, since a log may start at any offset.
     * \returns what the record did, and what those did that had waited for it
     */
    std::vector<AuditEntry> apply(const LogRecord&);

    /** \brief Tells the fold that records before \a oldest can't be read any more. */
    void truncate(LogOffset oldest);

    /** \brief Takes over a peer's snapshot that is further on.
     *
     * \returns what the records did that had been read already, StaleBase when the snapshot is no further on,
     * or lacks a change that is in force, LogTruncated when records after it are known to be missing,
     * HashMismatch when it is not sound
     */
    Result<std::vector<AuditEntry>> adopt(const ConfigurationSnapshot&);

    /** \returns the offset of the record to read next */
    LogOffset next() const;

    /** \returns the offset of the first record that the configuration in force doesn't take into account */
    LogOffset appliedTo() const { return this->applied; }

    /** \returns whether every record before next() is taken into account */
    bool current() const { return !this->gap; }

    /** \returns the records that wait for a checkpoint, none of them decided */
    std::vector<AuditEntry> waiting() const;

    /** \returns the state, or none when a record of a newer version may have changed it */
    std::optional<ConfigurationSnapshot> snapshot() const;

    /** \returns the configuration in force, or null as long as there is none */
    const std::shared_ptr<const ConfigurationInForce>& inForce() const { return this->merged; }

    /** \returns the revision in force of each scope */
    std::map<std::string, LogOffset> revisions() const;
    /** \returns the change in force in a scope, or null */
    const ScopeRevision* findScope(const std::string& scope) const;
    /** \returns the configuration in force of one scope alone, or null */
    const Configuration* findScopeConfiguration(const std::string& scope) const;

private:
    struct ScopeState {
        ScopeRevision revision;
        Configuration configuration;
    };
    using Scopes = std::map<std::string, ScopeState>;

    // Records before `start` are missing; those from it on are kept until a checkpoint tells the state.
    struct Gap {
        LogOffset start = 0;
        LogOffset readTo = 0;
        std::vector<LogRecord> waiting;
    };

    std::vector<AuditEntry> applyWaiting(const LogRecord&);
    AuditEntry applyInOrder(const LogRecord&);
    AuditEntry applyRecord(LogOffset, const ConfigurationChange&);
    AuditEntry applyRecord(LogOffset, const ConfigurationCheckpoint&);
    AuditEntry applyRecord(LogOffset, const InForceReport&);
    std::variant<Configuration, ChangeRefused> judge(const ConfigurationChange&) const;
    bool agreesWith(const ConfigurationSnapshot&) const;
    bool wouldRevert(const Scopes& restored) const;
    bool takesNames(const std::string& scope, const Configuration&) const;
    std::vector<AuditEntry> restore(LogOffset next, Scopes);
    std::vector<AuditEntry> replay(const std::vector<LogRecord>& waiting);
    void merge();

    static std::optional<Scopes> readScopes(const ConfigurationSnapshot&);

    LogOffset applied = 0; // every record before it is taken into account
    Scopes scopes;
    std::optional<Gap> gap;
    std::optional<LogOffset> newerRecord;
    std::shared_ptr<const ConfigurationInForce> merged;
};

}

#endif
