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

/** \brief Answers on one model. */
struct ModelAnswers {
    ModelId name;
    std::string version;
    std::uint32_t layers = 0;
    std::uint32_t longestAnswerTokens = 0;
    Duration answerWithin {};

    auto operator<=>(const ModelAnswers&) const = default;
};

/** \brief Answers on one kind of call to a plain service. */
struct CallAnswers {
    std::string what; ///< for the reader, for example "book parts"
    std::string method;
    std::string path; ///< the call itself and everything below it
    bool mayBeRepeated = false;
    bool neededAtOnce = false;

    auto operator<=>(const CallAnswers&) const = default;
};

/** \brief Answers on one plain service. */
struct ServiceAnswers {
    ServiceId name;
    Duration answerWithin {};
    std::vector<CallAnswers> calls;

    auto operator<=>(const ServiceAnswers&) const = default;
};

/** \brief Answers on one client account. */
struct AccountAnswers {
    AccountId name;
    std::uint32_t share = 1; ///< relative to the other accounts
    std::uint32_t requestsPerSecond = 0; ///< 0 for no limit
    std::uint32_t requestsAtOnce = 0; ///< 0 for no limit

    auto operator<=>(const AccountAnswers&) const = default;
};

/** \brief A team's answers, from which its configuration is generated. */
class Questionnaire {
public:
    class Builder;

    const std::string& organisation() const { return this->organisationName; }
    /** \returns the scope that the configuration belongs to; each team changes its own */
    const std::string& team() const { return this->teamName; }
    Objective weighsMore() const { return this->objective; }
    const std::vector<FailureDomainId>& failureDomains() const { return this->failureDomainList; }
    const std::vector<ModelAnswers>& models() const { return this->modelList; }
    const std::vector<ServiceAnswers>& services() const { return this->serviceList; }
    const std::vector<AccountAnswers>& accounts() const { return this->accountList; }

    bool operator==(const Questionnaire&) const = default;

private:
    Questionnaire() = default;

    std::string organisationName;
    std::string teamName;
    Objective objective = Objective::Throughput;
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

    Builder& weighsMore(Objective objective)
    {
        this->questionnaire.objective = objective;
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

/** \brief Reads a questionnaire and checks it whole.
 *
 * \returns the answers, or everything that a person has to mend, in the order of the lines
 */
std::variant<Questionnaire, std::vector<QuestionnaireProblem>> parseQuestionnaire(std::string_view yaml);

/** \brief Generates the configuration. Equal answers give equal configurations, whatever their order. */
Configuration generate(const Questionnaire&);

}

#endif
