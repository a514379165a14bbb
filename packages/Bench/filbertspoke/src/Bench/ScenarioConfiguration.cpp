#include "ScenarioConfiguration.h"

#include "FakeDaemon.h"

#include <filbertspoke/Configuration>

#include <set>
#include <sstream>
#include <string>
#include <variant>

namespace filbertspoke::bench {

namespace {

constexpr int answerWithinMilliseconds = 10000;

/** \returns the answers that a team would give for the scenario */
std::string answers(const Scenario& scenario)
{
    std::set<FailureDomainId> domains;
    for (const DaemonSpec& daemon : scenario.daemons)
        domains.insert(daemon.failureDomain);

    std::ostringstream yaml;
    yaml << "organisation: bench\nteam: bench\nweighsMore: throughput\nfailureDomains:\n";
    for (const FailureDomainId& domain : domains)
        yaml << "    - " << domain << '\n';
    yaml << "models:\n    - name: " << benchModel() << "\n      version: " << benchVersion
         << "\n      layers: " << scenario.layers << "\n      longestAnswerTokens: " << answerTokens
         << "\n      answerWithinMs: " << answerWithinMilliseconds << "\naccounts:\n";
    for (const AccountSpec& account : scenario.accounts)
        yaml << "    - name: " << account.id << "\n      share: " << account.weight << '\n';
    return yaml.str();
}

}

LogRecord configurationRecord(const Scenario& scenario)
{
    Approval approval;
    approval.change = "00000000-0000-4000-8000-000000000001";
    approval.scope = "bench";
    approval.author = "author";
    approval.approver = "approver";
    approval.answers = answers(scenario);
    const auto questionnaire = std::get<Questionnaire>(parseQuestionnaire(approval.answers));
    return { std::string(configurationStream), 0, configurationRecordJson(makeChange(questionnaire, approval, std::nullopt)) };
}

}
