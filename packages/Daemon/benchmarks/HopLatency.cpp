// Measures the latency that a daemon adds to a pipeline hop and to a plain call. The baseline is the same exchange
// made directly with the stand-ins, in the same run on loopback. Prints one JSON object per row.
#include <filbertspoke/ClusterTesting>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace filbertspoke;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::uint32_t stages = 3;
constexpr std::uint32_t tokens = Cluster::maximumTokens;
constexpr std::uint32_t warmUpCount = 50; // exchanges or tokens at the start that are not measured
constexpr std::uint32_t calls = 2000;
constexpr std::uint32_t slowRounds = 40;
constexpr std::uint32_t callsPerRound = 25;
constexpr std::uint32_t slowReplicaMs = 50;

/** \brief Latency samples of one kind of exchange. */
class Samples {
public:
    void add(Clock::duration duration) { this->times.push_back(Microseconds(duration).count()); }

    double percentile(double share)
    {
        std::sort(this->times.begin(), this->times.end());
        return this->times[static_cast<std::size_t>(share * static_cast<double>(this->times.size() - 1))];
    }

    void print(const std::string& row)
    {
        const json::object line { { "row", row }, { "samples", this->times.size() }, { "p50us", this->percentile(0.5) }, { "p95us", this->percentile(0.95) }, { "p99us", this->percentile(0.99) } };
        std::cout << json::serialize(line) << std::endl;
    }

private:
    std::vector<double> times;
};

/** \brief Sends requests one after another over a persistent connection. */
class Client {
public:
    explicit Client(const HttpAddress& address)
        : connection(this->io, address, HttpLimits {})
    {
    }

    std::string exchange(const std::string& method, const std::string& target, const std::string& body)
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.headers = { { "Filbertspoke-Account", "bole-workshops" }, { "Content-Type", "application/json" } };
        request.body = body;
        std::optional<HttpOutcome> outcome;
        this->connection.exchange(std::move(request), std::chrono::seconds(10), [&](HttpOutcome result) { outcome = std::move(result); });
        this->io.restart();
        while (!outcome)
            this->io.run_one();
        return std::get<HttpResponse>(*outcome).body;
    }

private:
    boost::asio::io_context io;
    HttpConnection connection;
};

Samples timeCalls(Client& client, const std::string& target)
{
    Samples samples;
    for (std::uint32_t call = 0; call < calls + warmUpCount; ++call) {
        const auto start = Clock::now();
        client.exchange("GET", target, "");
        if (call >= warmUpCount)
            samples.add(Clock::now() - start);
    }
    return samples;
}

/** \brief Measures calls while the two replicas become slow in turn. */
Samples timeCallsWithSlowReplicas(Cluster& cluster, Client& client, const std::string& target)
{
    Samples samples;
    for (std::uint32_t round = 0; round < slowRounds; ++round) {
        cluster.control(cluster.service(round % 2).address, { { "delayMs", slowReplicaMs } });
        cluster.control(cluster.service((round + 1) % 2).address, { { "delayMs", 0 } });
        for (std::uint32_t call = 0; call < callsPerRound; ++call) {
            const auto start = Clock::now();
            client.exchange("GET", target, "");
            samples.add(Clock::now() - start);
        }
    }
    for (std::uint32_t replica = 0; replica < 2; ++replica)
        cluster.control(cluster.service(replica).address, { { "delayMs", 0 } });
    return samples;
}

std::string stepBody(std::uint32_t stage, std::uint32_t position, std::uint32_t count, const std::string& input)
{
    const std::uint32_t first = stage * Cluster::layersPerStage;
    const json::object step { { "request", "direct" }, { "generation", 0 }, { "sequence", position * stages + stage }, { "model", "assistant" }, { "version", "1" },
        { "layers", { first, first + Cluster::layersPerStage } }, { "position", position }, { "count", count }, { "input", input } };
    return json::serialize(json::object { { "steps", { step } } });
}

/** \brief Runs one pass over all stages, with one exchange per stage.
 * \returns the output of the last stage */
std::string runPass(std::deque<Client>& engines, std::uint32_t position, std::uint32_t count, std::string input)
{
    for (std::uint32_t stage = 0; stage < stages; ++stage) {
        const std::string answer = engines[stage].exchange("POST", "/v1/steps", stepBody(stage, position, count, input));
        input = std::string(json::parse(answer).at("receipts").at(0).at("output").as_string());
    }
    return input;
}

Samples timeTokensDirect(std::deque<Client>& engines)
{
    Samples samples;
    std::string token = runPass(engines, 0, 2, "[\"true\",\"wheel\"]");
    for (std::uint32_t index = 1; index < tokens; ++index) {
        const auto start = Clock::now();
        token = runPass(engines, index + 1, 1, json::serialize(json::array { token }));
        if (index >= warmUpCount)
            samples.add(Clock::now() - start);
    }
    return samples;
}

/** \brief Measures the time between consecutive tokens of a stream. */
Samples timeTokensThroughDaemon(const HttpAddress& callers)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({ boost::asio::ip::make_address(callers.address), callers.port });
    const std::string body = R"({"model":"assistant","prompt":"true wheel","stream":true,"max_tokens":)" + std::to_string(tokens) + "}";
    boost::asio::write(socket, boost::asio::buffer("POST /v1/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\nFilbertspoke-Account: bole-workshops\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));

    Samples samples;
    std::array<char, 4096> bytes;
    std::optional<Clock::time_point> last;
    std::uint32_t tokenGaps = 0;
    boost::system::error_code error;
    while (!error) {
        const std::size_t size = socket.read_some(boost::asio::buffer(bytes), error);
        const auto now = Clock::now();
        const std::string text(bytes.data(), size);
        // The engines have no artificial delay, so a read normally contains one token; a read with several tokens counts once.
        if (text.find("id: ") == std::string::npos)
            continue;
        if (last && ++tokenGaps >= warmUpCount)
            samples.add(now - *last);
        last = now;
    }
    return samples;
}

}

int main()
{
    ClusterOptions options;
    options.daemons = 1;
    options.stages = stages;
    options.replicas = 1;
    options.services = 2;
    options.engineDelayUs = 0;
    Cluster cluster(options);

    Client service(cluster.service(0).address);
    Client daemon(cluster.daemon(0).callers);
    timeCalls(service, "/stock/hub").print("plain call, direct");
    timeCalls(daemon, "/services/bench-app/stock/hub").print("plain call, through the daemon");

    timeCallsWithSlowReplicas(cluster, daemon, "/services/bench-app/stock/list").print("call, replicas slow in turn, not hedged");
    timeCallsWithSlowReplicas(cluster, daemon, "/services/bench-app/stock/hub").print("call, replicas slow in turn, hedged");

    std::deque<Client> engines;
    for (std::uint32_t stage = 0; stage < stages; ++stage)
        engines.emplace_back(cluster.engine(stage, 0).address);
    timeTokensDirect(engines).print("token over 3 hops, direct");
    timeTokensThroughDaemon(cluster.daemon(0).callers).print("token over 3 hops, through the daemon");
    return 0;
}
