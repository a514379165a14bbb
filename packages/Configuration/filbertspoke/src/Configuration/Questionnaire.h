#ifndef FILBERTSPOKE_QUESTIONNAIRE_H
#define FILBERTSPOKE_QUESTIONNAIRE_H

#include "Configuration.h"
#include "DocumentProblem.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief Answers about one model. */
struct ModelAnswers {
    ModelId name;
    std::string version;
    std::uint32_t layers = 0;
    std::uint32_t maximumTokens = 0; ///< key "longestAnswerTokens"
    Duration deadline {}; ///< key "answerWithinMs"

    auto operator<=>(const ModelAnswers&) const = default;
};

/** \brief Answers about one kind of call to a plain service. */
struct CallAnswers {
    std::string description; ///< key "what": a description for readers, for example "book parts"
    std::string method;
    std::string path; ///< path prefix: covers this path and all paths below it
    bool idempotent = false; ///< key "mayBeRepeated": the call may be retried after a failure
    bool hedged = false; ///< key "neededAtOnce": a second replica gets the call when the first is slow

    auto operator<=>(const CallAnswers&) const = default;
};

/** \brief Answers about one plain service. */
struct ServiceAnswers {
    ServiceId name;
    Duration deadline {}; ///< key "answerWithinMs"
    std::vector<CallAnswers> calls;

    auto operator<=>(const ServiceAnswers&) const = default;
};

/** \brief Answers about one client account. */
struct AccountAnswers {
    AccountId name;
    std::uint32_t weight = 1; ///< key "share": relative to the other accounts
    std::uint32_t requestsPerSecond = 0; ///< 0 means no limit
    std::uint32_t maximumConcurrent = 0; ///< key "requestsAtOnce"; 0 means no limit

    auto operator<=>(const AccountAnswers&) const = default;
};

/** \brief A team's answers, from which its configuration is generated. */
class Questionnaire {
public:
    class Builder;

    const std::string& organisation() const { return this->organisationName; }
    /** \returns the team, which is the scope of the configuration; each team changes its own scope only */
    const std::string& team() const { return this->teamName; }
    /** \returns the answer to the key "weighsMore" */
    Objective objective() const { return this->chosenObjective; }
    const std::vector<FailureDomainId>& failureDomains() const { return this->failureDomainList; }
    const std::vector<ModelAnswers>& models() const { return this->modelList; }
    const std::vector<ServiceAnswers>& services() const { return this->serviceList; }
    const std::vector<AccountAnswers>& accounts() const { return this->accountList; }

    bool operator==(const Questionnaire&) const = default;

private:
    Questionnaire() = default;

    std::string organisationName;
    std::string teamName;
    Objective chosenObjective = Objective::Throughput;
    std::vector<FailureDomainId> failureDomainList;
    std::vector<ModelAnswers> modelList;
    std::vector<ServiceAnswers> serviceList;
    std::vector<AccountAnswers> accountList;
};

/** \brief Builds a Questionnaire. */
class Questionnaire::Builder {
public:
    Builder(std::string organisation, std::string team)
    {
        this->questionnaire.organisationName = std::move(organisation);
        this->questionnaire.teamName = std::move(team);
    }

    Builder& objective(Objective objective)
    {
        this->questionnaire.chosenObjective = objective;
        return *this;
    }
    Builder& failureDomain(FailureDomainId id)
    {
        this->questionnaire.failureDomainList.push_back(std::move(id));
        return *this;
    }
    Builder& model(ModelAnswers answers)
    {
        this->questionnaire.modelList.push_back(std::move(answers));
        return *this;
    }
    Builder& service(ServiceAnswers answers)
    {
        this->questionnaire.serviceList.push_back(std::move(answers));
        return *this;
    }
    Builder& account(AccountAnswers answers)
    {
        this->questionnaire.accountList.push_back(std::move(answers));
        return *this;
    }
    Questionnaire build() const { return this->questionnaire; }

private:
    Questionnaire questionnaire;
};

using QuestionnaireProblem = DocumentProblem;

/** \brief Parses and validates a questionnaire.
 *
 * \returns the answers, or all problems sorted by line
 */
std::variant<Questionnaire, std::vector<QuestionnaireProblem>> parseQuestionnaire(std::string_view yaml);

/** \brief Generates the configuration. Equal answers give equal configurations, independent of their order. */
Configuration generate(const Questionnaire&);

}

#endif
