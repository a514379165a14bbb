#include <filbertspoke/Proxy>

#include <boost/json.hpp>

#include <algorithm>
#include <cstdint>

namespace filbertspoke {

namespace json = boost::json;

namespace {

using WallClock = std::chrono::system_clock;

std::int64_t unixMs(WallClock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::int64_t inMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Result<EndpointCrash> decodeCrash(const json::value& value, std::int64_t nowMs)
{
    const json::object* object = value.if_object();
    const json::value* endpoint = object ? object->if_contains("endpoint") : nullptr;
    const json::value* startedAt = object ? object->if_contains("startedAtMs") : nullptr;
    const json::value* crashedAt = object ? object->if_contains("crashedAtMs") : nullptr;
    const json::value* held = object ? object->if_contains("heldMs") : nullptr;
    if (!endpoint || !endpoint->is_string() || !startedAt || !startedAt->is_int64() || !crashedAt || !crashedAt->is_int64() || !held || !held->is_int64())
        return make_error_code(ErrorCode::MalformedRecord);
    EndpointCrash crash;
    crash.run = { EndpointId(std::string(endpoint->get_string())), startedAt->get_int64() };
    crash.age = std::chrono::milliseconds(std::max<std::int64_t>(0, nowMs - crashedAt->get_int64()));
    crash.held = std::chrono::milliseconds(held->get_int64());
    return crash;
}

}

StoreRecord encodeQuarantineRecord(const RequestTraitEvidence& evidence, WallClock::time_point now)
{
    json::array crashes;
    for (const EndpointCrash& crash : evidence.crashes)
        crashes.push_back(json::object { { "endpoint", crash.run.endpoint.str() }, { "startedAtMs", crash.run.startedAtMs }, { "crashedAtMs", unixMs(now) - inMs(crash.age) }, { "heldMs", inMs(crash.held) } });
    return { evidence.trait.str(), json::serialize(json::object { { "crashes", std::move(crashes) } }) };
}

Result<RequestTraitEvidence> decodeQuarantineRecord(const StoreRecord& record, WallClock::time_point now)
{
    boost::system::error_code error;
    const json::value value = record.value ? json::parse(*record.value, error) : json::value();
    const json::object* object = value.if_object();
    const json::value* crashes = object ? object->if_contains("crashes") : nullptr;
    if (error || !crashes || !crashes->is_array())
        return make_error_code(ErrorCode::MalformedRecord);
    RequestTraitEvidence evidence;
    evidence.trait = RequestTraitId(record.key);
    evidence.quarantined = true;
    for (const json::value& entry : crashes->get_array()) {
        const auto crash = decodeCrash(entry, unixMs(now));
        if (!crash)
            return crash.error();
        evidence.crashes.push_back(*crash);
    }
    return evidence;
}

}
