#include <filbertspoke/PlatformTesting>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdio>
#include <utility>

#include <fcntl.h>

namespace filbertspoke {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

class ReplicaStandIn::State : public std::enable_shared_from_this<State> {
public:
    State(asio::io_context& context, const std::string& address, Answer answer)
        : acceptor(context, tcp::endpoint(asio::ip::make_address(address), 0))
        , endpoint(this->acceptor.local_endpoint())
        , answer(std::move(answer))
    {
        // A gateway that the test starts would keep the socket listening.
        ::fcntl(this->acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    }

    asio::awaitable<void> listen()
    {
        const auto self = this->shared_from_this();
        while (this->acceptor.is_open()) {
            auto [error, socket] = co_await this->acceptor.async_accept(asTuple);
            if (!error)
                asio::co_spawn(this->acceptor.get_executor(), this->serve(std::make_shared<tcp::socket>(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        const auto self = this->shared_from_this();
        boost::beast::flat_buffer buffer;
        bool open = true;
        while (open) {
            // Replicas take whatever body the gateway's limits allow; the parser's own limit is 1 MB.
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            const auto [headError, headBytes] = co_await http::async_read_header(*socket, buffer, parser, asTuple);
            if (headError)
                co_return;
            if (!this->answersAtHead) {
                const auto [error, bytes] = co_await http::async_read(*socket, buffer, parser, asTuple);
                if (error)
                    co_return;
            }
            const auto& message = parser.get();
            HttpRequest request;
            request.method = std::string(message.method_string());
            request.target = std::string(message.target());
            for (const auto& field : message)
                request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            request.body = message.body();
            if (!request.target.starts_with("/filbertspoke/"))
                this->requests.push_back(request);
            const ReplicaScript script = this->answer(request);
            open = co_await this->play(*socket, script);
            if (!parser.is_done() && (open || script.end == ReplicaScript::End::HalfClose)) {
                const auto [error, bytes] = co_await http::async_read(*socket, buffer, parser, asTuple);
                open = open && !error;
            }
        }
    }

    asio::awaitable<bool> play(tcp::socket& socket, const ReplicaScript& script)
    {
        asio::steady_timer timer(socket.get_executor());
        for (const std::string& piece : script.pieces) {
            const auto [error, bytes] = co_await asio::async_write(socket, asio::buffer(piece), asTuple);
            timer.expires_after(script.pause);
            co_await timer.async_wait(asTuple);
            if (error) {
                ++this->abandoned;
                co_return false;
            }
        }
        while (script.end == ReplicaScript::End::Endless) {
            const auto [error, bytes] = co_await asio::async_write(socket, asio::buffer(script.pieces.back()), asTuple);
            if (error) {
                ++this->abandoned;
                co_return false;
            }
            timer.expires_after(script.pause);
            co_await timer.async_wait(asTuple);
        }
        if (script.end == ReplicaScript::End::Reset)
            socket.set_option(asio::socket_base::linger(true, 0));
        if (script.end == ReplicaScript::End::Silence) {
            const auto [error] = co_await socket.async_wait(tcp::socket::wait_read, asTuple);
            ++this->abandoned;
            co_return false;
        }
        if (script.end == ReplicaScript::End::HalfClose)
            socket.shutdown(tcp::socket::shutdown_send);
        else if (script.end != ReplicaScript::End::Keep)
            socket.close();
        co_return script.end == ReplicaScript::End::Keep;
    }

    tcp::acceptor acceptor;
    tcp::endpoint endpoint; ///< kept while the acceptor is closed
    Answer answer;
    std::vector<HttpRequest> requests;
    int abandoned = 0;
    bool answersAtHead = false;
};

ReplicaStandIn::ReplicaStandIn(asio::io_context& context, const std::string& address, Answer answer)
    : state(std::make_shared<State>(context, address, std::move(answer)))
{
    asio::co_spawn(context, this->state->listen(), asio::detached);
}

ReplicaStandIn::~ReplicaStandIn()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
}

HttpAddress ReplicaStandIn::address() const
{
    const tcp::endpoint& endpoint = this->state->endpoint;
    return { endpoint.address().to_string(), endpoint.port() };
}

const std::vector<HttpRequest>& ReplicaStandIn::requests() const
{
    return this->state->requests;
}

int ReplicaStandIn::abandoned() const
{
    return this->state->abandoned;
}

void ReplicaStandIn::setListening(bool listening)
{
    tcp::acceptor& acceptor = this->state->acceptor;
    if (listening == acceptor.is_open())
        return;
    if (!listening) {
        acceptor.close();
        return;
    }
    acceptor = tcp::acceptor(acceptor.get_executor(), { this->state->endpoint.address(), 0 });
    this->state->endpoint = acceptor.local_endpoint();
    asio::co_spawn(acceptor.get_executor(), this->state->listen(), asio::detached);
}

void ReplicaStandIn::setAnswer(Answer answer)
{
    this->state->answer = std::move(answer);
}

void ReplicaStandIn::setAnswersAtHead(bool atHead)
{
    this->state->answersAtHead = atHead;
}

ReplicaScript emptyReport()
{
    ReplicaScript script;
    const std::string body = R"({"CallSeq":0,"Busy":false,"Stalled":[]})";
    script.pieces = { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
    return script;
}

std::string wholeAnswer(const HttpRequest& request, unsigned status, const std::string& body)
{
    return wholeAnswer(readForwarded(request).id, status, body);
}

std::string wholeAnswer(const std::string& requestId, unsigned status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + requestIdHeader() + ": " + requestId + "\r\nServer-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string fullAnswer()
{
    return "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string leavingAnswer(std::string answer)
{
    return answer.insert(answer.find("\r\n") + 2, "Server-Leaving: 1\r\n");
}

std::string limitingAnswer(std::string answer, const std::string& requestsPerSecond)
{
    return answer.insert(answer.find("\r\n") + 2, "Server-Limit: " + requestsPerSecond + "\r\n");
}

std::string pushbackAnswer(const std::string& seconds)
{
    std::string answer = fullAnswer();
    return answer.insert(answer.find("\r\n") + 2, "Retry-After: " + seconds + "\r\n");
}

std::string blamingAnswer(const HttpAddress& engine)
{
    std::string answer = fullAnswer();
    return answer.insert(answer.find("\r\n") + 2, "At-Server: " + addressText(engine) + "\r\n");
}

std::string streamHead(const HttpRequest& request)
{
    return "HTTP/1.1 200 OK\r\n" + requestIdHeader() + ": " + readForwarded(request).id + "\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string unframedHead(const HttpRequest& request, unsigned status)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + requestIdHeader() + ": " + readForwarded(request).id + "\r\nServer-Seal: seal\r\n\r\n";
}

std::string unframedRefusal(const HttpRequest& request)
{
    std::string head = unframedHead(request, 503);
    return head.insert(head.find("\r\n") + 2, "Not-Executed: 1\r\n");
}

std::string unframedEvent(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

std::string eventChunk(int id, const std::string& data)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    return size + event + "\r\n";
}

std::string lastChunk()
{
    return "0\r\n\r\n";
}

std::string eventIds(const std::string& received)
{
    std::string ids;
    for (std::size_t at = received.find("id: "); at != std::string::npos; at = received.find("id: ", at + 1))
        ids += received.substr(at + 4, received.find('\n', at) - at - 4) + " ";
    return ids;
}

}
