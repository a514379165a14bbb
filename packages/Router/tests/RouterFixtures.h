#ifndef FILBERTSPOKE_ROUTER_FIXTURES_H
#define FILBERTSPOKE_ROUTER_FIXTURES_H

#include <filbertspoke/Router>

#include <string>
#include <vector>

namespace filbertspoke::testing {

/** \returns the configuration record that puts a configuration with the model "m" (8 layers) and the account "acme" into force */
inline std::string initialConfigurationRecord()
{
    const std::string answers = "organisation: Test\nteam: bench\nweighsMore: throughput\nfailureDomains: [a]\n"
                                "models:\n    - { name: m, version: v1, layers: 8, longestAnswerTokens: 16, answerWithinMs: 10000 }\n"
                                "accounts:\n    - { name: acme }\n";
    const auto parsed = parseQuestionnaire(answers);
    Approval approval;
    approval.change = "0190f7c0-0000-7000-8000-000000000001";
    approval.scope = "bench";
    approval.author = "author";
    approval.approver = "approver";
    approval.answers = answers;
    return configurationRecordJson(makeChange(std::get<Questionnaire>(parsed), approval, std::nullopt));
}

/** \returns the host list entry of an engine of the model "m" */
inline ListedHost listedEngine(const std::string& id, LayerRange layers)
{
    return { Endpoint::Builder(EndpointId(id)).host(HostId(id)).address("127.0.0.1", 1).failureDomain(FailureDomainId("a")).role(EngineRole { ModelId("m"), "v1", layers }).build(), false };
}

/** \returns the actions of one kind, in their order */
template <typename Kind>
std::vector<Kind> collect(const Actions& actions)
{
    std::vector<Kind> found;
    for (const Action& action : actions) {
        if (const auto* match = std::get_if<Kind>(&action))
            found.push_back(*match);
    }
    return found;
}

}

#endif
