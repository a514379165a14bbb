#include "Process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace filbertspoke {

namespace {

constexpr int signalledExit = 128;
constexpr std::chrono::seconds outputLimit { 30 };

int exitCode(int waitStatus)
{
    return WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : signalledExit + WTERMSIG(waitStatus);
}

std::array<int, 2> openPipe()
{
    std::array<int, 2> ends {};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    return ends;
}

}

/** \brief The lines that a program has written. */
class Process::Output {
public:
    explicit Output(int descriptor)
        : descriptor(descriptor)
        , thread([this] { this->collect(); })
    {
    }

    // The program must have ended: the thread reads up to the end of its output.
    ~Output()
    {
        this->thread.join();
        ::close(this->descriptor);
    }

    std::optional<std::string> takeLine()
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, outputLimit, [this] { return this->ended || !this->lines.empty(); });
        if (this->lines.empty())
            return std::nullopt;
        std::string line = std::move(this->lines.front());
        this->lines.pop_front();
        return line;
    }

private:
    void collect()
    {
        std::string rest;
        std::array<char, 4096> chunk {};
        for (ssize_t bytes = 1; bytes > 0;) {
            bytes = ::read(this->descriptor, chunk.data(), chunk.size());
            rest.append(chunk.data(), static_cast<std::size_t>(std::max<ssize_t>(bytes, 0)));
            this->addLines(rest, bytes <= 0);
        }
    }

    void addLines(std::string& text, bool last)
    {
        const std::lock_guard lock(this->mutex);
        for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
            this->lines.push_back(text.substr(0, end));
            text.erase(0, end + 1);
        }
        this->ended = last;
        this->changed.notify_all();
    }

    int descriptor;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> lines;
    bool ended = false;
    std::thread thread; ///< last, so that it sees the other members whole
};

Process::Process(const std::string& program, const std::vector<std::string>& arguments)
{
    const std::string path = std::string(FILBERTSPOKE_PROGRAMS) + "/" + program;
    std::vector<char*> argv { const_cast<char*>(path.c_str()) };
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);

    const std::array<int, 2> ends = openPipe();
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_adddup2(&files, ends[1], STDOUT_FILENO);
    // Sockets of the test have to end when the test closes them, also while the program runs.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    const int error = ::posix_spawn(&this->pid, path.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    ::close(ends[1]);
    if (error != 0) {
        ::close(ends[0]);
        throw std::runtime_error("can't start " + path);
    }
    this->output = std::make_shared<Output>(ends[0]);
}

Process::~Process()
{
    if (this->pid > 0 && !this->status)
        this->kill();
}

Process::Process(Process&& other) noexcept
    : pid(std::exchange(other.pid, -1))
    , output(std::move(other.output))
    , status(other.status)
{
}

Process& Process::operator=(Process&& other) noexcept
{
    std::swap(this->pid, other.pid);
    std::swap(this->output, other.output);
    std::swap(this->status, other.status);
    return *this;
}

std::optional<std::string> Process::readLine()
{
    return this->output->takeLine();
}

void Process::signal(int number) const
{
    if (this->pid > 0 && !this->status)
        ::kill(this->pid, number);
}

bool Process::handles(int signal) const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (!line.starts_with("SigBlk:") && !line.starts_with("SigIgn:") && !line.starts_with("SigCgt:"))
            continue;
        const std::uint64_t mask = std::stoull(line.substr(line.find('\t') + 1), nullptr, 16);
        if (mask >> (signal - 1) & 1)
            return true;
        if (line.starts_with("SigCgt:"))
            return false;
    }
    return true;
}

void Process::kill()
{
    this->signal(SIGKILL);
    this->wait();
}

int Process::wait()
{
    if (this->status)
        return *this->status;
    int raw = 0;
    ::waitpid(this->pid, &raw, 0);
    this->status = exitCode(raw);
    return *this->status;
}

long Process::peakMemoryKb() const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stol(line.substr(line.find_first_of("0123456789")));
    }
    throw std::runtime_error("/proc status of the program has no VmHWM line");
}

bool Process::running()
{
    int raw = 0;
    if (!this->status && ::waitpid(this->pid, &raw, WNOHANG) == this->pid)
        this->status = exitCode(raw);
    return !this->status;
}

StandInProcess StandInProcess::start(const std::vector<std::string>& arguments)
{
    std::vector<std::string> all = arguments;
    all.push_back("--end-with-parent");
    Process process("filbertspoke-standin", all);
    const std::optional<std::string> line = process.readLine();
    if (!line)
        throw std::runtime_error("a stand-in ended before it was ready");
    const boost::json::value ready = boost::json::parse(*line);
    const HttpAddress address { std::string(ready.at("address").as_string()), ready.at("port").to_number<std::uint16_t>() };
    HttpAddress control = address;
    if (const auto* port = ready.as_object().if_contains("controlPort"))
        control.port = port->to_number<std::uint16_t>();
    return { std::move(process), address, control };
}

std::string ownLoopbackAddress(std::uint32_t index)
{
    // 127.0.x.x stays with the programs that take any address.
    constexpr std::uint32_t byteValues = 256;
    const auto id = static_cast<std::uint32_t>(::getpid());
    const std::uint32_t second = 1 + id / byteValues % (byteValues - 2);
    return "127." + std::to_string(second) + "." + std::to_string(id % byteValues) + "." + std::to_string(index);
}

std::uint16_t freePort(const std::string& address)
{
    static std::set<std::pair<std::string, std::uint16_t>> given;
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address(address), 0);
    // The system may offer a port again that nobody has bound yet.
    while (true) {
        const boost::asio::ip::tcp::acceptor acceptor(context, any);
        const std::uint16_t port = acceptor.local_endpoint().port();
        if (given.emplace(address, port).second)
            return port;
    }
}

}
