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

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <stdexcept>
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
const std::string limits = R"({"MaxHeaderBytes":4096,"MaxBodyBytes":16384,"HeaderTimeoutMs":3000,"IdleTimeoutMs":3000})";

/** \brief A caller that sends the same piece again and again behind the beginning of a request. */
class EndlessCaller {
public:
    EndlessCaller(asio::io_context& context, const HttpAddress& address, const std::string& beginning, const std::string& piece)
        : state(std::make_shared<State>(context))
    {
        this->state->socket.connect({ asio::ip::make_address(address.address), address.port });
        asio::co_spawn(context, run(this->state, beginning, piece), asio::detached);
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

    static asio::awaitable<void> run(std::shared_ptr<State> state, std::string beginning, std::string piece)
    {
        constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
        auto [error, bytes] = co_await asio::async_write(state->socket, asio::buffer(beginning), asTuple);
        for (std::size_t sent = 0; !error && sent < bytesOfCaller; sent += piece.size())
            std::tie(error, bytes) = co_await asio::async_write(state->socket, asio::buffer(piece), asTuple);
        state->ended = true;
    }

    std::shared_ptr<State> state;
};

struct Fixture : GatewayScene {
    Fixture()
    {
        this->store.putConfiguration(configurationText(2, usualRoutes()).insert(1, R"("Limits":)" + limits + ","));
        this->start();
        this->checkOrdinaryRequest();
        this->memoryBefore = this->peakMemoryKb();
        this->descriptorsBefore = this->openDescriptors();
    }

    long peakMemoryKb() const
    {
        std::ifstream status("/proc/" + std::to_string(this->gateway->id()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stol(line.substr(line.find_first_of("0123456789")));
        }
        throw std::runtime_error("/proc status of the gateway has no VmHWM line");
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
        for (int caller = 0; caller < crowd; ++caller)
            callers.push_back(std::make_unique<EndlessCaller>(this->context, address, beginning, piece));
        for (const auto& caller : callers)
            BOOST_TEST(this->await([&] { return caller->ended(); }));
        BOOST_TEST(this->openDescriptors() - this->descriptorsBefore <= descriptorGrowth);
        callers.clear();
        BOOST_TEST_REQUIRE(this->gateway->running());
        BOOST_TEST(this->peakMemoryKb() - this->memoryBefore <= memoryGrowthKb);
        this->checkOrdinaryRequest();
    }

    long memoryBefore = 0;
    std::ptrdiff_t descriptorsBefore = 0;
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
