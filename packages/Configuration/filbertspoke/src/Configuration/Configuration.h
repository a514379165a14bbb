#ifndef FILBERTSPOKE_CONFIGURATION_H
#define FILBERTSPOKE_CONFIGURATION_H

#include "AccountConfiguration.h"
#include "ModelConfiguration.h"
#include "ServiceConfiguration.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief The measure that takes precedence where throughput and recovery time conflict. */
enum class Objective {
    Throughput,
    RecoveryTime,
};

/** \returns "throughput" or "recovery-time" */
constexpr std::string_view name(Objective objective)
{
    return objective == Objective::Throughput ? "throughput" : "recovery-time";
}

/** \brief The models, services and client accounts that the daemons serve.
 *
 * It is generated from one questionnaire, or merged from those of all scopes.
 */
class Configuration {
public:
    class Builder;

    const std::string& organisation() const { return this->organisationName; }
    Objective objective() const { return this->chosenObjective; }
    const std::vector<FailureDomainId>& failureDomains() const { return this->failureDomainList; }
    const std::vector<ModelConfiguration>& models() const { return this->modelList; }
    const std::vector<ServiceConfiguration>& services() const { return this->serviceList; }
    const std::vector<AccountConfiguration>& accounts() const { return this->accountList; }

    /** \returns the model, or null when the configuration has none with this id */
    const ModelConfiguration* findModel(const ModelId&) const;
    /** \returns the service, or null when the configuration has none with this id */
    const ServiceConfiguration* findService(const ServiceId&) const;
    /** \returns the client account, or null when the configuration has none with this id */
    const AccountConfiguration* findAccount(const AccountId&) const;

    bool operator==(const Configuration&) const = default;

private:
    Configuration() = default;

    std::string organisationName;
    Objective chosenObjective = Objective::Throughput;
    std::vector<FailureDomainId> failureDomainList;
    std::vector<ModelConfiguration> modelList;
    std::vector<ServiceConfiguration> serviceList;
    std::vector<AccountConfiguration> accountList;
};

/** \brief Builds a Configuration. */
class Configuration::Builder {
public:
    Builder& organisation(std::string name)
    {
        this->configuration.organisationName = std::move(name);
        return *this;
    }
    Builder& objective(Objective objective)
    {
        this->configuration.chosenObjective = objective;
        return *this;
    }
    Builder& failureDomain(FailureDomainId id)
    {
        this->configuration.failureDomainList.push_back(std::move(id));
        return *this;
    }
    Builder& model(ModelConfiguration model)
    {
        this->configuration.modelList.push_back(std::move(model));
        return *this;
    }
    Builder& service(ServiceConfiguration service)
    {
        this->configuration.serviceList.push_back(std::move(service));
        return *this;
    }
    Builder& account(AccountConfiguration account)
    {
        this->configuration.accountList.push_back(std::move(account));
        return *this;
    }
    Configuration build() const { return this->configuration; }

private:
    Configuration configuration;
};

}

#endif
