// Signals that reach a gateway while it starts.
#include <filbertspoke/PlatformTesting>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace filbertspoke;

namespace {

/** \brief A program whose settings file is a named pipe, which blocks it before it has read any settings. */
struct StartingProgram {
    StartingProgram()
    {
        // Writing to a program that has ended is an error, not the end of the tests.
        std::signal(SIGPIPE, SIG_IGN);
        boost::asio::io_context context;
        BOOST_REQUIRE(runUntil(context, [this] { return (this->writer = open(this->pipe.path.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }));
    }

    void writeSettings(const std::string& text) const
    {
        // The program reads the file again while it runs, which must not block.
        const std::string file = this->pipe.path + ".yaml";
        std::ofstream(file) << text;
        std::filesystem::rename(file, this->pipe.path);
        BOOST_TEST(write(this->writer, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        close(this->writer);
    }

    struct Pipe {
        Pipe() { BOOST_REQUIRE(mkfifo(this->path.c_str(), S_IRUSR | S_IWUSR) == 0); }
        ~Pipe() { std::filesystem::remove(this->path); }

        const std::string path = "/tmp/filbertspoke-settings-" + std::to_string(getpid());
    };

    Pipe pipe;
    Process program { "filbertspoked", { "gateway", "--settings", this->pipe.path } };
    int writer = -1;
};

}

BOOST_FIXTURE_TEST_CASE(hangupBeforeTheSettingsAreReadIsIgnored, StartingProgram)
{
    this->program.signal(SIGHUP);
    this->writeSettings("no: settings\n");
    constexpr int malformedSettings = 2;
    BOOST_TEST(this->program.wait() == malformedSettings);
}

// Guards against a stop during the start that ends the process by the system's default.
BOOST_FIXTURE_TEST_CASE(stopBeforeTheSettingsAreReadIsGraceful, StartingProgram)
{
    this->program.signal(SIGTERM);
    const std::string address = ownLoopbackAddress(1);
    const auto free = [&address] { return HttpAddress { address, freePort(address) }; };
    this->writeSettings(settingsText({ "gateway-1", "zone-a", free(), free(), free(), free(), {} }));
    BOOST_TEST(this->program.wait() == 0);
}
