// Stand-ins of a small deployment for the cases 11 to 15: the platform's store, plain replicas, engines and clients, and the gateways as
// processes with the command and the settings template of the deploy file. Blocking sockets and threads, loopback addresses only.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/** \brief Exit codes of a case. */
enum Verdict { ruleHeld = 0,
    ruleBroken = 1,
    couldNotRun = 2 };

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

/** \brief Lines of record.txt, with the seconds since the start. */
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
        , start(Clock::now())
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", std::chrono::duration<double>(Clock::now() - this->start).count());
        this->file << at << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start;
};

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/** \brief A connected socket with buffered reads. */
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { this->close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(const Address& address, Ms limit = Ms(1000))
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval time { static_cast<time_t>(limit.count() / 1000), static_cast<suseconds_t>(limit.count() % 1000 * 1000) };
        setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
        const sockaddr_in target = socketAddress(address);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
    }

    bool send(const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t bytes = ::send(this->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (bytes <= 0)
                return false;
            sent += static_cast<std::size_t>(bytes);
        }
        return true;
    }

    /** \brief Reads more bytes into the buffer.
     * \returns whether some came before the time limit */
    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        pollfd wait { this->descriptor, POLLIN, 0 };
        if (left < 0 || poll(&wait, 1, static_cast<int>(left) + 1) <= 0) {
            this->timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t got = recv(this->descriptor, bytes, sizeof bytes, 0);
        if (got <= 0) {
            this->ended = true;
            this->reset = got < 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    /** \returns whether the other side has closed the connection, without reading */
    bool peerClosed() const
    {
        char byte = 0;
        const ssize_t got = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void resetOnClose()
    {
        const linger option { 1, 0 };
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }

    /** \brief Ends both directions, so that a thread that reads or writes here returns. */
    void shutdown() { ::shutdown(this->descriptor, SHUT_RDWR); }

    int descriptor;
    std::string buffer;
    bool ended = false;
    bool reset = false;
    bool timedOut = false;
};

struct Message {
    std::string start; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false;
    bool chunked = false;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    std::string word(int index) const
    {
        std::istringstream words(this->start);
        std::string text;
        for (int at = 0; at <= index; ++at)
            words >> text;
        return text;
    }
    int status() const { return this->start.empty() ? 0 : std::atoi(this->word(1).c_str()); }
    std::string path() const { return this->word(1).substr(0, this->word(1).find('?')); }
    std::string query(const std::string& name) const
    {
        const std::string target = this->word(1);
        std::istringstream parts(target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            if (part.starts_with(name + "="))
                return part.substr(name.size() + 1);
        }
        return {};
    }
};

/** \brief Reads one HTTP message. \param response whether a body without length ends with the connection */
inline Message readMessage(Connection& connection, Clock::time_point until, bool response)
{
    Message message;
    std::size_t end;
    while ((end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!connection.fill(until))
            return message;
    }
    std::istringstream head(connection.buffer.substr(0, end));
    connection.buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    message.start = line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    message.chunked = strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0;
    if (message.chunked) {
        while (true) {
            std::size_t lineEnd;
            while ((lineEnd = connection.buffer.find("\r\n")) == std::string::npos) {
                if (!connection.fill(until))
                    return message;
            }
            const std::size_t size = std::strtoul(connection.buffer.c_str(), nullptr, 16);
            while (connection.buffer.size() < lineEnd + 2 + size + 2) {
                if (!connection.fill(until)) {
                    message.body += connection.buffer.substr(std::min(connection.buffer.size(), lineEnd + 2));
                    return message;
                }
            }
            message.body += connection.buffer.substr(lineEnd + 2, size);
            connection.buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                message.complete = true;
                return message;
            }
        }
    }
    const std::string length = message.header("Content-Length");
    if (length.empty() && response && message.status() != 204) {
        while (connection.fill(until)) { }
        message.body = std::move(connection.buffer);
        connection.buffer.clear();
        message.complete = connection.ended && !connection.reset;
        return message;
    }
    const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (connection.buffer.size() < size) {
        if (!connection.fill(until)) {
            message.body = connection.buffer;
            return message;
        }
    }
    message.body = connection.buffer.substr(0, size);
    connection.buffer.erase(0, size);
    message.complete = true;
    return message;
}

/** \brief Accepts connections and serves each in a thread of its own. */
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server(const std::string& ip, Handler handler)
        : handler(std::move(handler))
    {
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in any = socketAddress({ ip, 0 });
        if (bind(this->listener, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0 || listen(this->listener, 512) != 0)
            throw std::runtime_error("can't listen on " + ip);
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&bound), &size);
        this->at = { ip, ntohs(bound.sin_port) };
        this->thread = std::thread([this] { this->accept(); });
    }
    ~Server() { this->stop(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    const Address& address() const { return this->at; }

    /** \brief Closes the listener and all connections, as the end of the process does. */
    void stop()
    {
        if (!this->running.exchange(false))
            return;
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
        {
            const std::lock_guard lock(this->mutex);
            for (const auto& connection : this->open)
                connection->shutdown();
        }
        for (std::thread& worker : this->workers)
            worker.join();
    }

    /** \brief Ends the listener and all connections as the system does when it kills the process. May be called by a handler. */
    void crash()
    {
        this->crashed = true;
        ::shutdown(this->listener, SHUT_RDWR);
        const std::lock_guard lock(this->mutex);
        for (const auto& connection : this->open)
            connection->shutdown();
    }

private:
    void accept()
    {
        while (this->running && !this->crashed) {
            const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            auto connection = std::make_shared<Connection>(descriptor);
            const std::lock_guard lock(this->mutex);
            this->open.push_back(connection);
            this->workers.emplace_back([this, connection] {
                this->handler(*connection);
                const std::lock_guard closing(this->mutex);
                connection->close();
                std::erase(this->open, connection);
            });
        }
    }

    Handler handler;
    int listener = -1;
    Address at;
    std::atomic<bool> running { true };
    std::atomic<bool> crashed { false };
    std::mutex mutex;
    std::vector<std::shared_ptr<Connection>> open;
    std::vector<std::thread> workers;
    std::thread thread;
};

/** \returns a port of the address that is free now */
inline Address freeAddress(const std::string& ip)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in any = socketAddress({ ip, 0 });
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0)
        throw std::runtime_error("can't bind " + ip);
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    ::close(descriptor);
    return { ip, ntohs(bound.sin_port) };
}

inline std::string response(int status, const std::string& body, const std::string& headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift & 0xff);
    return text;
}

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t size = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8 | (index < size ? static_cast<unsigned char>(bytes[at + index]) : 0);
        for (std::size_t index = 0; index < 4; ++index)
            text += index <= size ? digits[group >> (18 - 6 * index) & 63] : '=';
    }
    return text;
}

/** \brief The platform's store: keyed topics and one group. */
class Store {
public:
    explicit Store(const std::string& ip)
        : server(ip, [this](Connection& connection) { this->serve(connection); })
    {
    }
    ~Store()
    {
        this->closing = true;
        this->changed.notify_all();
    }

    const Address& address() const { return this->server.address(); }

    /** \brief Closes its address and all connections. */
    void close() { this->server.crash(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->topics[topic].emplace_back(key, value);
        this->changed.notify_all();
    }

    bool away = false; ///< answers 503

private:
    void serve(Connection& connection)
    {
        while (!this->closing) {
            const Message request = readMessage(connection, Clock::now() + std::chrono::seconds(120), false);
            if (!request.complete || !connection.send(this->answer(request)))
                return;
        }
    }

    std::string answer(const Message& request)
    {
        std::unique_lock lock(this->mutex);
        const std::string era = "Store-Era: 1\r\n";
        if (this->away)
            return response(503, "", era);
        auto& records = this->topics[request.query("Topic")];
        if (request.path() == "/filbertspoke/log-newest") {
            std::map<std::string, std::string> newest;
            for (const auto& [key, value] : records)
                newest[key] = value;
            std::string items;
            for (const auto& [key, value] : newest) {
                if (!value.empty())
                    items += std::string(items.empty() ? "" : ",") + "{\"Key\":\"" + key + "\",\"Value\":\"" + base64(value) + "\",\"Offset\":0}";
            }
            return response(200, "{\"Items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" + std::to_string(records.size()) + "}", era);
        }
        if (request.path() == "/filbertspoke/log-read") {
            const std::size_t from = std::strtoul(request.query("From").c_str(), nullptr, 10);
            const auto until = Clock::now() + Ms(std::atoi(request.query("WaitMs").c_str()));
            while (records.size() <= from && !this->closing && Clock::now() < until)
                this->changed.wait_until(lock, until);
            if (from > records.size())
                return response(410, "{\"FirstOffset\":0}", era);
            std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (std::size_t index = from; index < records.size(); ++index) {
                const std::string content = bigEndian(records[index].first.size(), 1) + records[index].first + records[index].second;
                body += bigEndian(content.size(), 4) + content;
            }
            return response(200, body, era);
        }
        if (request.path() == "/filbertspoke/log-append")
            return response(200, "{\"Offset\":0,\"EndOffset\":0}", era);
        if (request.path() == "/filbertspoke/log-join") {
            const std::size_t at = request.body.find("\"Member\":\"") + 10;
            const std::string member = request.body.substr(at, request.body.find('"', at) - at);
            if (member != this->holder && Clock::now() >= this->heldUntil) {
                this->holder = member;
                ++this->generation;
            }
            const bool held = member == this->holder;
            if (held)
                this->heldUntil = Clock::now() + Ms(1500);
            return response(200, "{\"Generation\":" + std::to_string(this->generation) + ",\"parts\":[" + (held ? "[\"placement\",0,0]" : "") + "]}", era);
        }
        return response(404, "", era);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> closing { false };
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics;
    std::string holder;
    Clock::time_point heldUntil {};
    int generation = 0;
    Server server;
};

/** \brief What a replica was sent, as it began to run it or turned it away. */
struct Arrival {
    std::string replica;
    std::string id;
    std::string target;
    int status = 0;
    Clock::time_point at;
};

class Replicas;

/** \brief A plain replica or an engine. */
struct Replica {
    std::string id;
    std::string service;
    std::string zone;
    std::string kind; ///< of an engine
    int slots = 6;
    int first = 0; ///< layers that an engine holds
    int last = 0;
    int orders = 0;
    int beats = 0;
    std::int64_t born = 0;
    bool gone = false;
    std::optional<std::pair<int, int>> ordered; ///< layers that are being loaded
    std::chrono::steady_clock::time_point loadedAt {};
    std::unique_ptr<Server> server;

    std::string entry() const
    {
        std::string text = "{\"Service\":\"" + this->service + "\",\"Address\":\"" + this->server->address().text() + "\",\"Zone\":\"" + this->zone + "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(this->slots)
            + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"CallSeq\":" + std::to_string(this->beats) + ",\"born\":" + std::to_string(this->born);
        if (!this->kind.empty()) {
            text += ",\"Stage\":\"unified\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Kind\":\"" + this->kind + "\"";
            if (this->last > this->first)
                text += ",\"Layers\":{\"From\":" + std::to_string(this->first) + ",\"To\":" + std::to_string(this->last) + ",\"Version\":1}";
        }
        return text + "}";
    }
};

struct StreamPart {
    std::string at;
    int from = 0;
    int to = 0;
};

inline std::vector<StreamPart> pathOf(const std::string& header)
{
    std::vector<StreamPart> path;
    std::istringstream parts(header);
    for (std::string part; std::getline(parts, part, ',');) {
        const std::size_t equals = part.find('=');
        const std::size_t dash = part.find('-', equals);
        if (equals != std::string::npos && dash != std::string::npos)
            path.push_back({ part.substr(0, equals), std::atoi(part.c_str() + equals + 1), std::atoi(part.c_str() + dash + 1) });
    }
    return path;
}

/** \brief All replicas of the deployment, with what they were sent. They behave like sound ones unless a case overrides an answer. */
class Replicas {
public:
    static constexpr int layers = 80;
    static constexpr int loadMs = 2000; ///< for all layers
    /** \returns whether the override has answered the request itself, and whether the connection stays open */
    using Override = std::function<std::optional<bool>(Replica&, const Message&, Connection&)>;

    Replicas(Store& store, Record& record)
        : store(store)
        , record(record)
        , beating([this] { this->beat(); })
    {
    }
    ~Replicas()
    {
        this->closing = true;
        this->beating.join();
        for (auto& [id, replica] : this->all)
            replica->server->stop();
        for (auto& server : this->ended)
            server->stop();
    }

    Replica& add(const std::string& id, const std::string& ip, const std::string& service, const std::string& zone, const std::string& kind = {}, int first = 0, int last = 0)
    {
        auto replica = std::make_unique<Replica>();
        replica->id = id;
        replica->service = service;
        replica->zone = zone;
        replica->kind = kind;
        replica->slots = kind.empty() ? 6 : 192;
        replica->first = first;
        replica->last = last;
        replica->born = static_cast<std::int64_t>(std::time(nullptr)) * 1000;
        Replica* raw = replica.get();
        raw->server = std::make_unique<Server>(ip, [this, raw](Connection& connection) { this->serve(*raw, connection); });
        const std::lock_guard lock(this->mutex);
        this->publish(*raw);
        this->all.emplace(id, std::move(replica));
        return *raw;
    }

    std::vector<Arrival> arrivals()
    {
        const std::lock_guard lock(this->mutex);
        return this->seen;
    }

    void note(const Replica& replica, const Message& request, int status)
    {
        this->record.line("replica " + replica.id + " got " + request.header("Attempt-Id") + " " + request.word(0) + " " + request.word(1) + " path [" + request.header("Hop-Count") + "] last event [" + request.header("Last-Event-Id") + "] -> " + std::to_string(status));
        const std::lock_guard lock(this->mutex);
        this->seen.push_back({ replica.id, request.header("Attempt-Id"), request.word(1), status, Clock::now() });
    }

    /** \brief Kills the replica: its connections end, it accepts none and writes nothing to the store any more. */
    void crash(Replica& replica)
    {
        {
            const std::lock_guard lock(this->mutex);
            replica.gone = true;
        }
        replica.server->crash();
        this->record.line("replica " + replica.id + " crashes");
    }

    /** \brief Lets the replicas write to another store too, and writes all entries there. */
    void alsoWriteTo(Store& other)
    {
        const std::lock_guard lock(this->mutex);
        this->copy = &other;
        for (auto& [id, replica] : this->all)
            this->publish(*replica);
    }

    /** \brief Starts a crashed replica again under its id, at another port and with nothing loaded. */
    void restart(Replica& replica)
    {
        const std::lock_guard lock(this->mutex);
        this->ended.push_back(std::move(replica.server));
        replica.server = std::make_unique<Server>("127.0.0.1", [this, raw = &replica](Connection& connection) { this->serve(*raw, connection); });
        replica.first = 0;
        replica.last = 0;
        replica.orders = 0;
        replica.ordered.reset();
        replica.gone = false;
        replica.born = std::max(replica.born + 1, static_cast<std::int64_t>(std::time(nullptr)) * 1000);
        this->record.line("replica " + replica.id + " is back at " + replica.server->address().text());
        this->publish(replica);
    }

    Override override;
    int events = 12; ///< of a stream
    Ms gap { 25 };
    Ms prefill { 0 }; ///< before the first event of a stream

private:
    void publish(Replica& replica)
    {
        ++replica.beats;
        this->store.put("keyed.servers", replica.id, replica.entry());
        if (this->copy)
            this->copy->put("keyed.servers", replica.id, replica.entry());
    }

    void beat()
    {
        for (int tick = 0; !this->closing; ++tick) {
            std::this_thread::sleep_for(Ms(100));
            const std::lock_guard lock(this->mutex);
            for (auto& [id, replica] : this->all) {
                if (!replica->gone && replica->ordered && Clock::now() >= replica->loadedAt) {
                    std::tie(replica->first, replica->last) = *replica->ordered;
                    replica->ordered.reset();
                    this->publish(*replica);
                }
            }
            if (tick % 12 != 0)
                continue;
            for (auto& [id, replica] : this->all) {
                if (!replica->gone)
                    this->publish(*replica);
            }
        }
    }

    void serve(Replica& replica, Connection& connection)
    {
        while (!this->closing) {
            const Message request = readMessage(connection, Clock::now() + std::chrono::seconds(60), false);
            if (!request.complete || !this->answer(replica, request, connection))
                return;
        }
    }

    bool holds(const std::string& at, int from, int to)
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [id, replica] : this->all) {
            if (replica->server->address().text() == at)
                return !replica->gone && replica->first <= from && to <= replica->last && from < to;
        }
        return false;
    }

    bool answer(Replica& replica, const Message& request, Connection& connection)
    {
        const std::string expected = request.header("Expect-Instance");
        if (!expected.empty() && expected != replica.id) {
            this->note(replica, request, 421);
            return connection.send(response(421, "", "Replica-Id: " + replica.id + "\r\n"));
        }
        if (request.path() == "/health")
            return connection.send(response(200, "", "Replica-Id: " + replica.id + "\r\n"));
        if (request.path() == "/filbertspoke/report") {
            const std::lock_guard lock(this->mutex);
            return connection.send(response(200, "{\"Stage\":\"unified\",\"Models\":[],\"Busy\":" + std::string(replica.ordered ? "true" : "false") + ",\"CallSeq\":" + std::to_string(replica.orders) + ",\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"Stalled\":[],\"Layers\":{\"From\":" + std::to_string(replica.first) + ",\"To\":" + std::to_string(replica.last) + ",\"Version\":1}}", "Content-Type: application/json\r\n"));
        }
        if (request.path() == "/filbertspoke/order") {
            const std::lock_guard lock(this->mutex);
            if (replica.ordered)
                return connection.send(response(409, ""));
            const int first = std::atoi(request.body.c_str() + request.body.find("\"From\":") + 7);
            const int last = std::atoi(request.body.c_str() + request.body.find("\"To\":") + 5);
            replica.ordered = std::pair(first, last);
            replica.loadedAt = Clock::now() + Ms(loadMs * (last - first) / layers);
            ++replica.orders;
            this->record.line("replica " + replica.id + " ordered to hold " + std::to_string(first) + "-" + std::to_string(last));
            return connection.send(response(202, ""));
        }
        if (this->override) {
            if (const auto answered = this->override(replica, request, connection))
                return *answered;
        }
        const std::string id = "Attempt-Id: " + request.header("Attempt-Id") + "\r\n";
        if (replica.kind.empty()) {
            this->note(replica, request, 200);
            return connection.send(response(200, "served by " + replica.id + " " + request.header("Attempt-Id"), id + "Server-Seal: seal-" + request.header("Attempt-Id") + "\r\n"));
        }
        return this->stream(replica, request, connection);
    }

public:
    /** \brief Answers as a sound engine. \param until last event before the engine stops without an end; 0 for a whole stream */
    bool stream(Replica& replica, const Message& request, Connection& connection, int until = 0)
    {
        const std::vector<StreamPart> path = pathOf(request.header("Hop-Count"));
        for (const StreamPart& part : path) {
            if (this->holds(part.at, part.from, part.to))
                continue;
            this->note(replica, request, 421);
            return connection.send(response(421, "", "Replica-Id: " + replica.id + "\r\nAt-Server: " + part.at + "\r\nNot-Executed: 1\r\n"));
        }
        // A replica stops work at the time limit that it receives; its 504 counts as run.
        const Ms limit(std::max(1, std::atoi(request.header("Deadline-Ms").c_str())));
        if (this->prefill > limit) {
            std::this_thread::sleep_for(limit);
            this->note(replica, request, 504);
            return connection.send(response(504, "", "Attempt-Id: " + request.header("Attempt-Id") + "\r\nServer-Seal: seal-" + request.header("Attempt-Id") + "\r\n"));
        }
        std::this_thread::sleep_for(this->prefill);
        this->note(replica, request, 200);
        const int after = std::atoi(request.header("Last-Event-Id").c_str());
        if (!connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nServer-Seal: seal-" + request.header("Attempt-Id") + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int event = after + 1; event <= (until > 0 ? until : this->events); ++event) {
            std::this_thread::sleep_for(this->gap);
            const std::string text = eventText(event);
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!connection.send(size + text + "\r\n"))
                return false;
        }
        return until > 0 ? false : connection.send("0\r\n\r\n");
    }

    static std::string eventText(int event) { return "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n"; }

private:
    Store& store;
    Store* copy = nullptr;
    Record& record;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Replica>> all;
    std::vector<std::unique_ptr<Server>> ended; ///< of replicas that crashed
    std::vector<Arrival> seen;
    std::atomic<bool> closing { false };
    std::thread beating;
};

/** \brief A gateway process, started with the command of the deploy file. */
class Gateway {
public:
    std::string name;
    std::string zone;
    std::string ip;
    Address front;
    Address ready;
    Address peers;
    Address metrics;
    Address handover;
    pid_t pid = -1;
    bool ended = false;
    int waitStatus = 0; ///< once it has ended by itself

    /** \returns how the process ended */
    std::string end() const
    {
        return WIFSIGNALED(this->waitStatus) ? "signal " + std::to_string(WTERMSIG(this->waitStatus)) : "exit code " + std::to_string(WEXITSTATUS(this->waitStatus));
    }
    bool running()
    {
        if (!this->ended && waitpid(this->pid, &this->waitStatus, WNOHANG) == this->pid)
            this->ended = true;
        return !this->ended;
    }
    void signal(int number) const
    {
        if (!this->ended && this->pid > 0)
            kill(this->pid, number);
    }
    void stop()
    {
        if (this->pid <= 0 || this->ended)
            return;
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->ended = true;
    }
};

struct Answer {
    int status = 0; ///< 0 without an answer
    std::string body;
    std::string seal;
    std::string id;
    std::string retryAfter;
    bool complete = false;
    double seconds = 0;

    bool served() const { return this->status >= 200 && this->status < 300 && this->complete && !this->seal.empty(); }
};

/** \returns the ids of the events of a stream, in order */
inline std::vector<int> eventIds(const std::string& body)
{
    std::vector<int> ids;
    for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
        ids.push_back(std::atoi(body.c_str() + at + 4));
    return ids;
}

/** \brief The site: store, replicas and gateways in three zones. */
class Scene {
public:
    explicit Scene(const std::string& folder)
        : folder(folder)
        , record(folder + "/record.txt")
        , temporary(std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(getpid())))
        , store("127.0.0.1")
        , replicas(this->store, this->record)
    {
        std::filesystem::create_directories(this->temporary);
        signal(SIGPIPE, SIG_IGN);
    }
    ~Scene()
    {
        for (auto& gateway : this->gateways)
            gateway->stop();
        std::error_code ignored;
        std::filesystem::remove_all(this->temporary, ignored);
    }

    static constexpr const char* zones[] = { "zone-a", "zone-b", "zone-c" };

    /** \brief Three copies of a chain of three engines, one in each zone. */
    void addEngines()
    {
        for (int zone = 0; zone < 3; ++zone) {
            const std::string name(1, static_cast<char>('a' + zone));
            this->replicas.add("engine-" + name + "1", "127.0.0.1", "llm", zones[zone], "h100", 0, 27);
            this->replicas.add("engine-" + name + "2", "127.0.0.1", "llm", zones[zone], "h100", 27, 54);
            this->replicas.add("engine-" + name + "3", "127.0.0.1", "llm", zones[zone], "h100", 54, 80);
        }
    }

    void addApps()
    {
        for (int zone = 0; zone < 3; ++zone)
            this->replicas.add("app-" + std::to_string(zone + 1), "127.0.0.1", "app", zones[zone]);
    }

    /** \brief A configuration like that of the small sites. */
    std::string configuration(int version, bool withSecondKey = true) const
    {
        const std::string engine = R"({"Slots":192,"KvCapacity":100000,"KvTokenBytes":590000,"LinkMbps":480000.0,"Stride":2,"Models":[{"Name":"m","pace":1.0,"LoadS":2.0,"WarmS":1.0}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,"report_lag_ms":200.0,"LoadsPerS":0.0,"loads_at_once":6,"delays":[{"From":"zone-a","To":"zone-b","delay_ms":0.25},{"From":"zone-a","To":"zone-c","delay_ms":0.25},{"From":"zone-b","To":"zone-c","delay_ms":0.25}],"usual":{"prompt":772,"answer":174},"Layers":80,"LayerMb":1750.0,"ActBytes":29500,"PipeMbps":11000.0,"Kinds":[{"Name":"h100","Megabytes":72000.0,"pace":1.4,"ReadFactor":1.0}]})";
        return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)"
            + R"({"Name":"chat","Host":"site.example","PathPrefix":"/chat/","Kind":"stream","TimeoutMs":20000,"TargetLatencyMs":500,"Priority":1,"Service":"llm","Attempts":2,"AuthExempt":false,"Sticky":true,"StreamResume":true,"GapTargetMs":200},)"
            + R"({"Name":"book","Host":"site.example","PathPrefix":"/book/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":100,"Priority":2,"Service":"app","Attempts":1,"AuthExempt":false},)"
            + R"({"Name":"stock","Host":"site.example","PathPrefix":"/stock/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":100,"Priority":2,"Service":"app","Attempts":2,"AuthExempt":false})"
            + R"(],"Services":[{"Name":"llm","HealthPath":"/health","MaxConns":978,"Protocol":"h1","Tls":false,"Engine":)" + engine + R"(},{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],)"
            + R"("Tenants":[{"Name":"gold","ApiKeys":["key-1"]},{"Name":"silver","ApiKeys":[)" + (withSecondKey ? R"("key-2")" : "") + R"(]}],)"
            + R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":10000}})";
    }

    /** \brief Starts gateways, two of them in the first zone, and waits until all are ready. */
    void startGateways(int count = 4)
    {
        this->store.put("keyed.op", "config", this->configuration(7));
        for (int index = 0; index < count; ++index) {
            auto gateway = std::make_unique<Gateway>();
            gateway->name = "front-" + std::to_string(index + 1);
            gateway->zone = zones[index % 3];
            gateway->ip = "127.0.0." + std::to_string(11 + index);
            for (Address* address : { &gateway->front, &gateway->ready, &gateway->peers, &gateway->metrics, &gateway->handover })
                *address = freeAddress(gateway->ip);
            this->gateways.push_back(std::move(gateway));
        }
        for (auto& gateway : this->gateways)
            this->start(*gateway);
        for (auto& gateway : this->gateways) {
            if (!this->awaitReady(*gateway, Ms(20000)))
                throw std::runtime_error(gateway->name + " is not ready");
        }
        // Gateways hear of each other, and the duty of placing layers is taken.
        std::this_thread::sleep_for(Ms(3000));
    }

    /** \brief Writes the settings file of the gateway anew.
     * \returns its path */
    std::string writeSettings(const Gateway& gateway) const
    {
        const std::string file = (this->temporary / (gateway.name + ".yaml")).string();
        std::ofstream(file + ".new") << this->settings(gateway);
        std::filesystem::rename(file + ".new", file);
        return file;
    }

    void start(Gateway& gateway)
    {
        const std::string file = this->writeSettings(gateway);
        const std::vector<std::string> words = this->command();
        const std::string log = (this->temporary / (gateway.name + ".log")).string();
        const pid_t pid = fork();
        if (pid == 0) {
            // The gateway ends with the case, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            setenv("FILBERTSPOKE_SETTINGS", file.c_str(), 1);
            std::vector<char*> arguments;
            for (const std::string& word : words)
                arguments.push_back(const_cast<char*>(word.c_str()));
            arguments.push_back(nullptr);
            execv(arguments[0], arguments.data());
            _exit(127);
        }
        gateway.pid = pid;
        gateway.ended = false;
        this->record.line("start " + gateway.name + " front " + gateway.front.text() + " pid " + std::to_string(pid));
    }

    bool awaitReady(const Gateway& gateway, Ms limit) const
    {
        const auto until = Clock::now() + limit;
        while (Clock::now() < until) {
            if (auto connection = Connection::open(gateway.ready)) {
                connection->send("GET /filbertspoke/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                if (readMessage(*connection, Clock::now() + Ms(1000), true).status() == 200)
                    return true;
            }
            std::this_thread::sleep_for(Ms(50));
        }
        return false;
    }

    /** \brief Sends a request on a new connection and reads its answer. */
    Answer call(const Gateway& gateway, const std::string& method, const std::string& target, const std::string& headers = {}, Ms deadline = Ms(1500), const std::string& key = "key-1")
    {
        const std::string id = "a" + std::to_string(getpid()) + "-" + std::to_string(++this->calls);
        const std::string body = method == "POST" ? "{}" : "";
        const std::string text = method + " " + target + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\nKey: " + key + "\r\n" + headers + (body.empty() ? "" : "Content-Length: 2\r\n") + "\r\n" + body;
        this->record.line("client -> " + gateway.name + " " + id + " " + method + " " + target + " [" + oneLine(headers) + "]");
        Answer answer;
        const auto begun = Clock::now();
        if (auto connection = Connection::open(gateway.front)) {
            connection->send(text);
            const Message message = readMessage(*connection, begun + deadline + Ms(1000), true);
            answer.status = message.status();
            answer.body = message.body;
            answer.seal = message.header("Server-Seal");
            answer.id = message.header("Attempt-Id");
            answer.retryAfter = message.header("Retry-After");
            answer.complete = message.complete;
        }
        answer.seconds = std::chrono::duration<double>(Clock::now() - begun).count();
        this->record.line("client <- " + gateway.name + " " + id + " status " + std::to_string(answer.status) + (answer.complete ? " complete" : " not complete") + (answer.seal.empty() ? " unsealed" : " sealed") + " retry-after [" + answer.retryAfter + "] body " + std::to_string(answer.body.size()) + " bytes, " + std::to_string(eventIds(answer.body).size()) + " events, " + std::to_string(static_cast<int>(answer.seconds * 1000)) + " ms");
        return answer;
    }

    Answer generate(const Gateway& gateway, const std::string& headers = "Token-Count: 800,80\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:760\r\n", const std::string& key = "key-1")
    {
        return this->call(gateway, "POST", "/chat/x", "Model: m\r\n" + headers, Ms(20000), key);
    }

    static std::string oneLine(std::string text)
    {
        for (char& character : text)
            character = character == '\r' || character == '\n' ? ' ' : character;
        return text;
    }

    /** \returns the lines of the gateway's log that contain the text */
    std::vector<std::string> logLines(const Gateway& gateway, const std::string& text) const
    {
        std::ifstream file(this->temporary / (gateway.name + ".log"));
        std::vector<std::string> lines;
        for (std::string line; std::getline(file, line);) {
            if (line.find(text) != std::string::npos)
                lines.push_back(line);
        }
        return lines;
    }

    static bool troubled() { return !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0"; }

    std::string folder;
    Record record;
    std::filesystem::path temporary;
    Store store;
    std::optional<Address> movedStore; ///< where the settings say that the store is, if not at its first address
    Replicas replicas;
    std::vector<std::unique_ptr<Gateway>> gateways;

private:
    /** \returns the words of the gateway's command in the deploy file */
    static std::vector<std::string> command()
    {
        std::ifstream file("deploy/system.toml");
        for (std::string line; std::getline(file, line);) {
            if (!line.starts_with("run = \""))
                continue;
            std::istringstream text(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> words;
            for (std::string word; text >> word;)
                words.push_back(word);
            return words;
        }
        throw std::runtime_error("deploy/system.toml has no command");
    }

    /** \returns the template of the deploy file, filled in for the gateway */
    std::string settings(const Gateway& gateway) const
    {
        std::ifstream file("deploy/gateway.yaml");
        std::stringstream read;
        read << file.rdbuf();
        std::string text = read.str();
        std::string seeds;
        for (std::size_t index = 0; index < std::min<std::size_t>(3, this->gateways.size()); ++index)
            seeds += (seeds.empty() ? "\"" : ",\"") + this->gateways[index]->peers.text() + "\"";
        const std::pair<std::string, std::string> values[] = {
            { "{{#Listen.ControlAddr}}\n", "" }, { "{{/Listen.ControlAddr}}\n", "" }, { "{{.}}", gateway.peers.text() }, { "{{NodeName}}", gateway.name }, { "{{Zone}}", gateway.zone },
            { "{{Listen.FrontAddr}}", gateway.front.text() }, { "{{Listen.ReadyAddr}}", gateway.ready.text() }, { "{{BindIp}}:{{PortRange.0}}", gateway.metrics.text() }, { "{{BindIp}}:{{PortRange.1}}", gateway.handover.text() },
            { "{{SeedAddrs|json}}", "[" + seeds + "]" }, { "{{Platform.Address}}", (this->movedStore ? *this->movedStore : this->store.address()).text() }, { "{{HeartbeatMs}}", "1200" }, { "{{Bounds.RetryBudgetRatio}}", "0.2" }, { "{{Bounds.BudgetExtra}}", "200" }, { "{{Bounds.GraceS}}", "8" }
        };
        for (const auto& [name, value] : values) {
            for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + value.size()))
                text.replace(at, name.size(), value);
        }
        return text;
    }

    std::atomic<int> calls { 0 };
};

/** \brief Runs a case. \param argv the case's folder */
inline int runCase(int argc, char** argv, const std::function<Verdict(Scene&)>& play)
{
    if (argc < 2) {
        std::cerr << "usage: case FOLDER" << std::endl;
        return couldNotRun;
    }
    try {
        Scene scene(argv[1]);
        const Verdict verdict = play(scene);
        const std::string text = verdict == ruleHeld ? "the rule held" : verdict == ruleBroken ? "the rule was broken"
                                                                                               : "the case could not run";
        scene.record.line(text);
        std::cout << text << std::endl;
        if (const char* kept = std::getenv("KEEP_LOGS"))
            std::filesystem::copy(scene.temporary, kept, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
        return verdict;
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
        return couldNotRun;
    }
}

}
