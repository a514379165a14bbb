#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

// How long the store holds a read of the configuration that has nothing new; short enough to notice a silent
// connection within the time in which a change has to be in force.
constexpr Duration configurationWait = std::chrono::milliseconds(1500);
// Endpoints write every second or so, so that a read always finds something: reads are paced instead. A quarter of
// the time within which a leaving endpoint must get no more work.
constexpr Duration endpointsPause = std::chrono::milliseconds(350);
// Pause before the store is asked again after a failure.
constexpr Duration failurePause = std::chrono::milliseconds(300);
// A large configuration takes longer over a busy link than the store's answer should; as long as bytes arrive, the daemon waits for
// as long as a change may take to come into force.
constexpr Duration transferAllowance = std::chrono::seconds(2);
// A daemon whose hub follows the store looks this often whether it still does.
constexpr Duration idlePause = std::chrono::milliseconds(100);

}

void StoreFollower::start()
{
    asio::co_spawn(this->context.io, this->follow(StoreCollection::Configuration), asio::detached);
    asio::co_spawn(this->context.io, this->follow(StoreCollection::Endpoints), asio::detached);
}

void StoreFollower::noteReachable(bool reachable, const std::string& reason)
{
    if (reachable == this->storeReachable)
        return;
    this->storeReachable = reachable;
    logLine(reachable ? WriteLog::Level::Info : WriteLog::Level::Warning, reachable ? "store-regained" : "store-lost", { { "reason", reason } });
    if (reachable)
        this->context.registry.noteRegistryRecovered(bootNow());
}

asio::awaitable<Result<HttpResponse>> StoreFollower::ask(HttpConnection& connection, HttpRequest request, Duration timeout)
{
    this->context.metrics.count({ "store_calls_total", "" });
    HttpOutcome outcome = co_await exchange(connection, std::move(request), timeout);
    if (auto* failure = std::get_if<HttpFailure>(&outcome)) {
        connection.close();
        this->noteReachable(false, failure->error.message());
        co_return failure->error;
    }
    auto response = std::get<HttpResponse>(std::move(outcome));
    const bool refused = response.status == 429 || response.status >= 500;
    this->noteReachable(!refused, "status " + std::to_string(response.status));
    if (refused)
        co_return make_error_code(ErrorCode::PlatformUnavailable);
    co_return response;
}

asio::awaitable<std::optional<LogOffset>> StoreFollower::readSnapshot(HttpConnection& connection, StoreCollection collection)
{
    std::vector<StoreRecord> records;
    std::optional<std::string> after;
    std::optional<LogOffset> next;
    while (true) {
        const auto response = co_await this->ask(connection, this->context.wires.store->encodeSnapshot(collection, after), storeTimeout);
        if (!response)
            co_return std::nullopt;
        const auto page = this->context.wires.store->decodeSnapshot(*response);
        if (!page) {
            logLine(WriteLog::Level::Warning, "store-answer-unreadable", { { "reason", page.error().message() }, { "status", std::to_string(response->status) } });
            co_return std::nullopt;
        }
        // Pages are not read at one moment: changes since the first one are read again.
        if (!next)
            next = page->next;
        records.insert(records.end(), page->records.begin(), page->records.end());
        if (!page->more || page->records.empty())
            break;
        after = page->records.back().key;
    }
    this->applySnapshot(collection, records);
    co_return next;
}

asio::awaitable<std::error_code> StoreFollower::readChanges(HttpConnection& connection, StoreCollection collection, LogOffset& next)
{
    const Duration wait = collection == StoreCollection::Configuration ? configurationWait : Duration::zero();
    const auto response = co_await this->ask(connection, this->context.wires.store->encodeFollow(collection, next, wait), wait + storeTimeout);
    if (!response)
        co_return response.error();
    const auto page = this->context.wires.store->decodeFollow(*response, next);
    if (!page)
        co_return page.error();
    this->apply(collection, page->records);
    next = page->next;
    co_return std::error_code {};
}

asio::awaitable<void> StoreFollower::follow(StoreCollection collection)
{
    HttpLimits limits;
    limits.transferAllowance = transferAllowance;
    HttpConnection connection(this->context.io, httpAddress(this->context.settings.store), limits);
    std::optional<LogOffset> next;
    while (true) {
        if (!this->context.followsStore()) {
            // Whoever follows the store again starts from the newest records.
            next.reset();
            co_await sleepFor(this->context.io, idlePause);
            continue;
        }
        std::error_code error;
        if (!next)
            next = co_await this->readSnapshot(connection, collection);
        else
            error = co_await this->readChanges(connection, collection, *next);
        if (error == ErrorCode::LogTruncated)
            next.reset();
        if (!next || error)
            co_await sleepFor(this->context.io, failurePause);
        else if (collection == StoreCollection::Endpoints)
            co_await sleepFor(this->context.io, endpointsPause);
    }
}

std::optional<RegisteredEndpoint> StoreFollower::readEndpoint(const StoreRecord& record)
{
    const auto endpoint = this->context.wires.store->decodeEndpoint(record);
    if (endpoint)
        return *endpoint;
    logLine(WriteLog::Level::Warning, "endpoint-entry-unreadable", { { "key", record.key }, { "reason", endpoint.error().message() } });
    return std::nullopt;
}

void StoreFollower::applySnapshot(StoreCollection collection, const std::vector<StoreRecord>& records)
{
    if (collection == StoreCollection::Configuration) {
        this->apply(collection, records);
        return;
    }
    std::vector<RegisteredEndpoint> endpoints;
    for (const StoreRecord& record : records) {
        if (auto endpoint = record.value ? this->readEndpoint(record) : std::nullopt)
            endpoints.push_back(std::move(*endpoint));
    }
    this->context.registry.replaceAll(endpoints, bootNow());
    this->context.registryKnown = true;
    logLine(WriteLog::Level::Info, "endpoints-read", { { "endpoints", std::to_string(endpoints.size()) } });
}

void StoreFollower::apply(StoreCollection collection, const std::vector<StoreRecord>& records)
{
    const TimePoint now = bootNow();
    for (const StoreRecord& record : records) {
        if (collection == StoreCollection::Configuration) {
            if (record.value)
                this->context.takeDocument({ record.key, *record.value }, "store");
            continue;
        }
        const EndpointId id(record.key);
        if (!record.value) {
            if (this->context.registry.remove(id, now))
                logLine(WriteLog::Level::Info, "endpoint-removed", { { "endpoint", record.key } });
        } else if (const auto endpoint = this->readEndpoint(record)) {
            if (this->context.registry.update(*endpoint))
                logLine(WriteLog::Level::Info, "endpoint-changed", { { "endpoint", record.key }, { "service", endpoint->service.str() }, { "domain", endpoint->failureDomain.str() }, { "draining", endpoint->draining ? "yes" : "no" }, { "firstLayer", std::to_string(endpoint->layers.first()) }, { "lastLayer", std::to_string(endpoint->layers.last()) } });
        }
    }
    this->context.registry.expire(now);
    ++this->context.capacityChanges;
    if (!records.empty())
        this->context.waiters.wakeOne();
}

}
