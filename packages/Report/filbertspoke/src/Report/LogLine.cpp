#include <filbertspoke/Report>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>

namespace filbertspoke::report {

namespace json = boost::json;

namespace {

constexpr std::int64_t microsecondsPerSecond = 1'000'000;
constexpr std::size_t parseBufferBytes = 16 * 1024;

template <typename Number>
std::optional<Number> parseWhole(std::string_view text)
{
    Number number {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/** \returns the number at the start of the text before the JSON object, in us, or nothing */
std::optional<std::int64_t> parseOffset(std::string_view prefix)
{
    const std::size_t begin = prefix.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return std::nullopt;
    const std::size_t end = prefix.find_first_of(" \t", begin);
    const auto seconds = parseWhole<double>(prefix.substr(begin, end == std::string_view::npos ? end : end - begin));
    if (!seconds || !std::isfinite(*seconds) || std::abs(*seconds) > 1e9)
        return std::nullopt;
    return static_cast<std::int64_t>(std::llround(*seconds * microsecondsPerSecond));
}

std::string textOf(const json::value& value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

/** \returns the line, or nothing when the object lacks a time, a daemon or an event */
std::optional<LogLine> readObject(const json::object& object)
{
    LogLine line;
    std::optional<std::int64_t> time;
    line.fields.reserve(object.size());
    for (const auto& [key, value] : object) {
        const std::string_view name(key.data(), key.size());
        if (name == "time")
            time = parseLogTime(textOf(value));
        else if (name == "daemon")
            line.daemon = textOf(value);
        else if (name == "event")
            line.event = textOf(value);
        else if (name != "level")
            line.fields.emplace_back(name, textOf(value));
    }
    if (!time || line.daemon.empty() || line.event.empty())
        return std::nullopt;
    line.time = *time;
    return line;
}

}

std::string_view LogLine::field(std::string_view name) const
{
    const auto found = std::find_if(this->fields.begin(), this->fields.end(), [name](const auto& field) { return field.first == name; });
    return found == this->fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<std::int64_t> LogLine::number(std::string_view name) const
{
    return parseWhole<std::int64_t>(this->field(name));
}

double LogLine::decimal(std::string_view name) const
{
    const double value = parseWhole<double>(this->field(name)).value_or(0);
    return std::isfinite(value) ? value : 0;
}

std::optional<std::int64_t> parseLogTime(std::string_view text)
{
    // Positions of YYYY-MM-DDTHH:MM:SS and of the fraction behind it.
    constexpr std::size_t wholeSeconds = 19;
    if (text.size() <= wholeSeconds || text.back() != 'Z' || text[4] != '-' || text[7] != '-' || text[10] != 'T' || text[13] != ':' || text[16] != ':')
        return std::nullopt;
    const auto part = [text](std::size_t begin, std::size_t size) { return parseWhole<unsigned>(text.substr(begin, size)); };
    const auto year = part(0, 4), month = part(5, 2), day = part(8, 2), hour = part(11, 2), minute = part(14, 2), second = part(17, 2);
    if (!year || !month || !day || !hour || !minute || !second || *hour > 23 || *minute > 59 || *second > 60)
        return std::nullopt;
    const std::chrono::year_month_day date { std::chrono::year(static_cast<int>(*year)), std::chrono::month(*month), std::chrono::day(*day) };
    if (!date.ok())
        return std::nullopt;
    const std::string_view fraction = text.substr(wholeSeconds, text.size() - wholeSeconds - 1);
    const auto fractionSeconds = fraction.empty() ? std::optional(0.0) : parseWhole<double>(fraction);
    if (!fractionSeconds || *fractionSeconds < 0 || *fractionSeconds >= 1)
        return std::nullopt;
    const std::chrono::seconds whole = std::chrono::sys_days(date).time_since_epoch() + std::chrono::hours(*hour) + std::chrono::minutes(*minute) + std::chrono::seconds(*second);
    return whole.count() * microsecondsPerSecond + std::llround(*fractionSeconds * microsecondsPerSecond);
}

ParsedLine parseLogLine(std::string_view text)
{
    const std::size_t begin = text.find("{\"");
    if (begin == std::string_view::npos)
        return ForeignLine {};
    std::array<unsigned char, parseBufferBytes> buffer;
    json::monotonic_resource memory(buffer.data(), buffer.size());
    boost::system::error_code error;
    const std::size_t end = text.find_last_not_of(" \t\r\n") + 1;
    const json::value value = json::parse(json::string_view(text.data() + begin, end - begin), error, &memory);
    if (error || !value.is_object())
        return DamagedLine {};
    auto line = readObject(value.get_object());
    if (!line)
        return DamagedLine {};
    line->offset = parseOffset(text.substr(0, begin));
    return std::move(*line);
}

}
