// Stand-ins of the platform for the cases in review/: store, replicas, clients and gateway processes, on loopback addresses and
// with blocking sockets, one thread for each connection.
#ifndef FILBERTSPOKE_REVIEW_HARNESS_H
#define FILBERTSPOKE_REVIEW_HARNESS_H

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
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
using namespace std::chrono_literals;

// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** \brief Raised when a case can't run. */
struct CannotRun {
    std::string reason;
};

inline bool troubled()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/** \returns a new object that lives until the process ends, because detached threads use it */
template <typename Type, typename... Arguments>
Type& keep(Arguments&&... arguments)
{
    return *new Type(std::forward<Arguments>(arguments)...);
}

/** \brief Writes the record of a run, one line for each event with the time since its start. */
class Record {
public:
    explicit Record(const std::string& file)
        : stream(file)
    {
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock(this->mutex);
        const double seconds = std::chrono::duration<double>(Clock::now() - this->begin).count();
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds);
        this->stream << time << line << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream stream;
    Clock::time_point begin = Clock::now();
};

struct Message {
    std::string start; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (key.size() == name.size() && std::equal(key.begin(), key.end(), name.begin(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); }))
                return value;
        }
        return {};
    }
    std::string target() const
    {
        const auto first = this->start.find(' ');
        return this->start.substr(first + 1, this->start.find(' ', first + 1) - first - 1);
    }
    std::string path() const { return this->target().substr(0, this->target().find('?')); }
    std::string query(const std::string& name) const
    {
        const std::string target = this->target();
        for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
                const auto from = at + 2 + name.size();
                return target.substr(from, target.find('&', from) - from);
            }
        }
        return {};
    }
    int status() const { return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0; }
};

/** \brief One end of a TCP connection. */
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor(descriptor)
    {
        const int one = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Connection() { this->close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool send(const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(this->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** \returns whether more bytes arrived before the limit */
    bool fill(std::chrono::milliseconds limit = 60s)
    {
        pollfd state { this->descriptor, POLLIN, 0 };
        if (::poll(&state, 1, static_cast<int>(limit.count())) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            this->ended = true;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::optional<Message> readHead(std::chrono::milliseconds limit = 60s)
    {
        const auto until = Clock::now() + limit;
        while (this->buffer.find("\r\n\r\n") == std::string::npos) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
            if (left <= 0ms || !this->fill(left))
                return std::nullopt;
        }
        Message message;
        std::size_t at = this->buffer.find("\r\n");
        message.start = this->buffer.substr(0, at);
        for (at += 2; this->buffer.compare(at, 2, "\r\n") != 0;) {
            const std::size_t end = this->buffer.find("\r\n", at);
            const std::string line = this->buffer.substr(at, end - at);
            const std::size_t colon = line.find(':');
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            at = end + 2;
        }
        this->buffer.erase(0, at + 2);
        return message;
    }

    /** \brief Reads a message whose body has a length, or none. */
    std::optional<Message> read(std::chrono::milliseconds limit = 60s)
    {
        auto message = this->readHead(limit);
        if (!message)
            return message;
        const std::size_t size = static_cast<std::size_t>(std::atol(message->header("Content-Length").c_str()));
        while (this->buffer.size() < size) {
            if (!this->fill(limit))
                return std::nullopt;
        }
        message->body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return message;
    }

    /** \returns whether the peer has closed the connection or reset it */
    bool closedByPeer() const
    {
        char byte = 0;
        const ssize_t count = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void reset()
    {
        const linger now { 1, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        this->close();
    }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }

    int handle() const { return this->descriptor; }

    std::string buffer;
    bool ended = false; ///< the peer has closed the connection or reset it

private:
    int descriptor;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::string addressText(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/** \brief Listens on the port, or for 0 on any free one.
 * \param chosen receives the port */
inline int listenOn(int port, int& chosen)
{
    // Ports outside the usual range of outgoing connections, which could otherwise take one that is free for a moment.
    constexpr int firstPort = 15000;
    constexpr int lastPort = 31999;
    static std::mt19937 random(std::random_device {}());
    static std::mutex mutex;
    for (int attempt = 0; attempt < 200; ++attempt) {
        if (port == 0) {
            const std::lock_guard lock(mutex);
            chosen = std::uniform_int_distribution<int>(firstPort, lastPort)(random);
        } else {
            chosen = port;
        }
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in address = loopback(chosen);
        if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && ::listen(descriptor, 512) == 0)
            return descriptor;
        ::close(descriptor);
        std::this_thread::sleep_for(5ms);
    }
    throw CannotRun { "no port to listen on" };
}

inline int freePort()
{
    int port = 0;
    ::close(listenOn(0, port));
    return port;
}

inline std::shared_ptr<Connection> connectTo(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_shared<Connection>(descriptor);
}

/** \brief Accepts connections and serves each one in a thread of its own. */
class Server {
public:
    using Serve = std::function<void(std::shared_ptr<Connection>)>;

    explicit Server(Serve serve)
        : serve(std::move(serve))
        , descriptor(listenOn(0, this->number))
    {
        std::thread([this] {
            while (true) {
                const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0)
                    std::thread([this, connection = std::make_shared<Connection>(accepted)] { this->serve(connection); }).detach();
                else
                    std::this_thread::sleep_for(1ms);
            }
        }).detach();
    }

    int port() const { return this->number; }

private:
    Serve serve;
    int number = 0;
    int descriptor;
};

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
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = group << 8 | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            text += at + digit > bytes.size() ? '=' : digits[group >> (18 - 6 * digit) & 63];
    }
    return text;
}

inline std::string response(int status, const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** \brief The platform's store: keyed topics, and a group of which one member at a time owns the only partition. */
class Store {
public:
    Store()
        : server([this](std::shared_ptr<Connection> connection) {
            while (const auto request = connection->read()) {
                std::this_thread::sleep_for(4ms);
                if (!connection->send(this->answer(*request)))
                    return;
            }
        })
    {
    }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->topics[topic].emplace_back(key, value);
    }

    int port() const { return this->server.port(); }

private:
    using Records = std::vector<std::pair<std::string, std::string>>;

    std::string answer(const Message& request)
    {
        const std::string path = request.path();
        const std::string topic = request.query("Topic");
        if (path == "/filbertspoke/log-read") {
            const auto until = Clock::now() + std::chrono::milliseconds(std::atol(request.query("WaitMs").c_str()));
            const std::size_t from = static_cast<std::size_t>(std::atol(request.query("From").c_str()));
            while (this->count(topic) <= from && Clock::now() < until)
                std::this_thread::sleep_for(5ms);
        }
        const std::lock_guard lock(this->mutex);
        Records& records = this->topics[topic];
        if (path == "/filbertspoke/log-newest")
            return reply(newest(records));
        if (path == "/filbertspoke/log-read") {
            std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (std::size_t index = static_cast<std::size_t>(std::atol(request.query("From").c_str())); index < records.size(); ++index) {
                const std::string content = bigEndian(records[index].first.size(), 1) + records[index].first + records[index].second;
                body += bigEndian(content.size(), 4) + content;
            }
            return reply(body);
        }
        if (path == "/filbertspoke/log-join")
            return reply(this->join(request.body));
        if (path == "/filbertspoke/log-append") {
            std::string_view rest = request.body;
            while (topic.starts_with("keyed.") && rest.size() > 5) {
                std::size_t size = 0;
                for (const char byte : rest.substr(0, 4))
                    size = size << 8 | static_cast<unsigned char>(byte);
                const std::size_t keySize = static_cast<unsigned char>(rest[4]);
                records.emplace_back(std::string(rest.substr(5, keySize)), std::string(rest.substr(5 + keySize, size - 1 - keySize)));
                rest.remove_prefix(4 + size);
            }
            return reply(R"({"Offset":0,"EndOffset":)" + std::to_string(records.size()) + "}");
        }
        return response(404, "");
    }

    static std::string reply(const std::string& body) { return response(200, body, "Store-Era: 1\r\n"); }

    std::size_t count(const std::string& topic)
    {
        const std::lock_guard lock(this->mutex);
        return this->topics[topic].size();
    }

    static std::string newest(const Records& records)
    {
        std::map<std::string, std::string> latest;
        for (const auto& [key, value] : records)
            latest[key] = value;
        std::string items;
        for (const auto& [key, value] : latest) {
            if (!value.empty())
                items += (items.empty() ? "" : ",") + (R"({"Key":")" + key + R"(","Value":")" + base64(value) + R"(","Offset":0})");
        }
        return R"({"Items":[)" + items + R"(],"HasMore":false,"EndOffset":)" + std::to_string(records.size()) + "}";
    }

    std::string join(const std::string& body)
    {
        const auto at = body.find("\"Member\":\"") + 10;
        const std::string member = body.substr(at, body.find('"', at) - at);
        if (member != this->holder && Clock::now() >= this->heldUntil) {
            this->holder = member;
            ++this->generation;
        }
        const bool held = member == this->holder;
        if (held)
            this->heldUntil = Clock::now() + std::chrono::milliseconds(std::atol(body.c_str() + body.find("\"TtlMs\":") + 8));
        return R"({"Generation":)" + std::to_string(this->generation) + R"(,"parts":[)" + (held ? R"(["placement",0,0])" : "") + "]}";
    }

    std::mutex mutex;
    std::map<std::string, Records> topics;
    std::string holder;
    Clock::time_point heldUntil;
    int generation = 0;
    Server server;
};

/** \brief A replica of the platform, which answers each request by a function of the case. */
class Replica {
public:
    using Answer = std::function<void(Replica&, Connection&, const Message&)>;

    Replica(Record& record, std::string id, Answer answer)
        : record(record)
        , name(std::move(id))
        , answer(std::move(answer))
        , server([this](std::shared_ptr<Connection> connection) {
            while (const auto request = connection->read()) {
                if (this->name != request->header("Expect-Instance") && !request->header("Expect-Instance").empty()) {
                    connection->send(response(421, "", "At-Server: " + addressText(this->port()) + "\r\n"));
                    continue;
                }
                this->answer(*this, *connection, *request);
                if (connection->handle() < 0)
                    return;
            }
        })
    {
    }

    const std::string& id() const { return this->name; }
    int port() const { return this->server.port(); }
    void log(const std::string& line) { this->record.write("replica " + this->name + ": " + line); }

private:
    Record& record;
    std::string name;
    Answer answer;
    Server server;
};

inline std::string sealedHead(const Message& request)
{
    return "Attempt-Id: " + request.header("Attempt-Id") + "\r\nServer-Seal: 3e1b.07.5a2\r\n";
}

inline std::string streamHead(const Message& request)
{
    return "HTTP/1.1 200 OK\r\n" + sealedHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

inline std::string chunk(const std::string& content)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", content.size());
    return size + content + "\r\n";
}

/** \returns an engine's report of itself without any stalled request */
inline std::string idleReport(int first, int last)
{
    return response(200, R"({"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"CallSeq":1,"Queued":0,"Running":1,"KvUsed":0,"KvTotal":100000,"Handles":0,"pace":1.0,"Layers":{"From":)" + std::to_string(first) + R"(,"To":)" + std::to_string(last) + R"(,"Version":1},"Stalled":[]})", "Content-Type: application/json\r\n");
}

/** \brief The path from the gateways of a zone to a replica, which can be cut: its channels are reset and new ones are refused. */
class Link {
public:
    explicit Link(int target)
        : target(target)
        , descriptor(listenOn(0, this->number))
    {
        this->accept();
    }

    int port() const { return this->number; }

    void cut()
    {
        const std::lock_guard lock(this->mutex);
        if (!this->open)
            return;
        this->open = false;
        ::shutdown(this->descriptor, SHUT_RDWR);
        ::close(this->descriptor);
        for (const auto& pair : this->pairs) {
            if (const auto connection = pair.lock())
                ::shutdown(connection->handle(), SHUT_RDWR);
        }
        this->pairs.clear();
    }

    void heal()
    {
        const std::lock_guard lock(this->mutex);
        if (this->open)
            return;
        this->descriptor = listenOn(this->number, this->number);
        this->open = true;
        this->accept();
    }

private:
    void accept()
    {
        std::thread([this, listener = this->descriptor] {
            while (true) {
                const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                const auto caller = std::make_shared<Connection>(accepted);
                const auto replica = connectTo(this->target);
                const std::lock_guard lock(this->mutex);
                if (!replica || !this->open)
                    continue;
                this->pairs.push_back(caller);
                this->pairs.push_back(replica);
                std::thread(relay, caller, replica).detach();
                std::thread(relay, replica, caller).detach();
            }
        }).detach();
    }

    static void relay(std::shared_ptr<Connection> from, std::shared_ptr<Connection> to)
    {
        while (from->fill()) {
            if (!to->send(from->buffer))
                break;
            from->buffer.clear();
        }
        ::shutdown(to->handle(), SHUT_RDWR);
        ::shutdown(from->handle(), SHUT_RDWR);
    }

    int target;
    int number = 0;
    int descriptor;
    std::mutex mutex;
    bool open = true;
    std::vector<std::weak_ptr<Connection>> pairs;
};

/** \brief Writes the entries of replicas once in each heartbeat interval, as the replicas of the platform do. */
class Heartbeats {
public:
    explicit Heartbeats(Store& store)
        : store(store)
    {
    }

    void plain(const Replica& replica, const std::string& service, const std::string& zone) { this->add(replica, service, zone, "", replica.port()); }
    /** \brief Makes the entry name the port of a link to the replica. */
    void plainBehind(const Replica& replica, const Link& link, const std::string& service, const std::string& zone) { this->add(replica, service, zone, "", link.port()); }
    void engine(const Replica& replica, const std::string& zone, int first, int last)
    {
        this->add(replica, "llm", zone, R"(,"Kind":"l4","Layers":{"From":)" + std::to_string(first) + R"(,"To":)" + std::to_string(last) + R"(,"Version":1})", replica.port());
    }

    void engineBehind(const Replica& replica, const Link& link, const std::string& zone, int first, int last)
    {
        this->add(replica, "llm", zone, R"(,"Kind":"l4","Layers":{"From":)" + std::to_string(first) + R"(,"To":)" + std::to_string(last) + R"(,"Version":1})", link.port());
    }

    void start()
    {
        this->write();
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(1200ms);
                this->write();
            }
        }).detach();
    }

    /** \brief The replica writes nothing any more. */
    void pause(const std::string& id)
    {
        const std::lock_guard lock(this->mutex);
        this->entries[id].paused = true;
    }

    /** \brief The replica has started again, and writes its entry. */
    void resume(const std::string& id)
    {
        const std::lock_guard lock(this->mutex);
        Entry& entry = this->entries[id];
        entry.paused = false;
        entry.born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        entry.beats = 0;
        this->write(id, entry);
    }

private:
    struct Entry {
        std::string text;
        std::int64_t born = 1700000000000;
        int beats = 0;
        bool paused = false;
    };

    void add(const Replica& replica, const std::string& service, const std::string& zone, const std::string& engine, int port)
    {
        this->entries[replica.id()].text = R"({"Service":")" + service + R"(","Address":")" + addressText(port) + R"(","Zone":")" + zone + R"(","Version":"1","Slots":6,"State":"ready","ColdLeftMs":0)" + engine;
    }

    void write()
    {
        const std::lock_guard lock(this->mutex);
        for (auto& [id, entry] : this->entries) {
            if (!entry.paused)
                this->write(id, entry);
        }
    }

    void write(const std::string& id, Entry& entry)
    {
        this->store.put("keyed.servers", id, entry.text + R"(,"born":)" + std::to_string(entry.born) + R"(,"CallSeq":)" + std::to_string(++entry.beats) + "}");
    }

    Store& store;
    std::mutex mutex;
    std::map<std::string, Entry> entries;
};

/** \brief What a case sets in the configuration of its routes. */
struct Routes {
    bool resumable = false; ///< whether the stream route has StreamResume
    int attempts = 2;
    int streamTimeoutMs = 20000;
    int callTimeoutMs = 1500;
};

inline std::string configuration(int version, const Routes& routes)
{
    const auto route = [&](const std::string& name, const std::string& kind, const std::string& service, int timeoutMs, int targetMs, const std::string& more) {
        return R"({"Name":")" + name + R"(","Host":"h.example","PathPrefix":"/)" + name + R"(/","Kind":")" + kind + R"(","Service":")" + service + R"(","Attempts":)" + std::to_string(routes.attempts) + R"(,"TimeoutMs":)" + std::to_string(timeoutMs)
            + R"(,"TargetLatencyMs":)" + std::to_string(targetMs) + R"(,"Priority":1)" + more + "}";
    };
    const std::string engine = R"({"Slots":192,"KvTokenBytes":8000,"Stride":2,"step_ms":1.0,"per_seq_ms":0.01,"context_per_k":0.01,"read_per_s":196000.0,"stall_ms":2500,"usual":{"prompt":800,"answer":170},"Layers":8,"LayerMb":100.0,"ActBytes":100,"PipeMbps":11000.0,"Models":[{"Name":"m","LoadS":1}],"Kinds":[{"Name":"l4","Megabytes":22000.0,"pace":1.0,"ReadFactor":1.0}]})";
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)"
        + route("chat", "stream", "llm", routes.streamTimeoutMs, 500, std::string(R"(,"GapTargetMs":200)") + (routes.resumable ? R"(,"StreamResume":true)" : "")) + ","
        + route("book", "non_idempotent", "app", routes.callTimeoutMs, 100, "") + "," + route("stock", "idempotent", "app", routes.callTimeoutMs, 100, "")
        + R"(],"Services":[{"Name":"llm","Engine":)" + engine + R"(},{"Name":"app"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000},"Tenants":[{"Name":"gold","ApiKeys":["key-1"]}]})";
}

/** \brief A gateway process, started with the command of deploy/system.toml and settings as deploy/gateway.yaml gives them. */
class Gateway {
public:
    struct Options {
        std::string zone = "zone-a";
        int peers = 0;
        std::vector<int> seeds;
        int retryReserve = 200;
    };

    Gateway(const std::string& folder, const std::string& name, int store, const Options& options)
        : callers(freePort())
        , readiness(freePort())
    {
        std::string seeds;
        for (const int seed : options.seeds)
            seeds += (seeds.empty() ? "\"" : ",\"") + addressText(seed) + "\"";
        this->handover = freePort();
        const std::string file = folder + "/" + name + ".yaml";
        std::ofstream(file) << "daemon: " << name << "\nfailureDomain: " << options.zone << "\ncallers: " << addressText(this->callers) << "\nreadiness: " << addressText(this->readiness)
                            << "\npeers: " << addressText(options.peers ? options.peers : freePort()) << "\nmetrics: " << addressText(freePort()) << "\nhandover: " << addressText(this->handover)
                            << "\nseeds: [" << seeds << "]\nstore: " << addressText(store) << "\nheartbeatMs: 1200\nretryBudget:\n    ratio: 0.2\n    reserve: " << options.retryReserve << "\nstopTimeoutMs: 8000\n";
        const std::string log = folder + "/" + name + ".log";
        this->process = ::fork();
        if (this->process == 0) {
            // The gateway ends with the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::setenv("FILBERTSPOKE_SETTINGS", file.c_str(), 1);
            ::execl("target/bin/filbertspoked", "target/bin/filbertspoked", "gateway", nullptr);
            ::_exit(127);
        }
    }
    ~Gateway()
    {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        if (!this->gone)
            ::waitpid(this->process, nullptr, 0);
    }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void signal(int number)
    {
        if (!this->ended())
            ::kill(this->process, number);
    }

    /** \returns whether the process has ended by itself */
    bool ended()
    {
        this->gone = this->gone || ::waitpid(this->process, nullptr, WNOHANG) == this->process;
        return this->gone;
    }

    bool ready() const
    {
        const auto connection = connectTo(this->readiness);
        if (!connection || !connection->send("GET /filbertspoke/ready HTTP/1.1\r\nHost: " + addressText(this->readiness) + "\r\n\r\n"))
            return false;
        const auto answer = connection->read(1s);
        return answer && answer->status() == 200;
    }

    void awaitReady() const
    {
        const auto until = Clock::now() + 20s;
        while (!this->ready()) {
            if (Clock::now() > until)
                throw CannotRun { "a gateway is not ready" };
            std::this_thread::sleep_for(50ms);
        }
    }

    int port() const { return this->callers; }
    int handoverPort() const { return this->handover; }

private:
    int callers;
    int readiness;
    int handover = 0;
    pid_t process = -1;
    bool gone = false;
};

/** \returns the text of a client's request */
inline std::string clientRequest(const std::string& method, const std::string& path, const std::string& id, int limitMs, const std::string& body, const std::string& headers = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nModel: m\r\nToken-Count: 800,170\r\nPrompt-Prefix: 5c1e07a2:40," + id + ":760\r\nDeadline-Ms: " + std::to_string(limitMs) + "\r\nKey: key-1\r\n" + headers
        + (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body : "\r\n");
}

/** \brief What a client got in answer to a stream. */
struct StreamAnswer {
    int status = 0; ///< 0 if the channel ended without an answer
    bool complete = false; ///< the answer ended as complete
    std::vector<int> events; ///< ids in the order of arrival
};

/** \brief Reads the answer to a stream until its end or the limit. */
inline StreamAnswer readStream(Connection& connection, std::chrono::milliseconds limit)
{
    StreamAnswer answer;
    const auto until = Clock::now() + limit;
    const auto left = [&] { return std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now())); };
    const auto head = connection.readHead(limit);
    if (!head)
        return answer;
    answer.status = head->status();
    if (head->header("Transfer-Encoding") != "chunked") {
        const std::size_t size = static_cast<std::size_t>(std::atol(head->header("Content-Length").c_str()));
        while (connection.buffer.size() < size && connection.fill(left())) { }
        answer.complete = connection.buffer.size() >= size;
        return answer;
    }
    std::string text;
    while (!answer.complete) {
        const std::size_t end = connection.buffer.find("\r\n");
        const std::size_t size = end == std::string::npos ? 0 : std::strtoul(connection.buffer.c_str(), nullptr, 16);
        if (end != std::string::npos && connection.buffer.size() >= end + 2 + size + 2) {
            answer.complete = size == 0;
            text += connection.buffer.substr(end + 2, size);
            connection.buffer.erase(0, end + 2 + size + 2);
        } else if (Clock::now() >= until || !connection.fill(left())) {
            break;
        }
    }
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find("\n", at), text.size());
        if (text.compare(at, 3, "id:") == 0)
            answer.events.push_back(std::atoi(text.c_str() + at + 3));
        at = end + 1;
    }
    return answer;
}

inline std::string listed(const std::vector<int>& numbers)
{
    std::string text;
    for (const int number : numbers)
        text += (text.empty() ? "" : ",") + std::to_string(number);
    return text;
}

/** \brief Runs a case: \a run returns whether the rule held.
 *
 * The arguments of the program are the file for the record and a temporary folder. Gateways that \a run has created are ended by it. */
inline int runCase(int argc, char** argv, const std::function<bool(Record&, const std::string& folder)>& run)
{
    if (argc < 3)
        return couldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    Record& record = keep<Record>(argv[1]);
    record.write(troubled() ? "with the disruption" : "without the disruption");
    int result = couldNotRun;
    try {
        result = run(record, argv[2]) ? ruleHeld : ruleBroken;
        record.write(result == ruleHeld ? "result: the rule held" : "result: the rule was broken");
    } catch (const CannotRun& problem) {
        record.write("result: could not run: " + problem.reason);
    }
    // Threads of the stand-ins still run.
    std::cout.flush();
    ::_exit(result);
}

}

#endif
