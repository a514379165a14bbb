#ifndef FILBERTSPOKE_RAW_CALLER_H
#define FILBERTSPOKE_RAW_CALLER_H

#include <filbertspoke/Caller>
#include <filbertspoke/ProcessTesting>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief A client that sends arbitrary bytes and collects the received ones. */
class RawCaller {
public:
    RawCaller(boost::asio::io_context& io, std::uint16_t port)
        : io(io)
        , socket(io)
    {
        this->socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        this->read();
    }

    void send(const std::string& text) { boost::asio::write(this->socket, boost::asio::buffer(text)); }

    /** \brief Waits until the received bytes contain a text. */
    void expect(const std::string& text)
    {
        BOOST_TEST(runUntil(this->io, [&] { return this->received.find(text) != std::string::npos; }), "waited for " << text << " in " << this->received);
    }

    void expectClosed()
    {
        BOOST_TEST(runUntil(this->io, [&] { return this->closed; }));
    }

    void close() { this->socket.close(); }

    std::string received;

private:
    void read()
    {
        this->socket.async_read_some(boost::asio::buffer(this->readBuffer), [this](boost::system::error_code error, std::size_t size) {
            this->closed = static_cast<bool>(error);
            this->received.append(this->readBuffer.data(), size);
            if (!error)
                this->read();
        });
    }

    boost::asio::io_context& io;
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> readBuffer {};
    bool closed = false;
};

/** \brief A CallerServer that records the emitted events. */
struct ServerFixture {
    explicit ServerFixture(CallerServerLimits limits = {})
        : server(this->io, "127.0.0.1", 0, limits, "test", [this](Event event) { this->events.push_back(std::move(event)); })
    {
    }

    /** \brief Waits for the next event, which must be of the given type. */
    template <typename Kind>
    Kind expectEvent()
    {
        BOOST_REQUIRE(runUntil(this->io, [&] { return this->events.size() > this->consumedEvents; }));
        const Event& event = this->events[this->consumedEvents++];
        BOOST_REQUIRE(std::holds_alternative<Kind>(event));
        return std::get<Kind>(event);
    }

    boost::asio::io_context io;
    std::vector<Event> events;
    std::size_t consumedEvents = 0;
    CallerServer server;
};

inline std::string post(const std::string& path, const std::string& body, const std::string& headers = "Filbertspoke-Account: acme\r\n")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

#endif
