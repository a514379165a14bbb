#include "Questionnaire.h"
#include "internal/MappingReader.h"

#include <set>

namespace filbertspoke {

namespace {

constexpr std::uint64_t maximumLayers = 10'000;
constexpr std::uint64_t maximumAnswerTokens = 1'000'000;
constexpr std::uint64_t maximumDeadlineMs = 3'600'000;
constexpr std::uint64_t maximumWeight = 1'000;
constexpr std::uint64_t maximumAccountRequests = 1'000'000;

const std::vector<std::string_view> methodNames = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*" };
const std::vector<std::string_view> objectiveNames = { name(Objective::Throughput), name(Objective::RecoveryTime) };

// Reports a name that an earlier entry of the same list already has.
template <typename Id>
void reportDuplicateName(internal::MappingReader& entry, std::set<Id>& seen, const Id& id)
{
    if (!seen.insert(id).second)
        entry.addProblem("name", ProblemReason::Contradiction, "repeats the name " + id.str() + "; names must be unique in a list");
}

Duration readDeadline(internal::MappingReader& entry)
{
    return std::chrono::milliseconds(entry.integer("answerWithinMs", 1, maximumDeadlineMs));
}

ModelAnswers readModel(internal::MappingReader& entry)
{
    ModelAnswers model;
    model.name = ModelId(entry.identifier("name"));
    model.version = entry.text("version");
    model.layers = static_cast<std::uint32_t>(entry.integer("layers", 1, maximumLayers));
    model.maximumTokens = static_cast<std::uint32_t>(entry.integer("longestAnswerTokens", 1, maximumAnswerTokens));
    model.deadline = readDeadline(entry);
    entry.reportUnknownKeys();
    return model;
}

CallAnswers readCall(internal::MappingReader& entry)
{
    CallAnswers call;
    call.description = entry.text("what");
    call.method = methodNames[entry.choice("method", methodNames)];
    call.path = entry.text("path");
    call.idempotent = entry.boolean("mayBeRepeated");
    call.hedged = entry.boolean("neededAtOnce", false);
    entry.reportUnknownKeys();
    if (!call.path.empty() && (call.path.front() != '/' || call.path.find_first_of("?#% \\") != std::string::npos))
        entry.addProblem("path", ProblemReason::OutOfRange, "must start with '/' and must not contain a space, '%', '?', '#' or '\\'");
    if (call.hedged && !call.idempotent)
        entry.addProblem("neededAtOnce", ProblemReason::Contradiction, "sends the call to a second replica when the first is slow, which requires a call that may be repeated; answer no unless the call is safe to repeat");
    return call;
}

ServiceAnswers readService(internal::MappingReader& entry)
{
    ServiceAnswers service;
    service.name = ServiceId(entry.identifier("name"));
    service.deadline = readDeadline(entry);
    std::set<std::pair<std::string, std::string>> seen;
    std::vector<internal::MappingReader> calls = entry.sections("calls", true);
    for (internal::MappingReader& callEntry : calls) {
        CallAnswers call = readCall(callEntry);
        if (!call.path.empty() && !seen.emplace(call.method, call.path).second)
            callEntry.addProblem("path", ProblemReason::Contradiction, "describes " + call.method + " " + call.path + " twice; remove one of the two entries");
        service.calls.push_back(std::move(call));
    }
    entry.reportUnknownKeys();
    return service;
}

AccountAnswers readAccount(internal::MappingReader& entry)
{
    AccountAnswers account;
    account.name = AccountId(entry.identifier("name"));
    account.weight = static_cast<std::uint32_t>(entry.integer("share", 1, maximumWeight, 1));
    account.requestsPerSecond = static_cast<std::uint32_t>(entry.integer("requestsPerSecond", 0, maximumAccountRequests, 0));
    account.maximumConcurrent = static_cast<std::uint32_t>(entry.integer("requestsAtOnce", 0, maximumAccountRequests, 0));
    entry.reportUnknownKeys();
    return account;
}

void readModels(internal::MappingReader& root, Questionnaire::Builder& builder)
{
    std::set<ModelId> seen;
    std::vector<internal::MappingReader> entries = root.sections("models", false);
    for (internal::MappingReader& entry : entries) {
        ModelAnswers model = readModel(entry);
        reportDuplicateName(entry, seen, model.name);
        builder.model(std::move(model));
    }
}

void readServices(internal::MappingReader& root, Questionnaire::Builder& builder)
{
    std::set<ServiceId> seen;
    std::vector<internal::MappingReader> entries = root.sections("services", false);
    for (internal::MappingReader& entry : entries) {
        ServiceAnswers service = readService(entry);
        reportDuplicateName(entry, seen, service.name);
        builder.service(std::move(service));
    }
}

void readAccounts(internal::MappingReader& root, Questionnaire::Builder& builder)
{
    std::set<AccountId> seen;
    std::vector<internal::MappingReader> entries = root.sections("accounts", true);
    for (internal::MappingReader& entry : entries) {
        AccountAnswers account = readAccount(entry);
        reportDuplicateName(entry, seen, account.name);
        builder.account(std::move(account));
    }
}

void readFailureDomains(internal::MappingReader& root, Questionnaire::Builder& builder)
{
    const std::vector<std::string> names = root.texts("failureDomains", true);
    if (names.empty())
        root.addProblem("failureDomains", ProblemReason::OutOfRange, "must list at least one failure domain");
    std::set<std::string> seen;
    for (const std::string& domain : names) {
        if (!seen.insert(domain).second)
            root.addProblem("failureDomains", ProblemReason::Contradiction, "lists " + domain + " twice");
        builder.failureDomain(FailureDomainId(domain));
    }
}

Questionnaire readQuestionnaire(internal::MappingReader& root)
{
    std::string organisation = root.text("organisation");
    Questionnaire::Builder builder(std::move(organisation), root.identifier("team"));
    builder.objective(static_cast<Objective>(root.choice("weighsMore", objectiveNames)));
    readFailureDomains(root, builder);
    readModels(root, builder);
    readServices(root, builder);
    readAccounts(root, builder);
    if (!root.has("models") && !root.has("services"))
        root.addProblem("services", ProblemReason::MissingKey, "and models are both missing; at least one of the two is required");
    root.reportUnknownKeys();
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
