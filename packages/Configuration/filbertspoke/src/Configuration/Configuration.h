#ifndef FILBERTSPOKE_CONFIGURATION_H
#define FILBERTSPOKE_CONFIGURATION_H

#include "AccountConfiguration.h"
#include "ModelConfiguration.h"
#include "ServiceConfiguration.h"

#include <string>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief The configuration generated from one questionnaire: what the daemons serve, and to whom. */
class Configuration {
public:
    class Builder;

    const std::string& organisation() const { return this->organisationName; }
    const std::vector<ModelConfiguration>& models() const { return this->modelList; }
    const std::vector<ServiceConfiguration>& services() const { return this->serviceList; }
    const std::vector<AccountConfiguration>& accounts() const { return this->accountList; }

    /** \returns the model, or null when the configuration doesn't name it */
    const ModelConfiguration* findModel(const ModelId&) const;
    /** \returns the service, or null when the configuration doesn't name it */
    const ServiceConfiguration* findService(const ServiceId&) const;
    /** \returns the client account, or null when the configuration doesn't name it */
    const AccountConfiguration* findAccount(const AccountId&) const;

    bool operator==(const Configuration&) const = default;

private:
    Configuration() = default;

    std::string organisationName;
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
