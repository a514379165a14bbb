#include <filbertspoke/PlatformTesting>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace json = boost::json;

namespace {

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift & 0xff);
    return text;
}

std::string base64(const std::string& bytes)
{
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

HttpResponse respond(unsigned status, std::string body = {})
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

}

StoreStandIn::StoreStandIn(boost::asio::io_context& context, const HttpAddress& address)
    : server(context, address, [this, &context](HttpRequest request) -> boost::asio::awaitable<std::optional<HttpResponse>> {
        // Reads that wait for records are paced here, so that a follower doesn't spin.
        boost::asio::steady_timer pace(context);
        do {
            pace.expires_after(std::chrono::milliseconds(5));
            co_await pace.async_wait(boost::asio::use_awaitable);
        } while (this->silent);
        ++this->answered;
        co_return this->respondWithEra(request);
    })
{
}

void StoreStandIn::put(const std::string& topic, const std::string& key, std::optional<std::string> value)
{
    this->topics[topic].emplace_back(key, std::move(value));
}

void StoreStandIn::renewEndpoint(const std::string& id, const std::string& text)
{
    this->putEndpoint(id, text);
    ++this->heartbeats;
}

void StoreStandIn::setAway(bool value)
{
    this->away = value;
}

std::map<std::string, std::vector<StoreStandIn::Record>> StoreStandIn::restartFromCopy(std::size_t lost)
{
    std::map<std::string, std::vector<Record>> lostRecords;
    for (auto& [topic, records] : this->topics) {
        const std::size_t all = lost + (topic == "keyed.servers" ? this->heartbeats : 0);
        const auto begin = records.end() - static_cast<std::ptrdiff_t>(std::min(all, records.size()));
        lostRecords[topic].assign(begin, records.end());
        records.erase(begin, records.end());
    }
    this->heartbeats = 0;
    this->holder.clear();
    this->heldUntil = {};
    this->generation = 0;
    ++this->era;
    return lostRecords;
}

HttpResponse StoreStandIn::respondWithEra(const HttpRequest& request)
{
    HttpResponse response = this->answer(request);
    response.headers.push_back({ "Store-Era", std::to_string(this->era) });
    return response;
}

HttpResponse StoreStandIn::answer(const HttpRequest& request)
{
    if (this->away)
        return respond(503);
    const std::string path = targetPath(request);
    auto query = targetQuery(request);
    const auto topic = this->topics.find(query["Topic"]);
    const std::vector<Record> records = topic == this->topics.end() ? std::vector<Record> {} : topic->second;
    if (path == "/filbertspoke/log-newest")
        return this->newest(records);
    if (path == "/filbertspoke/log-read")
        return read(records, std::stoul(query["From"]));
    if (path == "/filbertspoke/log-join")
        return this->join(json::parse(request.body).as_object());
    if (path == "/filbertspoke/log-append")
        return this->append(query["Topic"], request.body);
    return respond(404);
}

HttpResponse StoreStandIn::append(const std::string& topic, std::string_view records)
{
    constexpr std::size_t lengthBytes = 4;
    while (topic.starts_with("keyed.") && records.size() > lengthBytes) {
        std::size_t size = 0;
        for (const char byte : records.substr(0, lengthBytes))
            size = size << 8 | static_cast<unsigned char>(byte);
        const std::string_view content = records.substr(lengthBytes, size);
        const std::size_t keySize = static_cast<unsigned char>(content.front());
        const std::string_view value = content.substr(1 + keySize);
        this->put(topic, std::string(content.substr(1, keySize)), value.empty() ? std::nullopt : std::optional(std::string(value)));
        records.remove_prefix(lengthBytes + content.size());
    }
    return respond(200, R"({"Offset":0,"EndOffset":0})");
}

HttpResponse StoreStandIn::join(const json::object& request)
{
    const std::string member(request.at("Member").as_string());
    const auto now = std::chrono::steady_clock::now();
    if (member != this->holder && now >= this->heldUntil) {
        this->holder = member;
        ++this->generation;
    }
    json::object answer { { "Generation", this->generation }, { "parts", json::array() } };
    if (member == this->holder) {
        this->heldUntil = now + std::chrono::milliseconds(request.at("TtlMs").to_number<std::int64_t>());
        answer["parts"] = json::array { json::array { request.at("Topics").as_array().front(), 0, 0 } };
    }
    return respond(200, json::serialize(answer));
}

HttpResponse StoreStandIn::newest(const std::vector<Record>& records) const
{
    std::map<std::string, std::optional<std::string>> latest;
    for (const auto& [key, value] : records)
        latest[key] = value;
    json::array items;
    for (const auto& [key, value] : latest) {
        if (value)
            items.push_back({ { "Key", key }, { "Value", base64(*value) }, { "Offset", 0 } });
    }
    return respond(200, json::serialize(json::object { { "Items", items }, { "HasMore", false }, { "EndOffset", records.size() } }));
}

HttpResponse StoreStandIn::read(const std::vector<Record>& records, std::size_t from)
{
    if (from > records.size())
        return respond(410, R"({"FirstOffset":0})");
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t index = from; index < records.size(); ++index) {
        const std::string content = bigEndian(records[index].first.size(), 1) + records[index].first + records[index].second.value_or("");
        body += bigEndian(content.size(), 4) + content;
    }
    return respond(200, body);
}

}
