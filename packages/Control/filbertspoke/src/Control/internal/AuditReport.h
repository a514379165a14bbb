#ifndef FILBERTSPOKE_INTERNAL_AUDIT_REPORT_H
#define FILBERTSPOKE_INTERNAL_AUDIT_REPORT_H

#include "../Command.h"
#include "../CommandOutcome.h"
#include "../RunCommand.h"

namespace filbertspoke::internal {

/** \brief Executes an AuditCommand.
 * \returns the report, or Unreachable if the log cannot be read */
CommandOutcome showAudit(const AuditCommand&, OutputFormat, const CommandContext&);

}

#endif
