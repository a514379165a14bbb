#ifndef FILBERTSPOKE_TESTS_LOG_TRANSPORT_H
#define FILBERTSPOKE_TESTS_LOG_TRANSPORT_H

#include <filbertspoke/Control>
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/StandIns>

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace filbertspoke {

/** \brief Sends requests to a stand-in for the log in the same process; hooks inject failures. */
class LogTransport final : public Transport {
public:
    HttpOutcome exchange(const HttpAddress& address, const HttpRequest& request) override
    {
        if (request.method == "POST" && this->beforeAppend)
            std::exchange(this->beforeAppend, nullptr)();
        if (this->unreachable)
            return HttpFailure { make_error_code(ErrorCode::PlatformUnavailable), this->requestSent };
        if (request.method == "POST" && this->appendResponse)
            return *this->appendResponse;
        HttpOutcome outcome = filbertspoke::exchange(this->context, address, request);
        if (request.method == "POST" && this->afterAppend)
            std::exchange(this->afterAppend, nullptr)();
        return this->unreachable ? HttpOutcome(HttpFailure { make_error_code(ErrorCode::PlatformUnavailable), true }) : outcome;
    }

    void waitBeforeRetry() override { ++this->retryWaits; }

    void control(const boost::json::value& order) { callJson(this->context, this->log.address(), "POST", "/control", order); }

    boost::asio::io_context context;
    LogStandIn log { this->context, { "127.0.0.1", 0 } };
    std::function<void()> beforeAppend;
    std::function<void()> afterAppend;
    std::optional<HttpResponse> appendResponse; ///< returned instead of forwarding an append to the log
    bool unreachable = false;
    bool requestSent = false; ///< whether a failure reports that the request was sent
    int retryWaits = 0;
};

/** \brief Runs the commands of several operators against one log. */
struct OperatorCommands {
    CommandOutcome run(const Command& command, const std::string& questionnaire, OutputFormat format = OutputFormat::Text)
    {
        ++this->commands;
        const CommandContext context { this->transport, questionnaire, "change-" + std::to_string(this->commands), WallTime() };
        return runCommand({ command, format }, context);
    }

    CommandOutcome approve(const std::string& questionnaire, const std::string& author = "hanna", std::optional<LogOffset> base = std::nullopt, OutputFormat format = OutputFormat::Text)
    {
        return this->run(ApproveCommand { "answers.yaml", this->transport.log.address(), author, "dawit", base }, questionnaire, format);
    }

    CommandOutcome diff(const std::string& questionnaire) { return this->run(DiffCommand { "answers.yaml", this->transport.log.address() }, questionnaire); }

    CommandOutcome audit(OutputFormat format = OutputFormat::Text)
    {
        return this->run(AuditCommand { this->transport.log.address(), {} }, {}, format);
    }

    void append(std::string_view stream, const ConfigurationRecord& record)
    {
        const boost::json::array payloads { boost::json::value(configurationRecordJson(record)) };
        callJson(this->transport.context, this->transport.log.address(), "POST", "/streams/" + std::string(stream) + "/records", { { "payloads", payloads } });
    }

    LogTransport transport;
    int commands = 0;
};

}

#endif
