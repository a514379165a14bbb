#ifndef FILBERTSPOKE_INTERNAL_DAEMON_QUERY_H
#define FILBERTSPOKE_INTERNAL_DAEMON_QUERY_H

#include "../Command.h"
#include "../CommandOutcome.h"
#include "../RunCommand.h"

namespace filbertspoke::internal {

/** \brief Carries out StatusCommand. */
CommandOutcome showStatus(const StatusCommand&, OutputFormat, const CommandContext&);

/** \brief Carries out ExplainCommand. */
CommandOutcome showExplanation(const ExplainCommand&, OutputFormat, const CommandContext&);

}

#endif
