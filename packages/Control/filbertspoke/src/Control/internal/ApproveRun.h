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

/** \brief Executes one ApproveCommand: appends the change, then reads the log to determine whether it was accepted. */
class ApproveRun {
public:
    ApproveRun(const ApproveCommand& command, OutputFormat format, const CommandContext& context)
        : command(command)
        , format(format)
        , context(context)
        , log(context.transport, command.log)
    {
    }

    /** \returns whether the change was accepted or refused, or that its outcome is unknown */
    CommandOutcome run();

private:
    std::optional<CommandOutcome> checkBeforeAppend(const ConfigurationHistory&, const ConfigurationChange&) const;
    CommandOutcome appendAndConfirm(const ConfigurationChange&);
    CommandOutcome describeOutcome(const AuditEntry&, const ConfigurationHistory&) const;
    CommandOutcome accepted(LogOffset revision, const std::string& hash, bool alreadyInForce) const;
    CommandOutcome refused(const ChangeRefused&, const ConfigurationHistory&) const;

    ApproveCommand command;
    OutputFormat format;
    const CommandContext& context;
    ConfigurationLog log;
};

}

#endif
