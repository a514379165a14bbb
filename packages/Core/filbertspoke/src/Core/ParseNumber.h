#ifndef FILBERTSPOKE_PARSE_NUMBER_H
#define FILBERTSPOKE_PARSE_NUMBER_H

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace filbertspoke {

/** \returns the parsed number, or nothing unless the whole text is a number in range */
template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

}

#endif
