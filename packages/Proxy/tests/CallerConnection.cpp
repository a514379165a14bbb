// Tests CallerConnection against a caller in the same process.
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/Proxy>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <variant>

using namespace filbertspoke;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string request = "POST /book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

using ReadResult = std::variant<HttpRequest, CallerReadFailure>;

struct Fixture {
    Fixture()
        : listener(this->context, { asio::ip::make_address(ownLoopbackAddress(1)), 0 })
        , caller(this->context)
    {
        this->caller.connect(this->listener.local_endpoint());
        this->connection = std::make_shared<CallerConnection>(this->listener.accept(), ConnectionKind::Caller);
    }

    void startReading()
    {
        asio::co_spawn(this->context, this->connection->read(this->limits, this->share), [this](std::exception_ptr, ReadResult read) { this->result = std::move(read); });
        this->context.poll();
    }

    std::optional<CallerReadFailure> failure()
    {
        BOOST_TEST_REQUIRE(runUntil(this->context, [this] { return this->result.has_value(); }));
        const auto* found = std::get_if<CallerReadFailure>(&*this->result);
        return found ? std::optional(*found) : std::nullopt;
    }

    /** \brief Does nothing until the idle timeout is over, like a process without processor time. */
    void holdUp() const
    {
        const auto until = std::chrono::steady_clock::now() + this->limits.idleTimeout;
        while (std::chrono::steady_clock::now() <= until) { }
    }

    asio::io_context context;
    tcp::acceptor listener;
    tcp::socket caller;
    std::shared_ptr<CallerConnection> connection;
    std::optional<ReadResult> result;
    RequestMemory memory { 4096 };
    RequestMemory::Reservation share { this->memory };
    RequestMemory::Reservation others { this->memory };
    ConnectionLimits limits { 1024, 1024, 3s, 50ms };
};

}

// Guards against a connection that is closed as idle with the request that has arrived on it, without an answer and without a line in the log.
BOOST_FIXTURE_TEST_CASE(requestThatArrivesBeforeALateIdleTimeoutIsRead, Fixture)
{
    this->startReading();
    asio::write(this->caller, asio::buffer(request));
    this->holdUp();
    BOOST_TEST(!this->failure().has_value());
}

BOOST_FIXTURE_TEST_CASE(connectionWithoutARequestIsClosedAsIdle, Fixture)
{
    this->startReading();
    BOOST_TEST((this->failure() == CallerReadFailure::Closed));
    BOOST_TEST(!this->connection->used());
}

BOOST_FIXTURE_TEST_CASE(requestInTheSocketKeepsTheConnectionBusy, Fixture)
{
    this->startReading();
    BOOST_TEST(!this->connection->busy());
    asio::write(this->caller, asio::buffer(request));
    BOOST_TEST(runUntil(this->context, [this] { return this->connection->busy(); }));
}

BOOST_FIXTURE_TEST_CASE(requestThatEndsWithItsConnectionIsIncomplete, Fixture)
{
    asio::write(this->caller, asio::buffer(request.data(), request.size() - 1));
    this->startReading();
    BOOST_TEST(this->connection->reading());
    this->caller.close();
    BOOST_TEST((this->failure() == CallerReadFailure::Incomplete));
}

BOOST_FIXTURE_TEST_CASE(requestThatDoesNotArriveInTimeIsTimedOut, Fixture)
{
    this->limits.headerTimeout = 50ms;
    asio::write(this->caller, asio::buffer(request.data(), request.size() - 1));
    this->startReading();
    BOOST_TEST((this->failure() == CallerReadFailure::TimedOut));
}

// Guards against a refusal that is lost with the reset of a connection which is closed while the caller still sends its body.
BOOST_FIXTURE_TEST_CASE(responseToARequestThatIsNotReadReachesTheCaller, Fixture)
{
    const std::string large = "POST /book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x');
    asio::co_spawn(this->context, asio::async_write(this->caller, asio::buffer(large), asio::use_awaitable), asio::detached);
    this->startReading();
    BOOST_TEST((this->failure() == CallerReadFailure::BodyTooLarge));
    const HttpResponse response { 413, {}, "" };
    bool closed = false;
    asio::co_spawn(this->context, this->connection->respond(response, false), [&](std::exception_ptr) {
        asio::co_spawn(this->context, this->connection->closeGracefully(), [&](std::exception_ptr) { closed = true; });
    });
    std::string received;
    std::optional<boost::system::error_code> ended;
    asio::async_read(this->caller, asio::dynamic_buffer(received), [&](boost::system::error_code error, std::size_t) { ended = error; });
    BOOST_TEST_REQUIRE(runUntil(this->context, [&] { return ended.has_value(); }));
    BOOST_TEST((*ended == asio::error::eof));
    BOOST_TEST(received.starts_with("HTTP/1.1 413"));
    this->caller.close();
    BOOST_TEST(runUntil(this->context, [&] { return closed; }));
}

// Guards against a body that is read although it can't fit into the memory that requests share.
BOOST_FIXTURE_TEST_CASE(bodyOfKnownLengthThatDoesNotFitIsRefusedBeforeItArrives, Fixture)
{
    this->limits = { 256, 8192, 3s, 50ms };
    this->others.resize(1);
    asio::write(this->caller, asio::buffer(std::string("POST /book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n")));
    this->startReading();
    BOOST_TEST((this->failure() == CallerReadFailure::MemoryExhausted));
    BOOST_TEST_REQUIRE(this->connection->refusedHead().has_value());
    BOOST_TEST(this->connection->refusedHead()->target == "/book/x");
    BOOST_TEST(!this->connection->reading());
}

// Guards against the same with chunks.
BOOST_FIXTURE_TEST_CASE(bodyInChunksIsRefusedWhenItDoesNotFitAnyMore, Fixture)
{
    this->limits = { 256, 8192, 3s, 50ms };
    this->others.resize(1);
    asio::write(this->caller, asio::buffer("POST /book/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + std::string(0x1000, 'x')));
    this->startReading();
    BOOST_TEST((this->failure() == CallerReadFailure::MemoryExhausted));
    BOOST_TEST(this->memory.used() <= this->memory.limit());
}

// Guards against a share that stays at what was reserved for reading, or at less than the request occupies.
BOOST_FIXTURE_TEST_CASE(shareOfAReadRequestIsWhatItOccupies, Fixture)
{
    asio::write(this->caller, asio::buffer(request));
    this->startReading();
    BOOST_TEST(!this->failure().has_value());
    BOOST_TEST(this->share.held() >= request.size());
    BOOST_TEST(this->share.held() < this->limits.headerBytes);
}
