#include "ConfigurationLog.h"

#include <algorithm>
#include <optional>

#include <boost/json.hpp>

namespace filbertspoke {

namespace json = boost::json;

namespace {

constexpr unsigned statusGone = 410;
constexpr unsigned firstClientError = 400; // a client error leaves no record; any other failure may
constexpr unsigned firstServerError = 500;
constexpr int pageLimit = 1000; // records in one read
constexpr int maximumPages = 100'000; // against a log that never ends

std::string recordsTarget(std::string_view stream)
{
    return "/streams/" + std::string(stream) + "/records";
}

StreamContents readPage(std::string_view stream, const std::string& body)
{
    const json::value message = json::parse(body);
    StreamContents page;
    page.oldest = message.at("oldest").to_number<LogOffset>();
    page.next = message.at("next").to_number<LogOffset>();
    for (const json::value& record : message.at("records").as_array())
        page.records.push_back({ std::string(stream), record.at("offset").to_number<LogOffset>(), json::value_to<std::string>(record.at("payload")) });
    return page;
}

std::optional<StreamContents> parsePage(std::string_view stream, const std::string& body)
{
    try {
        return readPage(stream, body);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}

Result<StreamContents> ConfigurationLog::readStream(std::string_view stream)
{
    StreamContents contents;
    LogOffset from = 0;
    for (int pages = 0; pages < maximumPages; ++pages) {
        const std::string query = "?from=" + std::to_string(from) + "&limit=" + std::to_string(pageLimit);
        const HttpOutcome outcome = this->transport.exchange(this->address, { "GET", recordsTarget(stream) + query, {}, {} });
        const auto* response = std::get_if<HttpResponse>(&outcome);
        if (!response || (response->status != statusOk && response->status != statusGone))
            break;
        std::optional<StreamContents> page = parsePage(stream, response->body);
        if (!page)
            break;
        if (response->status == statusGone) {
            if (page->oldest <= from)
                break;
            contents.records.clear();
            from = page->oldest;
            continue;
        }
        contents.oldest = page->oldest;
        contents.next = page->next;
        contents.records.insert(contents.records.end(), page->records.begin(), page->records.end());
        if (page->records.empty() || page->records.back().offset + 1 >= page->next)
            return contents;
        from = page->records.back().offset + 1;
    }
    return make_error_code(ErrorCode::PlatformUnavailable);
}

Result<ConfigurationHistory> ConfigurationLog::readHistory()
{
    const Result<StreamContents> contents = this->readStream(configurationStream);
    if (!contents)
        return contents.error();
    ConfigurationHistory history;
    history.oldest = contents->oldest;
    history.next = contents->next;
    history.fold.truncate(contents->oldest);
    for (const LogRecord& record : contents->records) {
        const std::vector<AuditEntry> entries = history.fold.apply(record);
        history.entries.insert(history.entries.end(), entries.begin(), entries.end());
    }
    const std::vector<AuditEntry> waiting = history.fold.waiting();
    history.entries.insert(history.entries.end(), waiting.begin(), waiting.end());
    return history;
}

Result<InForceTimes> ConfigurationLog::readInForceTimes()
{
    const Result<StreamContents> contents = this->readStream(inForceStream);
    if (!contents)
        return contents.error();
    InForceTimes times;
    for (const LogRecord& record : contents->records) {
        const Result<ConfigurationRecord> parsed = parseConfigurationRecord(record.payload);
        const auto* report = parsed ? std::get_if<InForceReport>(&*parsed) : nullptr;
        if (!report)
            continue;
        for (const RevisionInForce& taken : report->taken)
            times[taken.revision].emplace(report->daemon, taken.at);
    }
    return times;
}

AppendState ConfigurationLog::append(const ConfigurationRecord& record)
{
    const json::object body = { { "payloads", json::array { configurationRecordJson(record) } } };
    const HttpOutcome outcome = this->transport.exchange(this->address, { "POST", recordsTarget(configurationStream), { { "Content-Type", "application/json" } }, json::serialize(body) });
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        return failure->sent ? AppendState::Unknown : AppendState::NotAppended;
    const unsigned status = std::get<HttpResponse>(outcome).status;
    if (status == statusOk)
        return AppendState::Appended;
    return status >= firstClientError && status < firstServerError ? AppendState::NotAppended : AppendState::Unknown;
}

}
