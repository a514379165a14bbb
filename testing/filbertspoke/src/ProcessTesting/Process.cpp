#include "Process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>

#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace filbertspoke {

namespace {

constexpr int signalledExit = 128;

std::array<int, 2> openPipe()
{
    std::array<int, 2> ends {};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    return ends;
}

}

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
    const int error = ::posix_spawn(&this->pid, path.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    ::close(ends[1]);
    this->output = ends[0];
    if (error != 0)
        throw std::runtime_error("can't start " + path);
}

Process::~Process()
{
    if (this->pid > 0 && !this->status)
        this->kill();
    if (this->output >= 0)
        ::close(this->output);
}

Process::Process(Process&& other) noexcept
    : pid(std::exchange(other.pid, -1))
    , output(std::exchange(other.output, -1))
    , buffer(std::move(other.buffer))
    , status(other.status)
{
}

Process& Process::operator=(Process&& other) noexcept
{
    std::swap(this->pid, other.pid);
    std::swap(this->output, other.output);
    std::swap(this->buffer, other.buffer);
    std::swap(this->status, other.status);
    return *this;
}

std::optional<std::string> Process::readLine()
{
    for (;;) {
        const auto end = this->buffer.find('\n');
        if (end != std::string::npos) {
            std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 1);
            return line;
        }
        std::array<char, 4096> chunk {};
        const ssize_t bytes = ::read(this->output, chunk.data(), chunk.size());
        if (bytes <= 0)
            return std::nullopt;
        this->buffer.append(chunk.data(), static_cast<std::size_t>(bytes));
    }
}

void Process::signal(int number) const
{
    if (this->pid > 0 && !this->status)
        ::kill(this->pid, number);
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
    this->status = WIFEXITED(raw) ? WEXITSTATUS(raw) : signalledExit + WTERMSIG(raw);
    return *this->status;
}

StandInProcess StandInProcess::start(const std::vector<std::string>& arguments)
{
    Process process("filbertspoke-standin", arguments);
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

std::uint16_t freePort(const std::string& address)
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address(address), 0);
    const boost::asio::ip::tcp::acceptor acceptor(context, any);
    return acceptor.local_endpoint().port();
}

}
