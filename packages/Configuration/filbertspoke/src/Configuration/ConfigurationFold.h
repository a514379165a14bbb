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

/** \brief The configuration merged from all scopes, with its revision. */
struct ConfigurationInForce {
    LogOffset revision = 0; ///< log offset of the newest accepted change
    Configuration configuration;

    bool operator==(const ConfigurationInForce&) const = default;
};

/** \brief State machine that derives the configuration in force from the log's configuration stream.
 *
 * The state is a pure function of the records, so all readers that have applied the same records have the same state.
 * A change is accepted when it is approved by a second person, its base is the revision in force in its scope, its answers
 * generate the configuration that it carries, and no other scope uses its names.
 *
 * The log drops old records. A reader that has missed dropped records has a gap: it keeps its state and buffers further
 * records until a checkpoint covers the gap. Older checkpoints are ignored, because records after them are missing and
 * they may contain a configuration that has been replaced.
 */
class ConfigurationFold {
public:
    /** \brief Applies one record, or buffers it while there is a gap.
     *
     * Records before next() are ignored. A record after next() means that the records in between are missing, except for
     * the very first record, since a log may start at any offset.
     * \returns the effect of the record and of the buffered records that it allowed to be applied; empty when it is
     * ignored or buffered
     */
    std::vector<AuditEntry> apply(const LogRecord&);

    /** \brief Opens a gap when the log has dropped records before \a oldest that were not read. */
    void truncate(LogOffset oldest);

    /** \brief Restores the state from a peer's snapshot that covers more records than the current state.
     *
     * \returns the effects of the buffered records; StaleBase when the snapshot covers no further records or lacks a
     * change that is in force; LogTruncated when records after it are known to be missing; HashMismatch when its
     * contents are inconsistent
     */
    Result<std::vector<AuditEntry>> adopt(const ConfigurationSnapshot&);

    /** \returns the offset of the next record to read, after the applied and the buffered ones */
    LogOffset next() const;

    /** \returns the offset of the first record that is not applied */
    LogOffset appliedTo() const { return this->applied; }

    /** \returns whether all records before next() are applied, that is whether there is no gap */
    bool current() const { return !this->gap; }

    /** \returns an entry for each record that is buffered until a checkpoint covers the gap; no change among them is decided */
    std::vector<AuditEntry> waiting() const;

    /** \returns the state, or none after a record of a newer version, whose effect is unknown */
    std::optional<ConfigurationSnapshot> snapshot() const;

    /** \returns the configuration in force, or null when no change was accepted yet */
    const std::shared_ptr<const ConfigurationInForce>& inForce() const { return this->merged; }

    /** \returns the revision in force of each scope */
    std::map<std::string, LogOffset> revisions() const;
    /** \returns the change in force in a scope, or null when there is none */
    const ScopeRevision* findScope(const std::string& scope) const;
    /** \returns the configuration in force of one scope alone, or null when there is none */
    const Configuration* findScopeConfiguration(const std::string& scope) const;

private:
    struct ScopeState {
        ScopeRevision revision;
        Configuration configuration;
    };
    using Scopes = std::map<std::string, ScopeState>;

    // Records before `start` are missing. Records in [start, readTo) are buffered until a checkpoint or a snapshot restores
    // the state.
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
    std::variant<Configuration, ChangeRefused> evaluate(const ConfigurationChange&) const;
    bool isConsistentWith(const ConfigurationSnapshot&) const;
    bool wouldRollBack(const Scopes& restored) const;
    bool usesNamesOfOtherScopes(const std::string& scope, const Configuration&) const;
    std::vector<AuditEntry> restore(LogOffset next, Scopes);
    std::vector<AuditEntry> replay(const std::vector<LogRecord>& waiting);
    void merge();

    static std::optional<Scopes> readScopes(const ConfigurationSnapshot&);

    LogOffset applied = 0; // all records before this offset are applied
    Scopes scopes;
    std::optional<Gap> gap;
    std::optional<LogOffset> unsupportedRecord; // offset of the last record of a newer version since the state was restored
    std::shared_ptr<const ConfigurationInForce> merged;
};

}

#endif
