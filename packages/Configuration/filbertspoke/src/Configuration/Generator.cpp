#include "Questionnaire.h"

#include <algorithm>
#include <tuple>

namespace filbertspoke {

namespace {

template <typename Entry, typename Key>
std::vector<Entry> sorted(std::vector<Entry> entries, Key key)
{
    std::sort(entries.begin(), entries.end(), [&](const Entry& left, const Entry& right) { return key(left) < key(right); });
    return entries;
}

// Sort key that puts more specific rules first, since the first rule that matches applies.
auto specificity(const RouteRule& rule)
{
    return std::tuple(-static_cast<std::ptrdiff_t>(rule.pathPrefix.size()), rule.pathPrefix, rule.method == "*", rule.method);
}

ModelConfiguration generateModel(const ModelAnswers& answers)
{
    return { answers.name, answers.version, answers.layers, answers.maximumTokens, answers.deadline };
}

ServiceConfiguration generateService(const ServiceAnswers& answers)
{
    ServiceConfiguration service;
    service.id = answers.name;
    service.deadline = answers.deadline;
    for (const CallAnswers& call : answers.calls)
        service.rules.push_back({ call.method, call.path, call.idempotent, call.hedged });
    service.rules = sorted(std::move(service.rules), specificity);
    return service;
}

AccountConfiguration generateAccount(const AccountAnswers& answers)
{
    return { answers.name, static_cast<double>(answers.weight), static_cast<double>(answers.requestsPerSecond), answers.maximumConcurrent };
}

}

Configuration generate(const Questionnaire& questionnaire)
{
    const auto byName = [](const auto& answers) { return answers.name; };
    Configuration::Builder builder;
    builder.organisation(questionnaire.organisation());
    builder.objective(questionnaire.objective());
    for (FailureDomainId& domain : sorted(questionnaire.failureDomains(), [](const FailureDomainId& id) { return id; }))
        builder.failureDomain(std::move(domain));
    for (const ModelAnswers& model : sorted(questionnaire.models(), byName))
        builder.model(generateModel(model));
    for (const ServiceAnswers& service : sorted(questionnaire.services(), byName))
        builder.service(generateService(service));
    for (const AccountAnswers& account : sorted(questionnaire.accounts(), byName))
        builder.account(generateAccount(account));
    return builder.build();
}

}
