#ifndef FILBERTSPOKE_INTERNAL_DAEMON_QUERY_H
#define FILBERTSPOKE_INTERNAL_DAEMON_QUERY_H

#include "../Command.h"
#include "../CommandOutcome.h"
#include "../RunCommand.h"

namespace filbertspoke::internal {

/** \brief Executes a StatusCommand.
 * \returns the daemon's status, or Unreachable if the daemon sends no usable response */
CommandOutcome showStatus(const StatusCommand&, OutputFormat, const CommandContext&);

/** \brief Executes an ExplainCommand.
 * \returns the trace of the request, NotFound if the daemon does not know it, or Unreachable if the daemon sends no usable response */
CommandOutcome showExplanation(const ExplainCommand&, OutputFormat, const CommandContext&);

}

#endif
