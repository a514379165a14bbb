// Runs a gateway process against a crowd of callers that keep to no limit. Checks that the process lives, that its memory and its open
// descriptors stay bounded, and that an ordinary request is answered afterwards.
#include <filbertspoke/PlatformTesting>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace filbertspoke;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int crowd = 16;
constexpr std::size_t pieceBytes = 64 * 1024;
// What a caller sends at most: the whole crowd sends more than the smallest host's memory, 160 MB.
constexpr std::size_t bytesOfCaller = 12 * 1024 * 1024;
// Tenth of the smallest host's memory. The limits below allow the crowd less than 2 MB.
constexpr long memoryGrowthKb = 16 * 1024;
// Connections of the crowd, and those that the gateway may open meanwhile.
constexpr std::ptrdiff_t descriptorGrowth = 4 * crowd;
// The crowd of unfinished bodies: 24 bodies of the largest size are 96 MB, six times the memory that the gateway may use for requests.
constexpr int bodyCrowd = 24;
constexpr std::size_t largestBodyBytes = 4 * 1024 * 1024;
constexpr unsigned bodyMemoryMb = 16;
// The limit for requests three times: an allocator may hold freed bodies of other sizes beside those in use.
constexpr long bodyMemoryGrowthKb = 48 * 1024;
constexpr std::ptrdiff_t bodyDescriptorGrowth = 4 * bodyCrowd;
// The time limit for a body is far above the length of the test, so that the crowd is held open while the test checks.
const std::string bodyLimits = R"({"MaxHeaderBytes":4096,"MaxBodyBytes":4194304,"HeaderTimeoutMs":120000,"IdleTimeoutMs":3000})";
const std::string limits = R"({"MaxHeaderBytes":4096,"MaxBodyBytes":16384,"HeaderTimeoutMs":3000,"IdleTimeoutMs":3000})";

/** \brief A caller that sends the same piece again and again behind the beginning of a request, and then leaves its connection open. */
class EndlessCaller {
public:
    EndlessCaller(asio::io_context& context, const HttpAddress& address, const std::string& beginning, const std::string& piece, std::size_t bytes = bytesOfCaller)
        : state(std::make_shared<State>(context))
    {
        this->state->socket.connect({ asio::ip::make_address(address.address), address.port });
        asio::co_spawn(context, run(this->state, beginning, piece, bytes), asio::detached);
    }

    /** \returns whether the caller has sent all of its bytes or the gateway has closed the connection */
    bool ended() const { return this->state->ended; }

private:
    struct State {
        explicit State(asio::io_context& context)
            : socket(context)
        {
        }

        tcp::socket socket;
        bool ended = false;
    };

    static asio::awaitable<void> run(std::shared_ptr<State> state, std::string beginning, std::string piece, std::size_t limit)
    {
        constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
        auto [error, bytes] = co_await asio::async_write(state->socket, asio::buffer(beginning), asTuple);
        for (std::size_t sent = 0; !error && sent < limit; sent += bytes)
            std::tie(error, bytes) = co_await asio::async_write(state->socket, asio::buffer(piece, limit - sent), asTuple);
        state->ended = true;
    }

    std::shared_ptr<State> state;
};

struct Fixture : GatewayScene {
    explicit Fixture(const std::string& limits = ::limits, std::optional<unsigned> requestMemoryMb = {})
    {
        this->store.putConfiguration(configurationText(2, usualRoutes()).insert(1, R"("Limits":)" + limits + ","));
        this->requestMemoryMb = requestMemoryMb;
        this->start();
        this->checkOrdinaryRequest();
        this->memoryBefore = this->gateway->peakMemoryKb();
        this->descriptorsBefore = this->openDescriptors();
    }

    std::ptrdiff_t openDescriptors() const
    {
        const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(this->gateway->id()) + "/fd");
        return std::distance(begin(descriptors), end(descriptors));
    }

    void checkOrdinaryRequest() { BOOST_TEST(this->answer(*this->call("GET", "/stock/x", "Connection: close\r\n"), "served").starts_with("HTTP/1.1 200")); }

    /** \brief Lets the crowd send to the address, and checks the gateway while it does and afterwards. */
    void checkCrowd(const HttpAddress& address, const std::string& beginning, const std::string& piece)
    {
        std::vector<std::unique_ptr<EndlessCaller>> callers;
        callers.reserve(crowd);
        for (int caller = 0; caller < crowd; ++caller)
            callers.push_back(std::make_unique<EndlessCaller>(this->context, address, beginning, piece));
        for (const auto& caller : callers)
            BOOST_TEST(this->await([&] { return caller->ended(); }));
        BOOST_TEST(this->openDescriptors() - this->descriptorsBefore <= descriptorGrowth);
        callers.clear();
        BOOST_TEST_REQUIRE(this->gateway->running());
        BOOST_TEST(this->gateway->peakMemoryKb() - this->memoryBefore <= memoryGrowthKb);
        this->checkOrdinaryRequest();
    }

    long memoryBefore = 0;
    std::ptrdiff_t descriptorsBefore = 0;
};

struct BodyFixture : Fixture {
    BodyFixture()
        : Fixture(bodyLimits, bodyMemoryMb)
    {
    }

    /** \returns the bytes that wait in the system's buffers between the callers and the gateway, in both directions */
    std::size_t bytesUnderway() const
    {
        std::ostringstream port;
        port << ':' << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << this->callers.port;
        std::ifstream table("/proc/net/tcp");
        std::size_t bytes = 0;
        for (std::string line; std::getline(table, line);) {
            std::istringstream fields(line);
            std::string number, local, remote, state, queues;
            fields >> number >> local >> remote >> state >> queues;
            if (state == establishedState && (local.ends_with(port.str()) || remote.ends_with(port.str())))
                bytes += std::stoul(queues, nullptr, 16) + std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
        return bytes;
    }

    /** \brief Lets the crowd send bodies that lack their last byte, checks the gateway while it holds them, and that it serves requests when
     * the crowd has left. */
    void checkUnfinishedBodies(const std::string& beginning, const std::string& piece, std::size_t bytes)
    {
        std::vector<std::unique_ptr<EndlessCaller>> crowd;
        crowd.reserve(bodyCrowd);
        for (int caller = 0; caller < bodyCrowd; ++caller)
            crowd.push_back(std::make_unique<EndlessCaller>(this->context, this->callers, beginning, piece, bytes));
        for (const auto& caller : crowd)
            BOOST_TEST(this->await([&] { return caller->ended(); }));
        BOOST_TEST(this->await([&] { return this->bytesUnderway() == 0; }));
        BOOST_TEST_REQUIRE(this->gateway->running());
        BOOST_TEST(this->gateway->peakMemoryKb() - this->memoryBefore <= bodyMemoryGrowthKb);
        BOOST_TEST(this->openDescriptors() - this->descriptorsBefore <= bodyDescriptorGrowth);
        crowd.clear();
        BOOST_TEST(this->await([&] { return this->openDescriptors() - this->descriptorsBefore < bodyCrowd / 4; }));
        this->checkOrdinaryRequest();
        RawCaller largest(this->context, this->callers, wholeRequest(largestBodyBytes));
        BOOST_TEST(this->answer(largest, "served").starts_with("HTTP/1.1 200"));
        BOOST_TEST_REQUIRE(this->gateway->running());
    }

    /** \brief Lets \a holders begin bodies of the largest size, and checks that another request does not fit beside them. */
    void checkRefused(int holders, const std::string& request)
    {
        std::vector<std::unique_ptr<EndlessCaller>> begun;
        begun.reserve(static_cast<std::size_t>(holders));
        for (int holder = 0; holder < holders; ++holder)
            begun.push_back(std::make_unique<EndlessCaller>(this->context, this->callers, requestHead("Content-Length: " + std::to_string(largestBodyBytes)), "", 0));
        for (const auto& holder : begun)
            BOOST_TEST(this->await([&] { return holder->ended(); }));
        BOOST_TEST(this->await([&] { return this->bytesUnderway() == 0; }));
        RawCaller refused(this->context, this->callers, request);
        BOOST_TEST(this->await([&] { return refused.closed(); }));
        BOOST_TEST(refused.received().starts_with("HTTP/1.1 503"));
        BOOST_TEST(refused.received().find("Retry-After: ") != std::string::npos);
        BOOST_TEST(refused.received().find(requestIdHeader() + ": hostile") != std::string::npos);
        this->checkOrdinaryRequest();
        for (const auto& [id, replica] : this->replicas)
            BOOST_TEST(std::none_of(replica->requests().begin(), replica->requests().end(), [](const HttpRequest& sent) { return sent.method == "POST"; }));
    }

    static std::string wholeRequest(std::size_t bodyBytes) { return requestHead("Content-Length: " + std::to_string(bodyBytes)) + std::string(bodyBytes, 'x'); }

    static std::string requestHead(const std::string& framing)
    {
        return "POST /book/x HTTP/1.1\r\nHost: h.example\r\n" + requestIdHeader() + ": hostile\r\nDeadline-Ms: 4000\r\nKey: key-1\r\n" + framing + "\r\n\r\n";
    }

private:
    static constexpr const char* establishedState = "01";
};

std::string chunkedRequest()
{
    return "POST /book/x HTTP/1.1\r\nHost: h.example\r\n" + requestIdHeader() + ": hostile\r\nKey: key-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
}

/** \returns about pieceBytes of fields, each of them short */
std::string shortFields()
{
    const std::string field = "Filler: value\r\n";
    std::string fields;
    while (fields.size() < pieceBytes)
        fields += field;
    return fields;
}

}

// Guards against a gateway that runs out of memory because it keeps all of a trailer section.
BOOST_FIXTURE_TEST_CASE(trailersWithoutEndAreNotKept, Fixture)
{
    this->checkCrowd(this->callers, chunkedRequest() + "0\r\n", shortFields());
}

// Guards against the same with one trailer that has no end.
BOOST_FIXTURE_TEST_CASE(trailerWithoutEndIsNotKept, Fixture)
{
    this->checkCrowd(this->callers, chunkedRequest() + "0\r\nFiller: ", std::string(pieceBytes, 'x'));
}

// Guards against the same with the extension of a chunk header.
BOOST_FIXTURE_TEST_CASE(chunkExtensionWithoutEndIsNotKept, Fixture)
{
    this->checkCrowd(this->callers, chunkedRequest() + "4;name=", std::string(pieceBytes, 'x'));
}

// Guards against the same at the addresses for operators and other programs of the platform.
BOOST_FIXTURE_TEST_CASE(trailersWithoutEndOfAReadinessCheckAreNotKept, Fixture)
{
    this->checkCrowd(this->readiness, chunkedRequest() + "0\r\n", shortFields());
}

// Guards against a gateway that runs out of memory because many callers begin bodies of the largest size and finish none of them.
BOOST_FIXTURE_TEST_CASE(unfinishedBodiesOfKnownLengthShareAMemoryLimit, BodyFixture)
{
    const std::string piece(pieceBytes, 'x');
    this->checkUnfinishedBodies(requestHead("Content-Length: " + std::to_string(largestBodyBytes)), piece, largestBodyBytes - 1);
}

// Guards against the same with chunks, where the length is not known when the body begins.
BOOST_FIXTURE_TEST_CASE(unfinishedBodiesInChunksShareAMemoryLimit, BodyFixture)
{
    static_assert(pieceBytes == 0x10000);
    const std::string chunk = "10000\r\n" + std::string(pieceBytes, 'x') + "\r\n";
    // The last byte of the body and the line end behind it are not sent.
    const std::size_t unsent = 3;
    this->checkUnfinishedBodies(requestHead("Transfer-Encoding: chunked"), chunk, largestBodyBytes / pieceBytes * chunk.size() - unsent);
}

// Guards against a request that is read although it can't be served, or is refused without word of when to return.
BOOST_FIXTURE_TEST_CASE(bodyThatDoesNotFitBesideOthersIsRefused, BodyFixture)
{
    // Three bodies of 4 MB leave less than 4 MB of 16 MB, because the buffers count too.
    this->checkRefused(3, requestHead("Content-Length: " + std::to_string(largestBodyBytes)));
}

// Guards against a copy of the body for the endpoint that is not counted.
BOOST_FIXTURE_TEST_CASE(requestWhoseCopyDoesNotFitIsRefusedUnsent, BodyFixture)
{
    this->checkRefused(3, wholeRequest(largestBodyBytes / 4 * 3));
}
