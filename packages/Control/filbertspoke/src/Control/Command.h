#ifndef FILBERTSPOKE_COMMAND_H
#define FILBERTSPOKE_COMMAND_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>

#include <optional>
#include <string>
#include <variant>

namespace filbertspoke {

/** \brief Output format of results. */
enum class OutputFormat {
    Text,
    Json,
};

/** \brief Checks a questionnaire and shows the configuration generated from it. */
struct GenerateCommand {
    std::string questionnaire; ///< path of the file

    bool operator==(const GenerateCommand&) const = default;
};

/** \brief Shows what a questionnaire would change in the configuration in force. */
struct DiffCommand {
    std::string questionnaire;
    HttpAddress log;

    bool operator==(const DiffCommand&) const = default;
};

/** \brief Puts a questionnaire into force. */
struct ApproveCommand {
    std::string questionnaire;
    HttpAddress log;
    std::string author;
    std::string approver;
    std::optional<LogOffset> base; ///< expected revision; the change is refused if another one is in force

    bool operator==(const ApproveCommand&) const = default;
};

/** \brief Lists accepted and refused changes, and when each daemon activated a revision. */
struct AuditCommand {
    HttpAddress log;
    std::string scope; ///< team whose changes are listed; empty for all teams

    bool operator==(const AuditCommand&) const = default;
};

/** \brief Shows the endpoints, configuration revision, peers and queues of a daemon. */
struct StatusCommand {
    HttpAddress daemon; ///< the daemon's address for operators

    bool operator==(const StatusCommand&) const = default;
};

/** \brief Shows why a daemon routed or refused a request as it did. */
struct ExplainCommand {
    HttpAddress daemon; ///< the daemon's address for operators
    std::string request; ///< request id

    bool operator==(const ExplainCommand&) const = default;
};

/** \brief Any command of filbertspokectl. */
using Command = std::variant<GenerateCommand, DiffCommand, ApproveCommand, AuditCommand, StatusCommand, ExplainCommand>;

}

#endif
