#include "PlatformClient.h"

#include "internal/PlatformCodec.h"
#include "internal/StreamAppender.h"
#include "internal/StreamReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>
#include <utility>

namespace filbertspoke {

class PlatformClient::State {
public:
    State(boost::asio::io_context& context, PlatformSettings settings, Sink sink)
        : context(context)
        , settings(std::move(settings))
        , sink(std::move(sink))
        , hostList(context, this->settings.hostList, this->settings.limits)
        , pollTimer(context)
    {
    }

    void append(const AppendRecords&);
    void read(const ReadRecords&);
    void pollHostList();

private:
    void handleHostList(const HttpOutcome&);

    boost::asio::io_context& context;
    PlatformSettings settings;
    Sink sink;
    std::map<std::string, internal::StreamReader> readers;
    std::map<std::string, internal::StreamAppender> appenders;
    HttpConnection hostList;
    boost::asio::steady_timer pollTimer;
};

void PlatformClient::State::append(const AppendRecords& records)
{
    auto [appender, added] = this->appenders.try_emplace(records.stream, this->context, this->settings, this->sink);
    appender->second.append(records);
}

void PlatformClient::State::read(const ReadRecords& records)
{
    auto [reader, added] = this->readers.try_emplace(records.stream, this->context, this->settings, records.stream, this->sink);
    reader->second.readFrom(records.from);
}

void PlatformClient::State::pollHostList()
{
    HttpRequest request;
    request.target = "/hosts";
    this->hostList.exchange(std::move(request), this->settings.hostListTimeout, [this](const HttpOutcome& outcome) {
        this->handleHostList(outcome);
    });
}

void PlatformClient::State::handleHostList(const HttpOutcome& outcome)
{
    this->pollTimer.expires_after(this->settings.hostListPeriod);
    this->pollTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->pollHostList();
    });
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (response == nullptr || response->status != statusOk)
        return this->sink(HostListFailed {});
    Result<HostsListed> hosts = internal::decodeHosts(response->body);
    if (hosts)
        this->sink(std::move(*hosts));
    else
        this->sink(HostListFailed {});
}

PlatformClient::PlatformClient(boost::asio::io_context& context, PlatformSettings settings, Sink sink)
    : state(std::make_unique<State>(context, std::move(settings), std::move(sink)))
{
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::start()
{
    this->state->pollHostList();
}

void PlatformClient::carryOut(const AppendRecords& records)
{
    this->state->append(records);
}

void PlatformClient::carryOut(const ReadRecords& records)
{
    this->state->read(records);
}

}
