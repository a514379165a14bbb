#include <filbertspoke/Idempotency>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <openssl/evp.h>

#include <stdexcept>

namespace filbertspoke {

namespace internal {

namespace json = boost::json;

constexpr std::int64_t keyRecordVersion = 1;

constexpr std::size_t base64GroupCharacters = 4; // characters that encode three bytes

// Response bodies are arbitrary bytes, while JSON strings must be valid UTF-8.
std::string toBase64(const std::string& bytes)
{
    std::string text(base64GroupCharacters * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string fromBase64(const std::string& text)
{
    std::string bytes(3 * text.size() / base64GroupCharacters + 1, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1
                                                                               : 0;
    if (size < 0 || static_cast<std::size_t>(size) < padding)
        throw std::invalid_argument("not base64");
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

json::object attemptFields(const KeyAttempt& attempt, std::string_view kind)
{
    return {
        { "kind", kind },
        { "key", attempt.key },
        { "attempt", attempt.number },
        { "daemon", attempt.holder.daemon.str() },
        { "incarnation", attempt.holder.incarnation },
    };
}

json::object toJson(const ClaimRecord& record)
{
    json::object object = attemptFields(record.attempt, "claim");
    object["digest"] = record.digest;
    object["until"] = record.startDeadline.time_since_epoch().count();
    return object;
}

json::object toJson(const ReleaseRecord& record)
{
    return attemptFields(record.attempt, "release");
}

json::object toJson(const OutcomeRecord& record)
{
    json::object object = attemptFields(record.attempt, "outcome");
    object["status"] = record.outcome.status;
    object["contentType"] = toBase64(record.outcome.contentType);
    object["body"] = toBase64(record.outcome.body);
    object["bodyDropped"] = record.outcome.bodyDropped;
    return object;
}

json::object toJson(const UnknownRecord& record)
{
    return attemptFields(record.attempt, "unknown");
}

json::object toJson(const UnsupportedRecord& record)
{
    return { { "version", keyRecordVersion + 1 }, { "key", record.key } };
}

json::object toJson(const MarkerRecord&)
{
    return { { "kind", "mark" } };
}

std::string textOf(const json::object& object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

WallTime timeOf(const json::object& object, std::string_view name)
{
    return WallTime(Duration(object.at(name).to_number<std::int64_t>()));
}

KeyAttempt attemptOf(const json::object& object)
{
    return {
        textOf(object, "key"),
        object.at("attempt").to_number<std::uint32_t>(),
        { DaemonId(textOf(object, "daemon")), object.at("incarnation").to_number<std::uint64_t>() },
    };
}

StoredOutcome outcomeOf(const json::object& object)
{
    return {
        object.at("status").to_number<std::uint32_t>(),
        fromBase64(textOf(object, "contentType")),
        fromBase64(textOf(object, "body")),
        object.at("bodyDropped").as_bool(),
    };
}

Result<KeyRecordBody> bodyOf(const json::object& object)
{
    if (object.at("version").to_number<std::int64_t>() != keyRecordVersion) {
        const json::value* key = object.if_contains("key");
        if (!key || !key->is_string())
            return ErrorCode::UnsupportedVersion;
        return KeyRecordBody(UnsupportedRecord { textOf(object, "key") });
    }
    const std::string kind = textOf(object, "kind");
    if (kind == "mark")
        return KeyRecordBody(MarkerRecord {});
    const KeyAttempt attempt = attemptOf(object);
    if (kind == "claim")
        return KeyRecordBody(ClaimRecord { attempt, textOf(object, "digest"), timeOf(object, "until") });
    if (kind == "release")
        return KeyRecordBody(ReleaseRecord { attempt });
    if (kind == "outcome")
        return KeyRecordBody(OutcomeRecord { attempt, outcomeOf(object) });
    if (kind == "unknown")
        return KeyRecordBody(UnknownRecord { attempt });
    return ErrorCode::MalformedRecord;
}

Result<KeyRecord> recordOf(const json::object& object)
{
    const Result<KeyRecordBody> body = bodyOf(object);
    if (!body)
        return body.error();
    const bool readable = !std::holds_alternative<UnsupportedRecord>(*body);
    if (!readable)
        return KeyRecord { WallTime(), 0, *body };
    return KeyRecord { timeOf(object, "at"), object.at("readUpTo").to_number<LogOffset>(), *body };
}

}

StoredOutcome dropLargeBody(StoredOutcome outcome, std::size_t maximumBodyBytes)
{
    if (outcome.body.size() + outcome.contentType.size() <= maximumBodyBytes)
        return outcome;
    return { outcome.status, "", "", true };
}

const std::string* keyOf(const KeyRecord& record)
{
    return std::visit(Overloaded {
                          [](const UnsupportedRecord& body) { return &body.key; },
                          [](const MarkerRecord&) -> const std::string* { return nullptr; },
                          [](const auto& body) { return &body.attempt.key; },
                      },
        record.body);
}

std::string encodeKeyRecord(const KeyRecord& record)
{
    auto object = std::visit([](const auto& body) { return internal::toJson(body); }, record.body);
    if (!object.contains("version"))
        object["version"] = internal::keyRecordVersion;
    object["at"] = record.createdAt.time_since_epoch().count();
    object["readUpTo"] = record.readUpTo;
    return boost::json::serialize(object);
}

Result<KeyRecord> decodeKeyRecord(const std::string& payload)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(payload, error);
    if (error || !value.is_object())
        return ErrorCode::MalformedRecord;
    try {
        return internal::recordOf(value.get_object());
    } catch (const std::exception&) {
        // Thrown if a member is missing, has the wrong type, is out of range or is invalid base64.
        return ErrorCode::MalformedRecord;
    }
}

}
