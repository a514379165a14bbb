#include <filbertspoke/PlatformTesting>

#include <utility>

namespace filbertspoke {

namespace {

constexpr std::chrono::milliseconds pauseAfterRefusal { 50 };
constexpr unsigned served = 200;

/** \returns whether an answer with the status may be given to a proper request on a known route with a sound key */
bool isRefusal(unsigned status)
{
    return status == 429 || status >= 500;
}

}

std::optional<WholeAnswer> readAnswer(std::string_view text)
{
    constexpr std::string_view endOfHead = "\r\n\r\n";
    constexpr std::string_view endOfChunks = "\r\n0\r\n\r\n";
    constexpr std::string_view length = "\r\nContent-Length: ";
    constexpr std::size_t statusAt = std::string_view("HTTP/1.1 ").size();
    const std::size_t headEnd = text.find(endOfHead);
    if (headEnd == std::string_view::npos)
        return std::nullopt;
    const std::string head(text.substr(0, headEnd + 2));
    std::size_t bytes = headEnd + endOfHead.size();
    if (head.find("\r\nTransfer-Encoding: chunked\r\n") != std::string::npos) {
        const std::size_t end = text.find(endOfChunks, headEnd + 2);
        if (end == std::string_view::npos)
            return std::nullopt;
        bytes = end + endOfChunks.size();
    } else
        bytes += std::stoul(head.substr(head.find(length) + length.size()));
    if (bytes > text.size())
        return std::nullopt;
    const bool closes = head.find("\r\nConnection: close\r\n") != std::string::npos;
    return WholeAnswer { static_cast<unsigned>(std::stoul(head.substr(statusAt))), bytes, closes, eventIds(std::string(text.substr(0, bytes))) };
}

SteadyCaller::SteadyCaller(boost::asio::io_context& context, Plan plan)
    : context(context)
    , plan(std::move(plan))
{
}

bool SteadyCaller::ended() const
{
    return this->waiting.empty() && Clock::now() > this->plan.lastSend;
}

void SteadyCaller::advance(CallOutcomes& outcomes, const Reached& reached)
{
    if (!this->waiting.empty())
        this->read(outcomes, reached);
    const Clock::time_point now = Clock::now();
    if (this->waiting.empty() && now >= this->due && now <= this->plan.lastSend)
        this->send(outcomes);
}

void SteadyCaller::read(CallOutcomes& outcomes, const Reached& reached)
{
    const std::string_view received = std::string_view(this->connection->received()).substr(this->taken);
    if (const auto answer = readAnswer(received))
        this->take(*answer, received, outcomes);
    else if (this->connection->closed())
        this->noteClose(received, outcomes, reached);
}

void SteadyCaller::take(const WholeAnswer& answer, std::string_view received, CallOutcomes& outcomes)
{
    ++outcomes.statuses[answer.status];
    const bool named = received.substr(0, answer.bytes).find("\r\n" + requestIdHeader() + ": " + this->waiting + "\r\n") != std::string_view::npos;
    if (answer.status != served && !isRefusal(answer.status))
        outcomes.faults[this->waiting] = "status " + std::to_string(answer.status);
    if (answer.status == served && (!named || answer.eventIds != this->plan.expectedEvents))
        outcomes.faults[this->waiting] = "not the answer to it: " + std::string(received.substr(0, answer.bytes));
    this->taken += answer.bytes;
    this->closing = answer.closes || !this->plan.keepsConnection;
    this->due = Clock::now() + (answer.status == served ? this->plan.pause : pauseAfterRefusal);
    this->answered = std::exchange(this->waiting, {});
}

void SteadyCaller::noteClose(std::string_view received, CallOutcomes& outcomes, const Reached& reached)
{
    const std::string id = std::exchange(this->waiting, {});
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - this->sentAt);
    if (this->reused && received.empty() && !reached(id))
        outcomes.crossed.push_back(id);
    else if (age >= this->plan.excusedAfter)
        outcomes.timedOut.push_back(id);
    else
        outcomes.faults[id] = std::string(this->reused ? "kept" : "new") + " connection closed after " + std::to_string(age.count()) + " ms and " + std::to_string(received.size()) + " bytes, " + (reached(id) ? "passed on" : "not passed on");
}

void SteadyCaller::send(CallOutcomes& outcomes)
{
    if (this->connection && this->connection->received().size() != this->taken && !this->answered.empty())
        outcomes.faults[this->answered] = "bytes after its answer";
    this->answered.clear();
    this->waiting = this->plan.name + "-" + std::to_string(++this->sent);
    const std::string text = callText({ this->plan.method, this->plan.target, this->waiting, this->plan.limit, "key-1", {} });
    this->reused = this->connection && !this->closing && !this->connection->closed();
    this->sentAt = Clock::now();
    if (this->reused) {
        this->connection->send(text);
        return;
    }
    this->connection = std::make_unique<RawCaller>(this->context, this->plan.gateway, text);
    this->taken = 0;
}

}
