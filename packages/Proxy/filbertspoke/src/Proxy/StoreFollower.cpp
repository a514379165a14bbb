#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"
#include "internal/PlacementLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::differsBeyondHeartbeat;
using internal::logEndpoint;
using internal::sleepFor;

// Time for which the store holds a long poll of the configuration without changes. It is short enough to detect a dead connection
// within the time in which a change must become active.
constexpr Duration configurationLongPoll = std::chrono::milliseconds(1500);
// Endpoints write about once a second, so that a long poll would return at once: the collection is polled at this interval instead.
// It is a quarter of the time within which a leaving endpoint must stop receiving work.
constexpr Duration endpointsPollInterval = std::chrono::milliseconds(350);
// Over a busy link, the transfer of a large configuration takes longer than the request timeout. While bytes arrive, the daemon
// waits for up to the time in which a change must become active.
constexpr Duration transferAllowance = std::chrono::seconds(2);
// A daemon whose hub follows the store checks at this interval whether the hub still does.
constexpr Duration roleCheckInterval = std::chrono::milliseconds(100);
// Interval of checks for changes of the quarantine; all daemons may be killed right after one.
constexpr Duration quarantineCheckInterval = std::chrono::milliseconds(100);

}

void StoreFollower::start()
{
    asio::co_spawn(this->context.io, this->follow(StoreCollection::Configuration), asio::detached);
    asio::co_spawn(this->context.io, this->follow(StoreCollection::Endpoints), asio::detached);
    asio::co_spawn(this->context.io, this->keepQuarantine(), asio::detached);
}

void StoreFollower::noteReachable(bool reachable, const std::string& reason)
{
    this->context.storeReading.noteCall(reachable);
    if (reachable == this->storeReachable)
        return;
    this->storeReachable = reachable;
    logLine(reachable ? WriteLog::Level::Info : WriteLog::Level::Warning, reachable ? "store-regained" : "store-lost", { { "reason", reason } });
}

asio::awaitable<Result<HttpResponse>> StoreFollower::call(HttpConnection& connection, HttpRequest request, Duration timeout)
{
    this->context.metrics.count({ "store_calls_total", "" });
    HttpOutcome outcome = co_await exchange(connection, std::move(request), timeout);
    if (auto* failure = std::get_if<HttpFailure>(&outcome)) {
        connection.close();
        this->noteReachable(false, failure->error.message());
        co_return failure->error;
    }
    auto response = std::get<HttpResponse>(std::move(outcome));
    if (this->context.noteStoreEra(this->context.codecs.store->decodeEra(response), "store") == EraRelation::Outdated)
        co_return make_error_code(ErrorCode::PlatformUnavailable);
    const bool refused = response.status == 429 || response.status >= 500;
    this->noteReachable(!refused, "status " + std::to_string(response.status));
    if (refused)
        co_return make_error_code(ErrorCode::PlatformUnavailable);
    co_return response;
}

asio::awaitable<std::optional<StoreFollower::Position>> StoreFollower::readSnapshot(HttpConnection& connection, StoreCollection collection)
{
    std::vector<StoreRecord> records;
    std::optional<std::string> after;
    std::optional<Position> position;
    while (true) {
        const auto response = co_await this->call(connection, this->context.codecs.store->encodeSnapshot(collection, after), storeTimeout);
        if (!response)
            co_return std::nullopt;
        const auto page = this->context.codecs.store->decodeSnapshot(*response);
        if (!page) {
            logLine(WriteLog::Level::Warning, "store-answer-unreadable", { { "reason", page.error().message() }, { "status", std::to_string(response->status) } });
            co_return std::nullopt;
        }
        // Pages are read at different times: following from the offset of the first page includes all changes made in between.
        if (!position)
            position = Position { page->next, this->context.storeEra.current() };
        if (position->era != this->context.storeEra.current())
            co_return std::nullopt;
        records.insert(records.end(), page->records.begin(), page->records.end());
        if (!page->more || page->records.empty())
            break;
        after = page->records.back().key;
    }
    this->applySnapshot(collection, records);
    co_return position;
}

asio::awaitable<std::error_code> StoreFollower::readChanges(HttpConnection& connection, StoreCollection collection, Position& position)
{
    const Duration wait = collection == StoreCollection::Configuration ? configurationLongPoll : Duration::zero();
    const auto response = co_await this->call(connection, this->context.codecs.store->encodeFollow(collection, position.next, wait), wait + storeTimeout);
    if (!response)
        co_return response.error();
    // The offset belongs to an era that has ended: the store may have assigned it to another record since.
    if (position.era != this->context.storeEra.current())
        co_return make_error_code(ErrorCode::LogTruncated);
    const auto page = this->context.codecs.store->decodeFollow(*response, position.next);
    if (!page)
        co_return page.error();
    this->apply(collection, page->records);
    position.next = page->next;
    co_return std::error_code {};
}

asio::awaitable<void> StoreFollower::follow(StoreCollection collection)
{
    HttpLimits limits;
    limits.transferAllowance = transferAllowance;
    HttpConnection connection(this->context.io, httpAddress(this->context.settings.store), limits);
    std::optional<Position> position;
    unsigned failures = 0;
    while (true) {
        if (!this->context.followsStore()) {
            // When this daemon has to follow the store again, it starts with a new snapshot.
            position.reset();
            failures = 0;
            this->context.storeReading.noteStopped();
            co_await sleepFor(this->context.io, roleCheckInterval);
            continue;
        }
        std::error_code error;
        if (position && position->era != this->context.storeEra.current())
            position.reset();
        if (!position)
            position = co_await this->readSnapshot(connection, collection);
        else
            error = co_await this->readChanges(connection, collection, *position);
        if (error == ErrorCode::LogTruncated)
            position.reset();
        const bool failed = !position || error;
        failures = failed ? failures + 1 : 0;
        if (failed)
            co_await sleepFor(this->context.io, this->context.storeReading.retryDelay(this->context.roster.rank(), failures));
        else if (collection == StoreCollection::Endpoints)
            co_await sleepFor(this->context.io, endpointsPollInterval);
    }
}

asio::awaitable<void> StoreFollower::keepQuarantine()
{
    HttpConnection connection(this->context.io, httpAddress(this->context.settings.store), {});
    std::optional<Position> snapshot;
    unsigned failures = 0;
    while (true) {
        if (snapshot && snapshot->era != this->context.storeEra.current())
            snapshot.reset();
        bool succeeded = true;
        if (!snapshot && this->context.followsStore()) {
            snapshot = co_await this->readSnapshot(connection, StoreCollection::Quarantine);
            succeeded = snapshot.has_value();
        } else if (snapshot && this->context.roster.isHub()) {
            succeeded = co_await this->writeQuarantine(connection);
        }
        failures = succeeded ? 0 : failures + 1;
        co_await sleepFor(this->context.io, succeeded ? quarantineCheckInterval : this->context.storeReading.retryDelay(this->context.roster.rank(), failures));
    }
}

asio::awaitable<bool> StoreFollower::writeQuarantine(HttpConnection& connection)
{
    const QuarantineChanges changes = this->storedQuarantine.changes(this->context.requestQuarantine.quarantined(bootNow()));
    if (changes.empty())
        co_return true;
    std::vector<StoreRecord> records;
    for (const RequestTraitEvidence& evidence : changes.added)
        records.push_back(encodeQuarantineRecord(evidence, std::chrono::system_clock::now()));
    for (const RequestTraitId& trait : changes.removed)
        records.push_back({ trait.str(), std::nullopt });
    HttpRequest request = this->context.codecs.store->encodeWrite(StoreCollection::Quarantine, records);
    const auto response = co_await this->call(connection, std::move(request), storeTimeout);
    const bool written = response && response->status == 200;
    if (written)
        this->storedQuarantine.noteWritten(changes);
    logLine(written ? WriteLog::Level::Info : WriteLog::Level::Warning, written ? "quarantine-stored" : "quarantine-not-stored", { { "added", std::to_string(changes.added.size()) }, { "removed", std::to_string(changes.removed.size()) }, { "reason", response ? "status " + std::to_string(response->status) : response.error().message() } });
    co_return written;
}

void StoreFollower::applyQuarantine(const std::vector<StoreRecord>& records)
{
    std::set<RequestTraitId> traits;
    std::vector<RequestTraitEvidence> evidence;
    for (const StoreRecord& record : records) {
        if (!record.value)
            continue;
        traits.emplace(record.key);
        const auto decoded = decodeQuarantineRecord(record, std::chrono::system_clock::now());
        if (decoded)
            evidence.push_back(*decoded);
        else
            logLine(WriteLog::Level::Warning, "quarantine-record-unreadable", { { "key", record.key }, { "reason", decoded.error().message() } });
    }
    this->context.requestQuarantine.merge(evidence, bootNow());
    this->storedQuarantine.noteRead(std::move(traits));
    if (!records.empty())
        logLine(WriteLog::Level::Info, "quarantine-read", { { "traits", std::to_string(evidence.size()) } });
}

std::optional<RegisteredEndpoint> StoreFollower::readEndpoint(const StoreRecord& record)
{
    const auto endpoint = this->context.codecs.store->decodeEndpoint(record);
    if (endpoint)
        return *endpoint;
    logLine(WriteLog::Level::Warning, "endpoint-entry-unreadable", { { "key", record.key }, { "reason", endpoint.error().message() } });
    return std::nullopt;
}

void StoreFollower::applySnapshot(StoreCollection collection, const std::vector<StoreRecord>& records)
{
    if (collection == StoreCollection::Quarantine) {
        this->applyQuarantine(records);
        return;
    }
    if (collection == StoreCollection::Configuration) {
        this->apply(collection, records);
        return;
    }
    std::vector<RegisteredEndpoint> endpoints;
    for (const StoreRecord& record : records) {
        auto endpoint = record.value ? this->readEndpoint(record) : std::nullopt;
        if (!endpoint)
            continue;
        const EndpointRecord* known = this->context.registry.find(endpoint->id);
        if (!known || differsBeyondHeartbeat(known->endpoint, *endpoint))
            logEndpoint(*endpoint);
        endpoints.push_back(std::move(*endpoint));
    }
    this->context.applyEndpoints(endpoints, "store");
    logLine(WriteLog::Level::Info, "endpoints-read", { { "endpoints", std::to_string(endpoints.size()) } });
}

void StoreFollower::apply(StoreCollection collection, const std::vector<StoreRecord>& records)
{
    const TimePoint now = bootNow();
    const auto viewAge = collection == StoreCollection::Endpoints ? this->context.noteRegistryCurrent(now) : std::nullopt;
    for (const StoreRecord& record : records) {
        if (collection == StoreCollection::Configuration) {
            if (record.value)
                this->context.applyConfiguration({ record.key, *record.value }, "store");
            continue;
        }
        const EndpointId id(record.key);
        if (!record.value) {
            GatewayContext::logRemoval(id, this->context.registry.remove(id, now), "store", viewAge);
        } else if (const auto endpoint = this->readEndpoint(record)) {
            if (this->context.registry.update(*endpoint))
                logEndpoint(*endpoint);
        }
    }
    this->context.registry.expire(now);
    ++this->context.capacityChanges;
    if (!records.empty())
        this->context.waiters.wakeHeads();
}

}
