#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <string>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using internal::sleepFor;

// Response to a gateway that hands over a request which this one can't serve either.
constexpr unsigned misdirectedStatus = 421;

// Delay after a failed accept, which is usually caused by a lack of file descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

tcp::endpoint tcpEndpoint(const SocketAddress& address)
{
    return { asio::ip::make_address(address.address), address.port };
}

}

CallerListener::CallerListener(GatewayContext& context, const SocketAddress& address, RequestSource source)
    : context(context)
    , source(source)
    , acceptor(context.io, tcpEndpoint(address))
{
}

void CallerListener::start()
{
    asio::co_spawn(this->context.io, this->listen(), asio::detached);
}

void CallerListener::stopListening()
{
    // Closing the acceptor resets the connections in its queue, on which callers may have sent requests.
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error || error == asio::error::connection_aborted) {
        tcp::socket socket(this->context.io);
        this->acceptor.accept(socket, error);
        if (!error)
            this->admit(std::move(socket));
    }
    if (error != asio::error::would_block)
        logLine(WriteLog::Level::Warning, "accept-failed", { { "reason", error.message() } });
    this->acceptor.close(error);
}

void CallerListener::closeIdle(bool unused)
{
    for (const auto& connection : this->connections) {
        if (!connection->busy() && (unused || connection->used()))
            connection->close();
    }
}

void CallerListener::logUnread() const
{
    for (const auto& connection : this->connections) {
        if (connection->reading())
            this->noteIncomplete("stopped");
    }
}

void CallerListener::admit(tcp::socket socket)
{
    const ConnectionKind kind = this->source == RequestSource::Callers ? ConnectionKind::Caller : ConnectionKind::Handover;
    auto connection = std::make_shared<CallerConnection>(std::move(socket), kind);
    this->connections.insert(connection);
    asio::co_spawn(this->context.io, this->serve(std::move(connection)), asio::detached);
}

asio::awaitable<void> CallerListener::listen()
{
    this->accepting = true;
    while (this->acceptor.is_open()) {
        auto [error, socket] = co_await this->acceptor.async_accept(asTuple);
        if (error && this->acceptor.is_open()) {
            logLine(WriteLog::Level::Warning, "accept-failed", { { "reason", error.message() } });
            co_await sleepFor(this->context.io, acceptRetryDelay);
        }
        if (!error)
            this->admit(std::move(socket));
    }
    this->accepting = false;
}

asio::awaitable<void> CallerListener::serve(std::shared_ptr<CallerConnection> connection)
{
    bool open = true;
    while (open) {
        const ConnectionLimits limits = this->context.table ? this->context.table->limits() : ConnectionLimits {};
        RequestMemory::Reservation memory(this->context.requestMemory);
        auto read = co_await connection->read(limits, memory);
        if (auto* request = std::get_if<HttpRequest>(&read)) {
            ++this->context.requestsInProgress;
            open = co_await this->handleRequest(connection, std::move(*request), memory);
            --this->context.requestsInProgress;
        } else {
            const auto failure = std::get<CallerReadFailure>(read);
            // What was read is dropped; only a connection that is being closed is left.
            memory.release();
            co_await this->rejectUnread(connection, failure);
            // A request may have arrived since the idle timeout.
            open = failure == CallerReadFailure::Closed && connection->hasUnread();
        }
    }
    // Whatever the caller has sent behind its last request must not cost it the response.
    if (connection->hasUnread())
        co_await connection->closeGracefully();
    connection->close();
    this->connections.erase(connection);
}

void CallerListener::noteIncomplete(const std::string& reason) const
{
    logLine(WriteLog::Level::Info, "request-incomplete", { { "reason", reason } });
    this->context.metrics.count({ "requests_incomplete_total", reason });
}

asio::awaitable<void> CallerListener::rejectUnread(std::shared_ptr<CallerConnection> connection, CallerReadFailure failure)
{
    if (failure == CallerReadFailure::Closed)
        co_return;
    if (failure == CallerReadFailure::Incomplete || failure == CallerReadFailure::TimedOut) {
        this->noteIncomplete(failure == CallerReadFailure::TimedOut ? "timeout" : "closed");
        co_return;
    }
    if (failure == CallerReadFailure::MemoryExhausted) {
        co_await this->refuseUnread(connection);
        co_return;
    }
    const unsigned status = failure == CallerReadFailure::Malformed ? 400 : failure == CallerReadFailure::HeaderTooLarge ? 431
                                                                                                                         : 413;
    logLine(WriteLog::Level::Warning, "request-unreadable", { { "status", std::to_string(status) } });
    const HttpResponse response = emptyResponse(status);
    co_await connection->respond(response, false);
    co_await connection->closeGracefully();
}

asio::awaitable<bool> CallerListener::handleRequest(std::shared_ptr<CallerConnection> connection, HttpRequest http, RequestMemory::Reservation& memory)
{
    const TimePoint received = bootNow();
    auto decoded = this->context.codecs.caller->decodeRequest(std::move(http));
    if (!decoded) {
        logLine(WriteLog::Level::Warning, "request-malformed", { { "reason", decoded.error().message() } });
        const HttpResponse response = emptyResponse(400);
        co_await connection->respond(response, false);
        co_return false;
    }
    // Only another gateway may say that it has handed the request over.
    if (this->source == RequestSource::Callers)
        decoded->endpointsUsed.reset();
    else
        decoded->endpointsUsed = decoded->endpointsUsed.value_or(0);
    // A daemon short of CPU time reads requests whose callers have already disconnected; processing those would delay other requests.
    if (connection->checkDisconnected()) {
        logLine(WriteLog::Level::Info, "request-abandoned", { { "request", decoded->id.str() }, { "target", decoded->http.target } });
        this->context.metrics.count({ "requests_total", "abandoned" });
        co_return false;
    }
    co_await this->forward(connection, std::move(*decoded), received, memory);
    co_return connection->keptOpen() && !connection->disconnected();
}

asio::awaitable<void> CallerListener::refuse(std::shared_ptr<CallerConnection> connection, const Refusal& refusal, const CallerRequest& request)
{
    const auto id = request.id.str().empty() ? std::nullopt : std::optional(request.id);
    const HttpResponse response = this->context.codecs.caller->encodeRefusal(refusal, id);
    logLine(WriteLog::Level::Info, "request-refused", { { "request", request.id.str() }, { "host", request.host }, { "target", request.http.target }, { "reason", std::string(name(refusal.code())) }, { "status", std::to_string(response.status) }, { "configuration", this->context.table ? std::to_string(this->context.table->version()) : "none" } });
    const bool keepAlive = connection->keepAlive() && !this->context.isStopping() && refusal.code() != ErrorCode::RequestMemoryExhausted;
    co_await connection->respond(response, keepAlive);
}

asio::awaitable<void> CallerListener::refuseUnread(std::shared_ptr<CallerConnection> connection)
{
    CallerRequest request;
    if (const auto& head = connection->refusedHead()) {
        auto decoded = this->context.codecs.caller->decodeRequest(*head);
        if (decoded)
            request = std::move(*decoded);
    }
    co_await this->refuseForMemory(connection, request, "reading");
    co_await connection->closeGracefully();
}

asio::awaitable<void> CallerListener::refuseForMemory(std::shared_ptr<CallerConnection> connection, const CallerRequest& request, std::string phase)
{
    const RequestMemory& memory = this->context.requestMemory;
    logLine(WriteLog::Level::Warning, "request-memory-exhausted", { { "request", request.id.str() }, { "phase", phase }, { "usedBytes", std::to_string(memory.used()) }, { "limitBytes", std::to_string(memory.limit()) } });
    this->context.metrics.count({ "request_memory_refusals_total", phase });
    if (this->source == RequestSource::Gateways) {
        co_await this->declineHandover(connection, request, name(ErrorCode::RequestMemoryExhausted));
        co_return;
    }
    // Callers that are refused at the same time return one after the other.
    const Duration returnAfter = scaled(unavailableRetryAfter, 1 + this->context.randomFraction());
    const Refusal refusal = Refusal(ErrorCode::RequestMemoryExhausted, Ran::No).retryAfter(returnAfter);
    co_await this->refuse(connection, refusal, request);
}

asio::awaitable<void> CallerListener::declineHandover(std::shared_ptr<CallerConnection> connection, const CallerRequest& request, std::string_view reason)
{
    logLine(WriteLog::Level::Info, "handover-declined", { { "request", request.id.str() }, { "reason", std::string(reason) } });
    const HttpResponse response = emptyResponse(misdirectedStatus);
    const bool keepAlive = connection->keepAlive() && !this->context.isStopping() && reason != name(ErrorCode::RequestMemoryExhausted);
    co_await connection->respond(response, keepAlive);
}

asio::awaitable<void> CallerListener::forward(std::shared_ptr<CallerConnection> connection, CallerRequest request, TimePoint received, RequestMemory::Reservation& memory)
{
    if (this->context.stopSchedule && !this->context.stopSchedule->takesRequests(received)) {
        if (request.endpointsUsed) {
            co_await this->declineHandover(connection, request, name(ErrorCode::Draining));
            co_return;
        }
        const Refusal refusal = Refusal(ErrorCode::Draining, Ran::No).retryAfter(unavailableRetryAfter);
        co_await this->refuse(connection, refusal, request);
        co_return;
    }
    const auto table = this->context.table;
    if (!table || !this->context.registryLoaded) {
        const Refusal refusal = Refusal(ErrorCode::ConfigurationUnavailable, Ran::No).retryAfter(unavailableRetryAfter);
        co_await this->refuse(connection, refusal, request);
        co_return;
    }
    const Route* route = table->findRoute(request.host, request.http.target);
    if (!route) {
        const Refusal refusal(ErrorCode::UnknownPath, Ran::No);
        co_await this->refuse(connection, refusal, request);
        co_return;
    }
    std::optional<AccountId> account;
    if (table->hasAccounts() && !route->keyExempt) {
        const AccountId* holder = table->findAccount(request.accountKey);
        if (!holder) {
            const Refusal refusal(ErrorCode::UnknownAccount, Ran::No);
            co_await this->refuse(connection, refusal, request);
            co_return;
        }
        account = *holder;
    }
    const auto service = chooseService(*route, this->context.randomFraction());
    if (!service) {
        const Refusal refusal = Refusal(ErrorCode::NoEndpoint, Ran::No).retryAfter(unavailableRetryAfter);
        co_await this->refuse(connection, refusal, request);
        co_return;
    }
    // An attempt to forward the request holds a copy of its body.
    if (!memory.grow(request.http.body.size())) {
        co_await this->refuseForMemory(connection, request, "forwarding");
        co_return;
    }
    Route permitted = *route;
    if (request.endpointsUsed) {
        logLine(WriteLog::Level::Info, "request-taken-over", { { "request", request.id.str() }, { "endpointsUsed", std::to_string(*request.endpointsUsed) }, { "state", std::string(name(this->context.reachability(*service).state())) } });
        const bool cutOff = this->context.reachability(*service).state() == Reachability::CutOff;
        if (cutOff || *request.endpointsUsed >= route->attempts) {
            co_await this->declineHandover(connection, request, cutOff ? name(Reachability::CutOff) : "attempts-exhausted");
            co_return;
        }
        permitted.attempts -= *request.endpointsUsed;
    } else {
        // The gateway that got the request from its caller has earned the retries for it.
        this->context.retryBudget(*service).firstAttempt();
    }
    ForwardTask task(this->context, connection, std::move(request), permitted, *service, account, received);
    connection->watchDisconnect([&task] {
        task.closeConnections();
        task.context.waiters.wakeAll();
    });
    if (route->kind == RouteKind::Stream)
        co_await forwardStream(task);
    else
        co_await forwardCall(task);
    connection->stopWatching();
}

}
