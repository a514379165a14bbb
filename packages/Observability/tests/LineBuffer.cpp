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

/** \brief A pipe with a LineBuffer at the write end; the test controls when the read end is read. */
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

    void writeLine(const std::string& line)
    {
        std::ostream stream(&this->buffer);
        stream << line << '\n'
               << std::flush;
    }

    std::array<int, 2> ends = openPipe();
    LineBuffer buffer { this->ends[1], 1000, [](std::uint64_t lines) { return "dropped " + std::to_string(lines) + "\n"; } };
};

}

BOOST_FIXTURE_TEST_CASE(linesAreWrittenImmediatelyWhileThePipeHasRoom, Fixture)
{
    this->writeLine("one");
    BOOST_TEST(this->readAll() == "one\n");
    this->writeLine("two");
    BOOST_TEST(this->readAll() == "two\n");
}

// Guards against a blocking write: once the pipe is full, it would stop the daemon until somebody reads its log.
BOOST_FIXTURE_TEST_CASE(stoppedReaderDoesNotBlockAndReceivesADropNotice, Fixture)
{
    const std::string line(99, 'x');
    constexpr int lines = 2000;
    for (int count = 0; count < lines; ++count)
        this->writeLine(line);
    std::string read = this->readAll();
    this->writeLine("after");
    read += this->readAll();
    const auto notice = read.find("dropped ");
    BOOST_REQUIRE(notice != std::string::npos);
    const int droppedLines = std::stoi(read.substr(notice + 8));
    const auto completeLines = static_cast<int>(notice / (line.size() + 1));
    BOOST_TEST(notice % (line.size() + 1) == 0U);
    BOOST_TEST(completeLines + droppedLines == lines);
    BOOST_TEST(read.ends_with("\nafter\n"));
}

BOOST_FIXTURE_TEST_CASE(logWriterReportsDroppedLines, Fixture)
{
    LogWriter::open(this->ends[1], "info", DaemonId("d1"));
    for (int count = 0; count < 20000; ++count)
        LogWriter::write({ WriteLog::Level::Info, "request-ended", { { "request", "r1" } } });
    std::string text;
    // The pending lines are several times larger than the capacity of the pipe, so they are written in several rounds.
    for (int round = 0; round < 10; ++round) {
        text += this->readAll();
        LogWriter::write({ WriteLog::Level::Info, "stopped", {} });
    }
    BOOST_TEST((text.find("log-lines-dropped") != std::string::npos));
    BOOST_TEST((text.find("stopped") != std::string::npos));
}
