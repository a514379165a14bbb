// Stand-ins of a small deployment for the cases of this review: the platform's store, plain replicas, engines, clients, and the
// gateways as processes of their own, with the command and the settings of the deploy file. All of it on loopback addresses.
#ifndef REVIEW_SCENE_H
#define REVIEW_SCENE_H

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

inline bool equalNames(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return std::tolower(x) == std::tolower(y); });
}

/** \brief One HTTP message. */
struct Message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< the body arrived as a whole

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (equalNames(key, name))
                return value;
        }
        return {};
    }
    int status() const { return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0; }
    std::string method() const { return this->start.substr(0, this->start.find(' ')); }
    std::string target() const
    {
        const auto first = this->start.find(' ');
        return this->start.substr(first + 1, this->start.rfind(' ') - first - 1);
    }
    std::string path() const { return this->target().substr(0, this->target().find('?')); }
    std::string query(const std::string& name) const
    {
        const std::string target = this->target();
        std::istringstream parts(target.substr(std::min(target.find('?') + 1, target.size())));
        for (std::string part; std::getline(parts, part, '&');) {
            if (part.starts_with(name + "="))
                return part.substr(name.size() + 1);
        }
        return {};
    }
};

/** \brief Reads at least one more byte into the buffer. */
inline awaitable<bool> readMore(tcp::socket& socket, std::string& buffer)
{
    char bytes[16384];
    const auto [error, size] = co_await socket.async_read_some(asio::buffer(bytes), asTuple);
    if (!error)
        buffer.append(bytes, size);
    co_return !error;
}

/** \brief Reads one message; nothing if the channel ended before a whole head. */
inline awaitable<std::optional<Message>> readMessage(tcp::socket& socket, std::string& buffer)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!co_await readMore(socket, buffer))
            co_return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::getline(head, message.start);
    message.start.erase(message.start.find_last_not_of('\r') + 1);
    for (std::string line; std::getline(head, line);) {
        line.erase(line.find_last_not_of('\r') + 1);
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            message.headers.emplace_back(line.substr(0, colon), line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size())));
    }
    if (equalNames(message.header("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t line = 0;
            while ((line = buffer.find("\r\n")) == std::string::npos) {
                if (!co_await readMore(socket, buffer))
                    co_return message;
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < line + 2 + size + 2) {
                if (!co_await readMore(socket, buffer))
                    co_return message;
            }
            message.body += buffer.substr(line + 2, size);
            buffer.erase(0, line + 2 + size + 2);
            if (size == 0)
                break;
        }
        message.complete = true;
        co_return message;
    }
    const std::size_t size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < size) {
        if (!co_await readMore(socket, buffer))
            co_return message;
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    message.complete = true;
    co_return message;
}

inline awaitable<bool> writeText(tcp::socket& socket, std::string text)
{
    const auto [error, size] = co_await asio::async_write(socket, asio::buffer(text), asTuple);
    co_return !error;
}

inline awaitable<void> pauseFor(Ms duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asTuple);
}

inline std::string answerText(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** \brief What was sent, answered and run, with the time in ms since the start. */
class Record {
public:
    explicit Record(const std::string& file)
        : stream(file)
    {
    }
    void note(const std::string& line) { this->stream << std::chrono::duration_cast<Ms>(Clock::now() - this->start).count() << ' ' << line << '\n' << std::flush; }

private:
    Clock::time_point start = Clock::now();
    std::ofstream stream;
};

/** \brief A server whose channels are served by a coroutine each. */
class Server {
public:
    using Serve = std::function<awaitable<void>(std::shared_ptr<tcp::socket>)>;

    Server(asio::io_context& context, const std::string& address, Serve serve)
        : acceptor(context, tcp::endpoint(asio::ip::make_address(address), 0), true)
        , serve(std::move(serve))
        , own(this->acceptor.local_endpoint().address().to_string() + ":" + std::to_string(this->acceptor.local_endpoint().port()))
    {
        asio::co_spawn(context, this->listen(), asio::detached);
    }
    std::string address() const { return this->own; }

    /** \brief Ends as a process that crashes: all channels break, and no new ones are accepted. */
    void crash()
    {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto& weak : this->sockets) {
            if (const auto socket = weak.lock()) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }
        this->sockets.clear();
    }

private:
    awaitable<void> listen()
    {
        while (true) {
            auto [error, accepted] = co_await this->acceptor.async_accept(asTuple);
            if (error)
                co_return;
            accepted.set_option(tcp::no_delay(true));
            const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
            std::erase_if(this->sockets, [](const auto& weak) { return weak.expired(); });
            this->sockets.push_back(socket);
            asio::co_spawn(this->acceptor.get_executor(), this->serve(socket), asio::detached);
        }
    }

    tcp::acceptor acceptor;
    Serve serve;
    std::string own;
    std::vector<std::weak_ptr<tcp::socket>> sockets;
};

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift);
    return text;
}

inline std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8 | (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            encoded += at + digit > text.size() ? '=' : digits[group >> (18 - 6 * digit) & 63];
    }
    return encoded;
}

/** \brief The platform's store: keyed topics in one partition each, and groups of which one member owns the only partition. */
class Store {
public:
    Store(asio::io_context& context, const std::string& address)
        : server(context, address, [this](std::shared_ptr<tcp::socket> socket) { return this->serve(std::move(socket)); })
    {
    }

    void put(const std::string& topic, const std::string& key, std::optional<std::string> value) { this->topics[topic].emplace_back(key, std::move(value)); }
    std::string address() const { return this->server.address(); }

private:
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string buffer;
        while (const auto request = co_await readMessage(*socket, buffer)) {
            co_await pauseFor(Ms(2));
            std::string answer;
            if (request->path() == "/filbertspoke/log-read")
                answer = co_await this->read(*request);
            else
                answer = this->answer(*request);
            if (!co_await writeText(*socket, answer))
                break;
        }
    }

    std::string answer(const Message& request)
    {
        const std::string path = request.path();
        const std::string topic = request.query("Topic");
        if (path == "/filbertspoke/log-newest") {
            std::map<std::string, std::optional<std::string>> newest;
            for (const auto& [key, value] : this->topics[topic])
                newest[key] = value;
            std::string items;
            for (const auto& [key, value] : newest) {
                if (value)
                    items += (items.empty() ? "" : ",") + std::string(R"({"Key":")") + key + R"(","Value":")" + base64(*value) + R"(","Offset":0})";
            }
            return this->respond(200, R"({"Items":[)" + items + R"(],"HasMore":false,"EndOffset":)" + std::to_string(this->topics[topic].size()) + "}");
        }
        if (path == "/filbertspoke/log-append") {
            std::string records = request.body;
            while (topic.starts_with("keyed.") && records.size() > 4) {
                std::size_t size = 0;
                for (int byte = 0; byte < 4; ++byte)
                    size = size << 8 | static_cast<unsigned char>(records[static_cast<std::size_t>(byte)]);
                const std::string content = records.substr(4, size);
                const std::size_t keySize = static_cast<unsigned char>(content.at(0));
                const std::string value = content.substr(std::min(1 + keySize, content.size()));
                this->put(topic, content.substr(1, keySize), value.empty() ? std::nullopt : std::optional(value));
                records.erase(0, 4 + size);
            }
            return this->respond(200, R"({"Offset":0,"EndOffset":0})");
        }
        if (path == "/filbertspoke/log-join") {
            const auto at = request.body.find(R"("Member":")") + 10;
            const std::string member = request.body.substr(at, request.body.find('"', at) - at);
            const auto now = Clock::now();
            if (member != this->holder && now >= this->heldUntil) {
                this->holder = member;
                ++this->generation;
            }
            std::string parts;
            if (member == this->holder) {
                this->heldUntil = now + Ms(std::atoi(request.body.c_str() + request.body.find(R"("TtlMs":)") + 8));
                parts = R"(["placement",0,0])";
            }
            return this->respond(200, R"({"Generation":)" + std::to_string(this->generation) + R"(,"parts":[)" + parts + "]}");
        }
        return this->respond(404, "{}");
    }

    awaitable<std::string> read(const Message request)
    {
        const auto& records = this->topics[request.query("Topic")];
        const std::size_t from = std::strtoul(request.query("From").c_str(), nullptr, 10);
        const auto until = Clock::now() + Ms(std::atoi(request.query("WaitMs").c_str()));
        while (from >= records.size() && Clock::now() < until)
            co_await pauseFor(Ms(10));
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t index = from; index < records.size(); ++index) {
            const std::string content = bigEndian(records[index].first.size(), 1) + records[index].first + records[index].second.value_or("");
            body += bigEndian(content.size(), 4) + content;
        }
        co_return this->respond(200, body);
    }

    static std::string respond(int status, const std::string& body) { return answerText(status, "Store-Era: 1\r\nContent-Type: application/json\r\n", body); }

    std::map<std::string, std::vector<std::pair<std::string, std::optional<std::string>>>> topics;
    std::string holder;
    Clock::time_point heldUntil;
    int generation = 0;
    Server server;
};

/** \brief A part of a path through engines. */
struct Hop {
    std::string address;
    int from = 0;
    int to = 0;
};

inline std::vector<Hop> readHops(const std::string& text)
{
    std::vector<Hop> hops;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto equals = part.find('=');
        const auto dash = part.find('-', equals);
        hops.push_back({ part.substr(0, equals), std::atoi(part.c_str() + equals + 1), std::atoi(part.c_str() + dash + 1) });
    }
    return hops;
}

class Scene;

/** \brief A replica of the plain service, or an engine that holds layers of the model. */
class Replica {
public:
    Replica(Scene&, const std::string& id, const std::string& zone, const std::string& address, bool engine, int from, int to);

    std::string id;
    std::string zone;
    bool engine;
    int from;
    int to;
    int orders = 0;
    int beats = 1;
    long born;
    int firstMs = 15; ///< to the first event of a stream
    int eventMs = 15; ///< between the events of a stream
    int events = 20; ///< of a stream
    /** \brief Takes a request over in a case of its own; returns whether it did. */
    std::function<awaitable<bool>(std::shared_ptr<tcp::socket>, const Message&)> special;

    std::string address() const { return this->server.address(); }
    std::string entry() const;
    /** \brief Ends without a word; its entry stays until the store removes it. */
    void crash()
    {
        this->crashed = true;
        this->server.crash();
    }
    bool crashed = false;

private:
    awaitable<void> serve(std::shared_ptr<tcp::socket>);
    awaitable<bool> answer(std::shared_ptr<tcp::socket>, const Message);

    Scene& scene;
    Server server;
};

/** \brief A gateway process. */
struct Gateway {
    std::string name;
    std::string zone;
    std::string ip;
    std::string front;
    std::string ready;
    std::string control;
    int firstPort = 0;
    std::string file;
    pid_t process = 0;
};

/** \brief The answer that a client got. */
struct Answer {
    int status = 0; ///< 0: none
    bool complete = false;
    std::string body;
    std::string id; ///< Attempt-Id of the answer
    bool sealed = false;
};

class Scene {
public:
    explicit Scene(const std::string& recordFile)
        : record(recordFile)
    {
        const char* trouble = std::getenv("TROUBLE");
        this->trouble = !trouble || std::string(trouble) != "0";
        const auto pid = static_cast<unsigned>(getpid());
        this->network = "127." + std::to_string(60 + pid % 120) + "." + std::to_string(pid / 120 % 250 + 1) + ".";
        this->folder = "/tmp/review-scene-" + std::to_string(pid);
        (void)::system(("mkdir -p " + this->folder).c_str());
        std::signal(SIGPIPE, SIG_IGN);
        this->store = std::make_unique<Store>(this->context, this->network + "2");
    }

    ~Scene()
    {
        for (Gateway& gateway : this->gateways)
            this->stop(gateway, SIGKILL);
        (void)::system(("rm -rf " + this->folder).c_str());
    }

    std::string ip(int host) const { return this->network + std::to_string(host); }

    Replica& addReplica(const std::string& id, const std::string& zone, bool engine, int from = 0, int to = 0)
    {
        auto replica = std::make_unique<Replica>(*this, id, zone, this->ip(20 + static_cast<int>(this->replicas.size())), engine, from, to);
        Replica& added = *replica;
        this->replicas.emplace(id, std::move(replica));
        this->store->put("keyed.servers", id, added.entry());
        return added;
    }

    /** \brief Renews the entries of the replicas as their check-ins do. */
    awaitable<void> beat()
    {
        while (true) {
            co_await pauseFor(Ms(1200));
            for (auto& [id, replica] : this->replicas) {
                if (replica->crashed)
                    continue;
                ++replica->beats;
                this->store->put("keyed.servers", id, replica->entry());
            }
        }
    }

    int freePort(const std::string& ip)
    {
        tcp::acceptor probe(this->context, tcp::endpoint(asio::ip::make_address(ip), 0));
        return probe.local_endpoint().port();
    }

    /** \brief Plans a gateway; launch() starts it. */
    Gateway& addGateway(const std::string& zone)
    {
        Gateway gateway;
        gateway.name = "front-" + zone + "-" + std::to_string(this->gateways.size());
        gateway.zone = zone;
        gateway.ip = this->ip(10 + static_cast<int>(this->gateways.size()));
        const auto address = [&] { return gateway.ip + ":" + std::to_string(this->freePort(gateway.ip)); };
        gateway.front = address();
        gateway.ready = address();
        gateway.control = address();
        gateway.firstPort = 7340;
        gateway.file = this->folder + "/" + gateway.name + ".yaml";
        this->gateways.push_back(gateway);
        return this->gateways.back();
    }

    /** \brief Fills in the template of the deploy file as the platform does. */
    std::string settings(const Gateway& gateway) const
    {
        std::ifstream stream("deploy/gateway.yaml");
        std::ostringstream read;
        read << stream.rdbuf();
        std::string text = read.str();
        std::string seeds;
        for (const Gateway& seed : this->gateways)
            seeds += (seeds.empty() ? "\"" : ",\"") + seed.control + "\"";
        const std::vector<std::pair<std::string, std::string>> values { { "{{#Listen.ControlAddr}}\n", "" }, { "{{/Listen.ControlAddr}}\n", "" }, { "{{.}}", gateway.control }, { "{{NodeName}}", gateway.name }, { "{{Zone}}", gateway.zone },
            { "{{Listen.FrontAddr}}", gateway.front }, { "{{Listen.ReadyAddr}}", gateway.ready }, { "{{BindIp}}", gateway.ip }, { "{{PortRange.0}}", std::to_string(gateway.firstPort) }, { "{{PortRange.1}}", std::to_string(gateway.firstPort + 1) },
            { "{{SeedAddrs|json}}", "[" + seeds + "]" }, { "{{Platform.Address}}", this->store->address() }, { "{{HeartbeatMs}}", "1200" }, { "{{Bounds.RetryBudgetRatio}}", "0.2" }, { "{{Bounds.BudgetExtra}}", "200" }, { "{{Bounds.GraceS}}", "8" } };
        for (const auto& [placeholder, value] : values) {
            for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
                text.replace(at, placeholder.size(), value);
        }
        return text;
    }

    /** \param descriptors limit of the machine; 0 for the usual one */
    void launch(Gateway& gateway, rlim_t descriptors = 0)
    {
        std::ofstream(gateway.file) << this->settings(gateway);
        const std::string log = this->logFolder.empty() ? "/dev/null" : this->logFolder + "/" + gateway.name + ".log";
        gateway.process = ::fork();
        if (gateway.process != 0)
            return;
        // The gateway ends with the case, whatever ends that.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (descriptors > 0) {
            const rlimit limit { descriptors, descriptors };
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        for (int descriptor = 3; descriptor < 1024; ++descriptor)
            ::close(descriptor);
        ::setenv("FILBERTSPOKE_SETTINGS", gateway.file.c_str(), 1);
        ::execl("target/bin/filbertspoked", "target/bin/filbertspoked", "gateway", nullptr);
        ::_exit(127);
    }

    void stop(Gateway& gateway, int signal)
    {
        if (gateway.process <= 0)
            return;
        ::kill(gateway.process, SIGCONT);
        ::kill(gateway.process, signal);
        ::waitpid(gateway.process, nullptr, 0);
        gateway.process = 0;
    }

    bool running(Gateway& gateway)
    {
        if (gateway.process <= 0)
            return false;
        int status = 0;
        if (::waitpid(gateway.process, &status, WNOHANG) == 0)
            return true;
        this->record.note("gateway " + gateway.name + " ended by itself, wait status " + std::to_string(status));
        gateway.process = 0;
        return false;
    }

    static tcp::endpoint endpoint(const std::string& address)
    {
        const auto colon = address.rfind(':');
        return { asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)) };
    }

    /** \brief Sends a request on a new channel and reads its answer. */
    awaitable<Answer> call(const std::string address, const std::string text, Ms limit)
    {
        Answer answer;
        tcp::socket socket(this->context);
        asio::steady_timer timer(this->context, limit);
        timer.async_wait([&socket](boost::system::error_code error) {
            if (!error) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
        const auto [error] = co_await socket.async_connect(endpoint(address), asTuple);
        if (!error && co_await writeText(socket, text)) {
            std::string buffer;
            if (const auto message = co_await readMessage(socket, buffer))
                answer = { message->status(), message->complete, message->body, message->header("Attempt-Id"), !message->header("Server-Seal").empty() };
        }
        timer.cancel();
        co_return answer;
    }

    awaitable<bool> isReady(const std::string address)
    {
        const Answer answer = co_await this->call(address, "GET /filbertspoke/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", Ms(500));
        co_return answer.status == 200;
    }

    awaitable<bool> awaitReady()
    {
        for (int round = 0; round < 100; ++round) {
            bool all = true;
            for (const Gateway& gateway : this->gateways)
                all = co_await this->isReady(gateway.ready) && all;
            if (all)
                co_return true;
            co_await pauseFor(Ms(100));
        }
        co_return false;
    }

    std::string nextId() { return "a" + std::to_string(getpid()) + "x" + std::to_string(++this->ids); }

    /** \brief Text of a generation, a booking or a look-up. */
    std::string requestText(const std::string& path, const std::string& id, int limitMs, const std::string& tokens = "800,40", const std::string& more = {})
    {
        const std::string head = " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(limitMs) + "\r\nKey: key-1\r\n" + more;
        if (path.starts_with("/chat/"))
            return "POST " + path + head + "Model: m0\r\nToken-Count: " + tokens + "\r\nPrompt-Prefix: 5c1e:40," + id + ":760\r\nContent-Length: 4\r\n\r\nbody";
        if (path.starts_with("/book/"))
            return "POST " + path + head + "Content-Length: 4\r\n\r\nbody";
        return "GET " + path + head + "\r\n";
    }

    std::string configuration(int version) const
    {
        const auto route = [](const std::string& name, const std::string& kind, const std::string& service, int timeout, int target, const std::string& more) {
            return R"({"Name":")" + name + R"(","Host":"shop.example","PathPrefix":"/)" + name + R"(/","Service":")" + service + R"(","Kind":")" + kind + R"(","Attempts":2,"TimeoutMs":)" + std::to_string(timeout) + R"(,"TargetLatencyMs":)" + std::to_string(target) + more + "}";
        };
        return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" + route("chat", "stream", "llm", 20000, 500, R"(,"GapTargetMs":200,"StreamResume":true,"Sticky":true,"Priority":1)") + "," + route("book", "non_idempotent", "app", 1500, 100, R"(,"Priority":2)") + ","
            + route("stock", "idempotent", "app", 1500, 100, R"(,"Priority":2)") + R"(],"Services":[{"Name":"llm","Engine":{"Slots":192,"KvTokenBytes":327680,"Stride":2,"step_ms":0.85,"per_seq_ms":0.001,"context_per_k":0.001,"read_per_s":196000.0,"usual":{"prompt":800,"answer":172},)"
            + R"("Layers":80,"LayerMb":1750.0,"ActBytes":16384,"LinkMbps":11000.0,"PipeMbps":11000.0,"delays":[],"Models":[{"Name":"m0","LoadS":14.0}],"Kinds":[{"Name":"h100","Megabytes":72000.0,"pace":1.4,"ReadFactor":1.0}]}},{"Name":"app"}],)"
            + R"("Tenants":[{"Name":"gold","ApiKeys":["key-1"]},{"Name":"other","ApiKeys":["key-2"]}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
    }

    /** \brief Runs the case, and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    int run(std::function<awaitable<int>(Scene&)> play)
    {
        int code = 2;
        asio::co_spawn(this->context, this->beat(), asio::detached);
        asio::co_spawn(this->context, play(*this), [&](std::exception_ptr error, int result) {
            code = error ? 2 : result;
            if (error) {
                try {
                    std::rethrow_exception(error);
                } catch (const std::exception& exception) {
                    this->record.note(std::string("could not run: ") + exception.what());
                }
            }
            this->context.stop();
        });
        this->context.run();
        this->record.note("exit code " + std::to_string(code));
        return code;
    }

    asio::io_context context;
    Record record;
    bool trouble = true;
    std::string network;
    std::string folder;
    std::string logFolder = std::getenv("LOGS") ? std::getenv("LOGS") : "";
    std::unique_ptr<Store> store;
    std::map<std::string, std::unique_ptr<Replica>> replicas;
    std::vector<Gateway> gateways;
    std::map<std::string, std::vector<std::string>> runs; ///< by Attempt-Id, the replicas that ran it
    int ids = 0;
};

inline Replica::Replica(Scene& scene, const std::string& id, const std::string& zone, const std::string& address, bool engine, int from, int to)
    : id(id)
    , zone(zone)
    , engine(engine)
    , from(from)
    , to(to)
    , born(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count())
    , scene(scene)
    , server(scene.context, address, [this](std::shared_ptr<tcp::socket> socket) { return this->serve(std::move(socket)); })
{
}

inline std::string Replica::entry() const
{
    std::string text = R"({"Service":")" + std::string(this->engine ? "llm" : "app") + R"(","Address":")" + this->address() + R"(","Zone":")" + this->zone + R"(","Version":"1","Slots":)" + (this->engine ? "192" : "6") + R"(,"State":"ready","ColdLeftMs":0,"CallSeq":)"
        + std::to_string(this->beats) + R"(,"born":)" + std::to_string(this->born);
    if (this->engine)
        text += R"(,"Stage":"unified","Kind":"h100","Layers":{"From":)" + std::to_string(this->from) + R"(,"To":)" + std::to_string(this->to) + R"(,"Version":1})";
    return text + "}";
}

inline awaitable<void> Replica::serve(std::shared_ptr<tcp::socket> socket)
{
    std::string buffer;
    while (true) {
        const auto request = co_await readMessage(*socket, buffer);
        if (!request || !request->complete || !co_await this->answer(socket, *request))
            break;
    }
    boost::system::error_code ignored;
    socket->close(ignored);
}

inline awaitable<bool> Replica::answer(std::shared_ptr<tcp::socket> socket, const Message request)
{
    if (request.path() == "/filbertspoke/report") {
        const std::string layers = this->to > this->from ? R"(,"Layers":{"From":)" + std::to_string(this->from) + R"(,"To":)" + std::to_string(this->to) + R"(,"Version":1})" : "";
        co_return co_await writeText(*socket, answerText(200, "", R"({"Stage":"unified","Models":[],"Busy":false,"CallSeq":)" + std::to_string(this->orders) + R"(,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":90000,"Handles":0,"Stalled":[])" + layers + "}"));
    }
    if (request.path() == "/filbertspoke/order") {
        const auto number = [&](const std::string& name) { return std::atoi(request.body.c_str() + request.body.find("\"" + name + "\":") + name.size() + 3); };
        if (number("Expected") != this->orders)
            co_return co_await writeText(*socket, answerText(409, "", "{}"));
        ++this->orders;
        this->from = number("From");
        this->to = number("To");
        ++this->beats;
        this->scene.record.note("order " + this->id + " holds " + std::to_string(this->from) + "-" + std::to_string(this->to));
        this->scene.store->put("keyed.servers", this->id, this->entry());
        co_return co_await writeText(*socket, answerText(202, "", "{}"));
    }
    const std::string attempt = request.header("Attempt-Id");
    const std::string common = (attempt.empty() ? "" : "Attempt-Id: " + attempt + "\r\n");
    if (this->special && co_await this->special(socket, request))
        co_return true;
    const std::string expected = request.header("Expect-Instance");
    if (!expected.empty() && expected != this->id)
        co_return co_await writeText(*socket, answerText(421, common + "Replica-Id: " + this->id + "\r\n", ""));
    if (attempt.empty())
        co_return co_await writeText(*socket, answerText(400, "Not-Executed: 1\r\n", ""));
    if (!this->engine) {
        this->scene.runs[attempt].push_back(this->id);
        this->scene.record.note("run " + attempt + " at " + this->id + " " + request.start);
        co_await pauseFor(Ms(15));
        co_return co_await writeText(*socket, answerText(200, common + "Server-Seal: seal-" + attempt + "\r\nReplica-Load: 1,0,6\r\n", "served " + attempt));
    }
    auto hops = readHops(request.header("Hop-Count"));
    if (hops.empty())
        hops.push_back({ this->address(), 0, 80 });
    for (const Hop& hop : hops) {
        const auto holder = std::find_if(this->scene.replicas.begin(), this->scene.replicas.end(), [&](const auto& entry) { return entry.second->engine && entry.second->address() == hop.address; });
        if (holder == this->scene.replicas.end() || hop.from < holder->second->from || hop.to > holder->second->to) {
            this->scene.record.note("rejected " + attempt + " at " + this->id + ": does not hold its part of " + request.header("Hop-Count"));
            co_return co_await writeText(*socket, answerText(421, common + "At-Server: " + hop.address + "\r\n", ""));
        }
    }
    this->scene.runs[attempt].push_back(this->id);
    this->scene.record.note("run " + attempt + " at " + this->id + " path " + request.header("Hop-Count"));
    if (!co_await writeText(*socket, "HTTP/1.1 200 OK\r\n" + common + "Server-Seal: seal-" + attempt + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        co_return false;
    for (int event = std::atoi(request.header("Last-Event-Id").c_str()) + 1; event <= this->events; ++event) {
        co_await pauseFor(Ms(event == std::atoi(request.header("Last-Event-Id").c_str()) + 1 ? this->firstMs : this->eventMs));
        const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
        std::ostringstream size;
        size << std::hex << text.size();
        if (!co_await writeText(*socket, size.str() + "\r\n" + text + "\r\n"))
            co_return false;
    }
    co_return co_await writeText(*socket, "0\r\n\r\n");
}

}

#endif
