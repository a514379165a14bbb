#include "ConfigurationJson.h"
#include "internal/Sha256.h"

#include <cmath>

#include <boost/json.hpp>

namespace filbertspoke {

namespace json = boost::json;

namespace {

constexpr double largestExactInteger = 9'007'199'254'740'992; // 2^53

// Writes whole numbers without an exponent, which is easier to read in an audit.
json::value numberJson(double number)
{
    if (number >= 0 && number < largestExactInteger && std::floor(number) == number)
        return static_cast<std::uint64_t>(number);
    return number;
}

json::object modelJson(const ModelConfiguration& model)
{
    return {
        { "id", model.id.str() },
        { "version", model.version },
        { "layers", model.layers },
        { "maximumTokens", model.maximumTokens },
        { "deadlineMicroseconds", model.deadline.count() },
    };
}

json::object ruleJson(const RouteRule& rule)
{
    return {
        { "method", rule.method },
        { "pathPrefix", rule.pathPrefix },
        { "idempotent", rule.idempotent },
        { "hedged", rule.hedged },
    };
}

json::object serviceJson(const ServiceConfiguration& service)
{
    json::array rules;
    for (const RouteRule& rule : service.rules)
        rules.push_back(ruleJson(rule));
    return {
        { "id", service.id.str() },
        { "deadlineMicroseconds", service.deadline.count() },
        { "rules", std::move(rules) },
    };
}

json::object accountJson(const AccountConfiguration& account)
{
    return {
        { "id", account.id.str() },
        { "weight", numberJson(account.weight) },
        { "requestsPerSecond", numberJson(account.requestsPerSecond) },
        { "maximumConcurrent", account.maximumConcurrent },
    };
}

template <typename Entries, typename ToJson>
json::array arrayJson(const Entries& entries, ToJson toJson)
{
    json::array array;
    for (const auto& entry : entries)
        array.push_back(toJson(entry));
    return array;
}

std::string readText(const json::object& object, std::string_view key)
{
    return json::value_to<std::string>(object.at(key));
}

Duration readDuration(const json::object& object)
{
    return Duration(object.at("deadlineMicroseconds").to_number<std::int64_t>());
}

ModelConfiguration readModel(const json::object& object)
{
    ModelConfiguration model;
    model.id = ModelId(readText(object, "id"));
    model.version = readText(object, "version");
    model.layers = object.at("layers").to_number<std::uint32_t>();
    model.maximumTokens = object.at("maximumTokens").to_number<std::uint32_t>();
    model.deadline = readDuration(object);
    return model;
}

ServiceConfiguration readService(const json::object& object)
{
    ServiceConfiguration service;
    service.id = ServiceId(readText(object, "id"));
    service.deadline = readDuration(object);
    for (const json::value& entry : object.at("rules").as_array()) {
        const json::object& rule = entry.as_object();
        service.rules.push_back({ readText(rule, "method"), readText(rule, "pathPrefix"), rule.at("idempotent").as_bool(), rule.at("hedged").as_bool() });
    }
    return service;
}

AccountConfiguration readAccount(const json::object& object)
{
    AccountConfiguration account;
    account.id = AccountId(readText(object, "id"));
    account.weight = object.at("weight").to_number<double>();
    account.requestsPerSecond = object.at("requestsPerSecond").to_number<double>();
    account.maximumConcurrent = object.at("maximumConcurrent").to_number<std::uint32_t>();
    return account;
}

Configuration readConfiguration(const json::object& object)
{
    Configuration::Builder builder;
    builder.organisation(readText(object, "organisation"));
    const std::string objective = readText(object, "objective");
    builder.objective(objective == name(Objective::RecoveryTime) ? Objective::RecoveryTime : Objective::Throughput);
    for (const json::value& domain : object.at("failureDomains").as_array())
        builder.failureDomain(FailureDomainId(json::value_to<std::string>(domain)));
    for (const json::value& model : object.at("models").as_array())
        builder.model(readModel(model.as_object()));
    for (const json::value& service : object.at("services").as_array())
        builder.service(readService(service.as_object()));
    for (const json::value& account : object.at("accounts").as_array())
        builder.account(readAccount(account.as_object()));
    return builder.build();
}

}

std::string configurationJson(const Configuration& configuration)
{
    const json::object object = {
        { "organisation", configuration.organisation() },
        { "objective", name(configuration.objective()) },
        { "failureDomains", arrayJson(configuration.failureDomains(), [](const FailureDomainId& id) { return json::value(id.str()); }) },
        { "models", arrayJson(configuration.models(), modelJson) },
        { "services", arrayJson(configuration.services(), serviceJson) },
        { "accounts", arrayJson(configuration.accounts(), accountJson) },
    };
    return json::serialize(object);
}

Result<Configuration> parseConfiguration(std::string_view text)
{
    try {
        return readConfiguration(json::parse(text).as_object());
    } catch (const std::exception&) {
        return make_error_code(ErrorCode::MalformedRecord);
    }
}

std::string configurationHash(const Configuration& configuration)
{
    return internal::sha256(configurationJson(configuration));
}

}
