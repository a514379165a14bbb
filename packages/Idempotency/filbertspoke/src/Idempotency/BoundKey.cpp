#include <filbertspoke/Idempotency>

#include <charconv>
#include <optional>

namespace filbertspoke {

namespace internal {

constexpr std::string_view boundPrefix = "bound.";

// Takes a decimal number and the dot behind it off the front of the text.
std::optional<std::uint64_t> takeNumber(std::string_view& text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0 || text.front() == '0')
        return std::nullopt;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + dot, number);
    if (error != std::errc() || end != text.data() + dot)
        return std::nullopt;
    text.remove_prefix(dot + 1);
    return number;
}

}

std::string BoundKey::str() const
{
    return std::string(internal::boundPrefix) + std::to_string(this->incarnation) + '.' + std::to_string(this->serial) + '.' + this->daemon.str();
}

bool BoundKey::hasBoundPrefix(std::string_view text)
{
    return text.starts_with(internal::boundPrefix);
}

Result<BoundKey> BoundKey::parse(std::string_view text)
{
    if (!hasBoundPrefix(text))
        return ErrorCode::MalformedKey;
    text.remove_prefix(internal::boundPrefix.size());
    const auto incarnation = internal::takeNumber(text);
    const auto serial = incarnation ? internal::takeNumber(text) : std::nullopt;
    if (!serial || text.empty())
        return ErrorCode::MalformedKey;
    return BoundKey { DaemonId(std::string(text)), *incarnation, *serial };
}

}
