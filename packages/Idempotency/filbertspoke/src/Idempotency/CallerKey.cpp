#include <filbertspoke/Idempotency>

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>

namespace filbertspoke {

namespace internal {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t timestampBytes = 6; // RFC 9562: Unix time in milliseconds, big endian

bool isCanonicalUuid(std::string_view text)
{
    if (text.size() != uuidLength)
        return false;
    for (std::size_t i = 0; i < uuidLength; ++i) {
        const bool hyphen = i == 8 || i == 13 || i == 18 || i == 23;
        const bool digit = std::string_view("0123456789abcdefABCDEF").find(text[i]) != std::string_view::npos;
        if (hyphen ? text[i] != '-' : !digit)
            return false;
    }
    return true;
}

}

Result<CallerKey> CallerKey::parse(std::string_view text)
{
    if (!internal::isCanonicalUuid(text) || text[internal::versionPosition] != '7')
        return ErrorCode::MalformedKey;
    const boost::uuids::uuid uuid = boost::uuids::string_generator()(text.begin(), text.end());
    if (uuid.variant() != boost::uuids::uuid::variant_rfc_4122)
        return ErrorCode::MalformedKey;
    std::int64_t milliseconds = 0;
    std::for_each_n(uuid.begin(), internal::timestampBytes, [&](std::uint8_t byte) {
        milliseconds = (milliseconds << 8) | byte;
    });
    return CallerKey(boost::uuids::to_string(uuid), WallTime(std::chrono::milliseconds(milliseconds)));
}

std::string CallerKey::lowerBound(WallTime time)
{
    const std::int64_t milliseconds = std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(time.time_since_epoch()).count());
    boost::uuids::uuid uuid {};
    for (std::size_t i = 0; i < internal::timestampBytes; ++i)
        uuid.data[i] = static_cast<std::uint8_t>(milliseconds >> (8 * (internal::timestampBytes - 1 - i)));
    return boost::uuids::to_string(uuid);
}

}
