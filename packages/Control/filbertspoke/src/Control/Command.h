#ifndef FILBERTSPOKE_COMMAND_H
#define FILBERTSPOKE_COMMAND_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>

#include <optional>
#include <string>
#include <variant>

namespace filbertspoke {

/** \brief How results are printed. */
enum class OutputFormat {
    Text,
    Json,
};

/** \brief Checks a questionnaire and shows the configuration that follows from it. */
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
    std::optional<LogOffset> base; ///< refuses when another revision is in force by now

    bool operator==(const ApproveCommand&) const = default;
};

/** \brief Lists who changed what, what was refused and when daemons took it into force. */
struct AuditCommand {
    HttpAddress log;
    std::string scope; ///< empty for all

    bool operator==(const AuditCommand&) const = default;
};

/** \brief Shows a daemon's endpoints, revision, peers and queues. */
struct StatusCommand {
    HttpAddress daemon;

    bool operator==(const StatusCommand&) const = default;
};

/** \brief Shows why a daemon routed or refused a request as it did. */
struct ExplainCommand {
    HttpAddress daemon;
    std::string request;

    bool operator==(const ExplainCommand&) const = default;
};

using Command = std::variant<GenerateCommand, DiffCommand, ApproveCommand, AuditCommand, StatusCommand, ExplainCommand>;

}

#endif
