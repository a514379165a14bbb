#include <filbertspoke/Observability>

#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include <chrono>
#include <ctime>
#include <iomanip>
#include <memory>
#include <sstream>

namespace filbertspoke {

namespace internal {

namespace logging = boost::log;
using Severity = logging::trivial::severity_level;
using Sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

Severity severity(const std::string& levelName)
{
    if (levelName == "debug")
        return Severity::debug;
    if (levelName == "warning")
        return Severity::warning;
    if (levelName == "error")
        return Severity::error;
    return Severity::info;
}

Severity severity(WriteLog::Level level)
{
    switch (level) {
    case WriteLog::Level::Info:
        return Severity::info;
    case WriteLog::Level::Warning:
        return Severity::warning;
    case WriteLog::Level::Error:
        return Severity::error;
    }
    return Severity::error;
}

// Limit for log lines that the reader has not read yet. It holds some thousand lines, which a busy daemon writes in a few seconds.
constexpr std::size_t maxPendingLogBytes = 256 * 1024;

std::string utcNow()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() % 1'000'000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(6) << std::setfill('0') << microseconds << 'Z';
    return text.str();
}

/** \returns the daemon id that is part of every line */
std::string& daemonName()
{
    static std::string daemon;
    return daemon;
}

std::string jsonLine(const WriteLog& line)
{
    boost::json::object object;
    object["time"] = utcNow();
    object["level"] = logging::trivial::to_string(severity(line.level));
    object["daemon"] = daemonName();
    object["event"] = line.event;
    for (const auto& [field, value] : line.fields)
        object[field] = value;
    return boost::json::serialize(object);
}

}

void LogWriter::open(std::ostream& stream, const std::string& minimumLevel, const DaemonId& daemon)
{
    internal::daemonName() = daemon.str();
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
    backend->auto_flush(true);
    auto sink = boost::make_shared<internal::Sink>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(sink);
    boost::log::core::get()->set_filter(boost::log::trivial::severity >= internal::severity(minimumLevel));
}

void LogWriter::open(int descriptor, const std::string& minimumLevel, const DaemonId& daemon)
{
    static std::unique_ptr<LineBuffer> buffer;
    static std::ostream stream(nullptr);
    buffer = std::make_unique<LineBuffer>(descriptor, internal::maxPendingLogBytes, [](std::uint64_t lines) {
        return internal::jsonLine({ WriteLog::Level::Warning, "log-lines-dropped", { { "lines", std::to_string(lines) } } }) + "\n";
    });
    stream.rdbuf(buffer.get());
    open(stream, minimumLevel, daemon);
}

void LogWriter::write(const WriteLog& line)
{
    static boost::log::sources::severity_logger<internal::Severity> logger;
    BOOST_LOG_SEV(logger, internal::severity(line.level)) << internal::jsonLine(line);
}

}
