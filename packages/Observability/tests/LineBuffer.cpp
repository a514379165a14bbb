#include <filbertspoke/Observability>

#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace filbertspoke;

namespace {

std::array<int, 2> openPipe()
{
    std::array<int, 2> ends {};
    BOOST_REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    return ends;
}

/** \brief A pipe with a log at one end and a reader that decides when it reads at the other. */
struct Fixture {
    ~Fixture()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string readAll()
    {
        std::string text;
        std::array<char, 4096> chunk {};
        for (ssize_t bytes = 1; bytes > 0;) {
            bytes = ::read(this->ends[0], chunk.data(), chunk.size());
            text.append(chunk.data(), static_cast<std::size_t>(std::max<ssize_t>(bytes, 0)));
        }
        return text;
    }

    void put(const std::string& line)
    {
        std::ostream stream(&this->buffer);
        stream << line << '\n'
               << std::flush;
    }

    std::array<int, 2> ends = openPipe();
    LineBuffer buffer { this->ends[1], 1000, [](std::uint64_t lines) { return "dropped " + std::to_string(lines) + "\n"; } };
};

}

BOOST_FIXTURE_TEST_CASE(linesReachAReaderThatKeepsUpAtOnce, Fixture)
{
    this->put("one");
    BOOST_TEST(this->readAll() == "one\n");
    this->put("two");
    BOOST_TEST(this->readAll() == "two\n");
}

// With a plain stream the first line beyond the pipe's capacity blocked the daemon for as long as its log was not read.
BOOST_FIXTURE_TEST_CASE(readerThatStopsBlocksNobodyAndIsToldWhatItMissed, Fixture)
{
    const std::string line(99, 'x');
    constexpr int lines = 2000;
    for (int count = 0; count < lines; ++count)
        this->put(line);
    std::string read = this->readAll();
    this->put("after");
    read += this->readAll();
    const auto note = read.find("dropped ");
    BOOST_REQUIRE(note != std::string::npos);
    const int dropped = std::stoi(read.substr(note + 8));
    const auto whole = static_cast<int>(note / (line.size() + 1));
    BOOST_TEST(note % (line.size() + 1) == 0U);
    BOOST_TEST(whole + dropped == lines);
    BOOST_TEST(read.ends_with("\nafter\n"));
}

BOOST_FIXTURE_TEST_CASE(logWriterTellsOfDroppedLines, Fixture)
{
    LogWriter::open(this->ends[1], "info", DaemonId("d1"));
    for (int count = 0; count < 20000; ++count)
        LogWriter::write({ WriteLog::Level::Info, "request-ended", { { "request", "r1" } } });
    std::string text;
    // What was kept is several times what the pipe holds.
    for (int round = 0; round < 10; ++round) {
        text += this->readAll();
        LogWriter::write({ WriteLog::Level::Info, "stopped", {} });
    }
    BOOST_TEST((text.find("log-lines-dropped") != std::string::npos));
    BOOST_TEST((text.find("stopped") != std::string::npos));
}
