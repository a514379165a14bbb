#ifndef FILBERTSPOKE_INTERNAL_APPROVE_RUN_H
#define FILBERTSPOKE_INTERNAL_APPROVE_RUN_H

#include "../Command.h"
#include "../CommandOutcome.h"
#include "../ConfigurationLog.h"
#include "../RunCommand.h"

#include <filbertspoke/Configuration>

#include <optional>
#include <string>

namespace filbertspoke::internal {

/** \brief One approval: appends the change and settles by reading the log whether it is in force. */
class ApproveRun {
public:
    ApproveRun(const ApproveCommand& command, OutputFormat format, const CommandContext& context)
        : command(command)
        , format(format)
        , context(context)
        , log(context.transport, command.log)
    {
    }

    CommandOutcome run();

private:
    std::optional<CommandOutcome> checkBefore(const ConfigurationHistory&, const ConfigurationChange&) const;
    CommandOutcome appendAndSettle(const ConfigurationChange&);
    CommandOutcome describeOutcome(const AuditEntry&, const ConfigurationHistory&) const;
    CommandOutcome accepted(LogOffset revision, const std::string& hash, bool already) const;
    CommandOutcome refused(const ChangeRefused&, const ConfigurationHistory&) const;

    ApproveCommand command;
    OutputFormat format;
    const CommandContext& context;
    ConfigurationLog log;
};

}

#endif
