#include "Questionnaire.h"
#include "internal/MappingReader.h"

#include <set>

namespace filbertspoke {

namespace {

constexpr std::uint64_t maximumLayers = 10'000;
constexpr std::uint64_t maximumAnswerTokens = 1'000'000;
constexpr std::uint64_t maximumAnswerWithinMs = 3'600'000;
constexpr std::uint64_t maximumShare = 1'000;
constexpr std::uint64_t maximumAccountRequests = 1'000'000;

const std::vector<std::string_view> methodNames = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*" };
const std::vector<std::string_view> objectiveNames = { name(Objective::Throughput), name(Objective::RecoveryTime) };

// Notes a name that an earlier entry of the same list already has.
template <typename Id>
void rejectRepeatedName(internal::MappingReader& entry, std::set<Id>& taken, const Id& id)
{
    if (!taken.insert(id).second)
        entry.note("name", ProblemReason::Contradiction, "names " + id.str() + " a second time; each name stands once");
}

Duration readAnswerWithin(internal::MappingReader& entry)
{
    return std::chrono::milliseconds(entry.integer("answerWithinMs", 1, maximumAnswerWithinMs));
}

ModelAnswers readModel(internal::MappingReader& entry)
{
    ModelAnswers model;
    model.name = ModelId(entry.identifier("name"));
    model.version = entry.text("version");
    model.layers = static_cast<std::uint32_t>(entry.integer("layers", 1, maximumLayers));
    model.longestAnswerTokens = static_cast<std::uint32_t>(entry.integer("longestAnswerTokens", 1, maximumAnswerTokens));
    model.answerWithin = readAnswerWithin(entry);
    entry.rejectUnknownKeys();
    return model;
}

CallAnswers readCall(internal::MappingReader& entry)
{
    CallAnswers call;
    call.what = entry.text("what");
    call.method = methodNames[entry.choice("method", methodNames)];
    call.path = entry.text("path");
    call.mayBeRepeated = entry.boolean("mayBeRepeated");
    call.neededAtOnce = entry.boolean("neededAtOnce", false);
    entry.rejectUnknownKeys();
    if (!call.path.empty() && (call.path.front() != '/' || call.path.find_first_of("?#% \\") != std::string::npos))
        entry.note("path", ProblemReason::OutOfRange, "must start with '/' and hold no space, '%', '?', '#' or '\\'");
    if (call.neededAtOnce && !call.mayBeRepeated)
        entry.note("neededAtOnce", ProblemReason::Contradiction, "asks a second replica when the first is slow, so the call must be one that may be repeated; answer no to one of the two");
    return call;
}

ServiceAnswers readService(internal::MappingReader& entry)
{
    ServiceAnswers service;
    service.name = ServiceId(entry.identifier("name"));
    service.answerWithin = readAnswerWithin(entry);
    std::set<std::pair<std::string, std::string>> seen;
    std::vector<internal::MappingReader> calls = entry.sections("calls", true);
    for (internal::MappingReader& callEntry : calls) {
        CallAnswers call = readCall(callEntry);
        if (!call.path.empty() && !seen.emplace(call.method, call.path).second)
            callEntry.note("path", ProblemReason::Contradiction, "describes " + call.method + " " + call.path + " a second time; keep one answer");
        service.calls.push_back(std::move(call));
    }
    entry.rejectUnknownKeys();
    return service;
}

AccountAnswers readAccount(internal::MappingReader& entry)
{
    AccountAnswers account;
    account.name = AccountId(entry.identifier("name"));
    account.share = static_cast<std::uint32_t>(entry.integer("share", 1, maximumShare, 1));
    account.requestsPerSecond = static_cast<std::uint32_t>(entry.integer("requestsPerSecond", 0, maximumAccountRequests, 0));
    account.requestsAtOnce = static_cast<std::uint32_t>(entry.integer("requestsAtOnce", 0, maximumAccountRequests, 0));
    entry.rejectUnknownKeys();
    return account;
}

void readModels(internal::MappingReader& root, Questionnaire::Builder& builder)
{
    std::set<ModelId> taken;
    std::vector<internal::MappingReader> entries = root.sections("models", false);
    for (internal::MappingReader& entry : entries) {
        ModelAnswers model = readModel(entry);
        rejectRepeatedName(entry, taken, model.name);
        builder.model(std::move(model));
    }
}

void readServices(internal::MappingReader& root, Questionnaire::Builder& builder)
{
    std::set<ServiceId> taken;
    std::vector<internal::MappingReader> entries = root.sections("services", false);
    for (internal::MappingReader& entry : entries) {
        ServiceAnswers service = readService(entry);
        rejectRepeatedName(entry, taken, service.name);
        builder.service(std::move(service));
    }
}

void readAccounts(internal::MappingReader& root, Questionnaire::Builder& builder)
{
    std::set<AccountId> taken;
    std::vector<internal::MappingReader> entries = root.sections("accounts", true);
    for (internal::MappingReader& entry : entries) {
        AccountAnswers account = readAccount(entry);
        rejectRepeatedName(entry, taken, account.name);
        builder.account(std::move(account));
    }
}

void readFailureDomains(internal::MappingReader& root, Questionnaire::Builder& builder)
{
    const std::vector<std::string> names = root.texts("failureDomains", true);
    if (names.empty())
        root.note("failureDomains", ProblemReason::OutOfRange, "must list at least one failure domain");
    std::set<std::string> taken;
    for (const std::string& domain : names) {
        if (!taken.insert(domain).second)
            root.note("failureDomains", ProblemReason::Contradiction, "lists " + domain + " twice");
        builder.failureDomain(FailureDomainId(domain));
    }
}

Questionnaire readQuestionnaire(internal::MappingReader& root)
{
    std::string organisation = root.text("organisation");
    Questionnaire::Builder builder(std::move(organisation), root.identifier("team"));
    builder.weighsMore(static_cast<Objective>(root.choice("weighsMore", objectiveNames)));
    readFailureDomains(root, builder);
    readModels(root, builder);
    readServices(root, builder);
    readAccounts(root, builder);
    if (!root.has("models") && !root.has("services"))
        root.note("services", ProblemReason::MissingKey, "is missing and so is models; name at least one of the two");
    root.rejectUnknownKeys();
    return builder.build();
}

}

std::variant<Questionnaire, std::vector<QuestionnaireProblem>> parseQuestionnaire(std::string_view yaml)
{
    std::vector<QuestionnaireProblem> problems;
    const std::optional<YAML::Node> document = internal::parseDocument(yaml, problems);
    if (!document)
        return problems;
    internal::MappingReader root(*document, {}, 1, problems);
    Questionnaire questionnaire = readQuestionnaire(root);
    if (problems.empty())
        return questionnaire;
    internal::sortProblems(problems);
    return problems;
}

}
