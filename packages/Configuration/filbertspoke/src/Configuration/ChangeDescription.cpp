#include "ChangeDescription.h"

#include <algorithm>
#include <sstream>

namespace filbertspoke {

namespace {

using Sentences = std::vector<std::string>;

template <typename Value>
std::string text(const Value& value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

std::string milliseconds(Duration duration)
{
    return text(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

template <typename Number>
std::string limit(Number number)
{
    return number == 0 ? std::string("no limit") : text(number);
}

void addDifference(Sentences& sentences, const std::string& subject, const std::string& before, const std::string& after)
{
    if (before != after)
        sentences.push_back(subject + " changes from " + before + " to " + after + ".");
}

std::string callText(const RouteRule& rule)
{
    return (rule.method == "*" ? std::string("any method") : rule.method) + " " + rule.pathPrefix;
}

std::string retryText(const RouteRule& rule)
{
    if (rule.hedged)
        return "may be repeated and is needed at once (a second replica is asked when the first is slow)";
    return rule.idempotent ? "may be repeated after a failure" : "runs at most once and needs a key";
}

std::string describeModel(const ModelConfiguration& model)
{
    return "Model " + model.id.str() + ": version " + model.version + ", " + text(model.layers) + " layers, at most " + text(model.maximumTokens) + " tokens an answer, answer within " + milliseconds(model.deadline) + ".";
}

std::string describeAccount(const AccountConfiguration& account)
{
    return "Client account " + account.id.str() + ": share " + text(account.weight) + ", requests a second " + limit(account.requestsPerSecond) + ", requests at once " + limit(account.maximumConcurrent) + ".";
}

void describeRule(Sentences& sentences, const ServiceConfiguration& service, const RouteRule& rule)
{
    sentences.push_back("Service " + service.id.str() + ", " + callText(rule) + " is added: " + retryText(rule) + ".");
}

const RouteRule* findMatchingRule(const ServiceConfiguration& service, const RouteRule& wanted)
{
    const auto rule = std::find_if(service.rules.begin(), service.rules.end(), [&](const RouteRule& candidate) {
        return candidate.method == wanted.method && candidate.pathPrefix == wanted.pathPrefix;
    });
    return rule == service.rules.end() ? nullptr : &*rule;
}

void describeDifferences(Sentences& sentences, const ModelConfiguration& before, const ModelConfiguration& after)
{
    const std::string subject = "Model " + after.id.str() + ": ";
    addDifference(sentences, subject + "version", before.version, after.version);
    addDifference(sentences, subject + "number of layers", text(before.layers), text(after.layers));
    addDifference(sentences, subject + "most tokens an answer", text(before.maximumTokens), text(after.maximumTokens));
    addDifference(sentences, subject + "answer within", milliseconds(before.deadline), milliseconds(after.deadline));
}

void describeDifferences(Sentences& sentences, const ServiceConfiguration& before, const ServiceConfiguration& after)
{
    const std::string subject = "Service " + after.id.str();
    addDifference(sentences, subject + ": answer within", milliseconds(before.deadline), milliseconds(after.deadline));
    for (const RouteRule& rule : after.rules) {
        const RouteRule* previous = findMatchingRule(before, rule);
        if (!previous)
            describeRule(sentences, after, rule);
        else if (*previous != rule)
            sentences.push_back(subject + ", " + callText(rule) + " now " + retryText(rule) + "; before, it " + retryText(*previous) + ".");
    }
    for (const RouteRule& rule : before.rules) {
        if (!findMatchingRule(after, rule))
            sentences.push_back(subject + ", " + callText(rule) + " is removed: such calls are refused unless a wider rule covers them.");
    }
}

void describeDifferences(Sentences& sentences, const AccountConfiguration& before, const AccountConfiguration& after)
{
    const std::string subject = "Client account " + after.id.str() + ": ";
    addDifference(sentences, subject + "share", text(before.weight), text(after.weight));
    addDifference(sentences, subject + "requests a second", limit(before.requestsPerSecond), limit(after.requestsPerSecond));
    addDifference(sentences, subject + "requests at once", limit(before.maximumConcurrent), limit(after.maximumConcurrent));
}

void describeAdded(Sentences& sentences, const ModelConfiguration& model)
{
    sentences.push_back("Added. " + describeModel(model));
}

void describeAdded(Sentences& sentences, const AccountConfiguration& account)
{
    sentences.push_back("Added. " + describeAccount(account));
}

void describeAdded(Sentences& sentences, const ServiceConfiguration& service)
{
    sentences.push_back("Added. Service " + service.id.str() + ": answer within " + milliseconds(service.deadline) + ".");
    for (const RouteRule& rule : service.rules)
        describeRule(sentences, service, rule);
}

template <typename Entry>
const Entry* findById(const std::vector<Entry>& entries, const Entry& wanted)
{
    const auto entry = std::find_if(entries.begin(), entries.end(), [&](const Entry& candidate) { return candidate.id == wanted.id; });
    return entry == entries.end() ? nullptr : &*entry;
}

template <typename Entry>
void describeListDifferences(Sentences& sentences, const std::string& kind, const std::vector<Entry>& before, const std::vector<Entry>& after)
{
    for (const Entry& entry : after) {
        if (const Entry* previous = findById(before, entry))
            describeDifferences(sentences, *previous, entry);
        else
            describeAdded(sentences, entry);
    }
    for (const Entry& entry : before) {
        if (!findById(after, entry))
            sentences.push_back("Removed. " + kind + " " + entry.id.str() + ": requests that name it are refused.");
    }
}

std::string joined(const std::vector<FailureDomainId>& domains)
{
    std::string list;
    for (const FailureDomainId& domain : domains)
        list += (list.empty() ? "" : ", ") + domain.str();
    return list.empty() ? "none" : list;
}

}

std::vector<std::string> describeChange(const Configuration* old, const Configuration& changed)
{
    const Configuration nothing = Configuration::Builder().build();
    const Configuration& before = old ? *old : nothing;
    Sentences sentences;
    addDifference(sentences, "Organisation", before.organisation().empty() ? "none" : before.organisation(), changed.organisation());
    if (!old)
        sentences.push_back("What weighs more is " + std::string(name(changed.objective())) + ".");
    else
        addDifference(sentences, "What weighs more", std::string(name(before.objective())), std::string(name(changed.objective())));
    addDifference(sentences, "The list of failure domains", joined(before.failureDomains()), joined(changed.failureDomains()));
    describeListDifferences(sentences, "Model", before.models(), changed.models());
    describeListDifferences(sentences, "Service", before.services(), changed.services());
    describeListDifferences(sentences, "Client account", before.accounts(), changed.accounts());
    return sentences;
}

}
