#include "PlatformCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <exception>
#include <functional>
#include <utility>

namespace filbertspoke::internal {

namespace json = boost::json;

namespace {

std::string stringField(const json::object& object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

bool flagField(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->as_bool();
}

EndpointRole decodeRole(const json::object& role)
{
    if (role.contains("service"))
        return ServiceRole { ServiceId(stringField(role, "service")) };
    const json::array& layers = role.at("layers").as_array();
    const LayerRange range(layers.at(0).to_number<std::uint32_t>(), layers.at(1).to_number<std::uint32_t>());
    return EngineRole { ModelId(stringField(role, "model")), stringField(role, "version"), range };
}

Endpoint decodeEndpoint(const json::object& entry)
{
    return Endpoint::Builder(EndpointId(stringField(entry, "id")))
        .host(HostId(stringField(entry, "host")))
        .address(stringField(entry, "address"), entry.at("port").to_number<std::uint16_t>())
        .failureDomain(FailureDomainId(stringField(entry, "failureDomain")))
        .accelerator(AcceleratorId(stringField(entry, "accelerator")))
        .role(decodeRole(entry.at("role").as_object()))
        .checksFencing(flagField(entry, "checksFencing"))
        .build();
}

ListedDaemon decodeDaemon(const json::object& entry)
{
    return {
        DaemonId(stringField(entry, "id")),
        FailureDomainId(stringField(entry, "failureDomain")),
        stringField(entry, "address"),
        entry.at("port").to_number<std::uint16_t>(),
    };
}

void decodeHostEntry(const json::object& entry, std::vector<ListedHost>& hosts)
{
    const std::string kind = stringField(entry, "kind");
    if (kind == "endpoint")
        hosts.push_back({ decodeEndpoint(entry), flagField(entry, "leaving") });
    if (kind == "daemon")
        hosts.push_back({ decodeDaemon(entry), flagField(entry, "leaving") });
}

// Boost.JSON throws on a missing field or a value of another type; the exception becomes MalformedMessage.
template <typename Value>
Result<Value> decode(const std::string& body, const std::function<Value(const json::value&)>& convert)
{
    try {
        return convert(json::parse(body));
    } catch (const std::exception&) {
        return make_error_code(ErrorCode::MalformedMessage);
    }
}

}

std::string encodeAppend(const AppendRecords& append)
{
    json::array payloads;
    for (const std::string& payload : append.payloads)
        payloads.emplace_back(payload);
    return json::serialize(json::object { { "payloads", std::move(payloads) } });
}

Result<LogOffset> decodeAppendResponse(const std::string& body)
{
    return decode<LogOffset>(body, [](const json::value& message) { return message.at("first").to_number<LogOffset>(); });
}

Result<RecordsRead> decodeRecords(const std::string& stream, const std::string& body)
{
    return decode<RecordsRead>(body, [&](const json::value& message) {
        RecordsRead read;
        read.stream = stream;
        read.oldest = message.at("oldest").to_number<LogOffset>();
        read.next = message.at("next").to_number<LogOffset>();
        for (const json::value& record : message.at("records").as_array())
            read.records.push_back({ stream, record.at("offset").to_number<LogOffset>(), stringField(record.as_object(), "payload") });
        return read;
    });
}

Result<HostsListed> decodeHosts(const std::string& body)
{
    return decode<HostsListed>(body, [](const json::value& message) {
        HostsListed listed;
        for (const json::value& entry : message.as_array()) {
            try {
                decodeHostEntry(entry.as_object(), listed.hosts);
            } catch (const std::exception&) {
                continue;
            }
        }
        return listed;
    });
}

}
