#include <filbertspoke/StandIns>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

#include <unistd.h>

using namespace filbertspoke;

namespace {

/** \brief What the subcommands share. */
struct Program {
    boost::asio::io_context context;
    HttpAddress address { "127.0.0.1", 0 };
    bool endWithParent = false;
};

constexpr std::chrono::seconds parentCheckPeriod { 1 };

// A test that is killed can't end the stand-ins that it started.
void watchParent(boost::asio::steady_timer& timer, pid_t parent, boost::asio::io_context& context)
{
    timer.expires_after(parentCheckPeriod);
    timer.async_wait([&timer, parent, &context](const boost::system::error_code& error) {
        if (error)
            return;
        if (::getppid() != parent)
            return context.stop();
        watchParent(timer, parent, context);
    });
}

void printReady(const std::string& kind, const HttpAddress& address, std::uint16_t controlPort = 0)
{
    boost::json::object line { { "kind", kind }, { "address", address.address }, { "port", address.port } };
    if (controlPort != 0)
        line["controlPort"] = controlPort;
    std::cout << boost::json::serialize(line) << std::endl;
}

void runUntilSignal(Program& program)
{
    boost::asio::signal_set signals(program.context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { program.context.stop(); });
    boost::asio::steady_timer parentTimer(program.context);
    if (program.endWithParent)
        watchParent(parentTimer, ::getppid(), program.context);
    program.context.run();
}

template <typename StandIn>
void run(Program& program, const std::string& kind, const StandIn& standIn)
{
    printReady(kind, standIn.address());
    runUntilSignal(program);
}

CLI::App* addSubcommand(CLI::App& app, Program& program, const std::string& name, const std::string& description)
{
    CLI::App* subcommand = app.add_subcommand(name, description);
    subcommand->add_option("--address", program.address.address, "IP number to listen on")->capture_default_str();
    subcommand->add_flag("--end-with-parent", program.endWithParent, "End when the process that started it has ended");
    subcommand->add_option("--port", program.address.port, "Port to listen on, 0 for any")->capture_default_str();
    return subcommand;
}

void addLog(CLI::App& app, Program& program)
{
    static std::size_t retention = 0;
    CLI::App* command = addSubcommand(app, program, "log", "Append-only log with host list");
    command->add_option("--retention", retention, "The most records a stream keeps, 0 for all");
    command->callback([&] { run(program, "log", LogStandIn(program.context, program.address, retention)); });
}

void addEngine(CLI::App& app, Program& program)
{
    struct Arguments {
        std::string model = "assistant";
        std::string version = "1";
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::int64_t delay = 0;
        EngineOptions options;
    };
    static Arguments arguments;
    CLI::App* command = addSubcommand(app, program, "engine", "Engine that holds a range of layers");
    command->add_option("--model", arguments.model, "Model's name")->capture_default_str();
    command->add_option("--model-version", arguments.version, "Model's version")->capture_default_str();
    command->add_option("--first-layer", arguments.first, "First layer held")->required();
    command->add_option("--last-layer", arguments.last, "Layer after the last one held")->required();
    command->add_option("--model-layers", arguments.options.modelLayers, "Layers of the whole model")->required();
    command->add_option("--delay-us", arguments.delay, "Time of one token position in microseconds");
    command->add_option("--slots", arguments.options.slots, "Steps that run side by side")->check(CLI::PositiveNumber);
    command->add_flag("--check-fencing", arguments.options.checksFencing, "Refuse orders with an old fencing number");
    command->callback([&] {
        arguments.options.role = { ModelId(arguments.model), arguments.version, { arguments.first, arguments.last } };
        arguments.options.delay = std::chrono::microseconds(arguments.delay);
        run(program, "engine", EngineStandIn(program.context, program.address, arguments.options));
    });
}

void addService(CLI::App& app, Program& program)
{
    CLI::App* command = addSubcommand(app, program, "service", "Plain service that records its runs");
    command->callback([&] { run(program, "service", ServiceStandIn(program.context, program.address)); });
}

void addRelay(CLI::App& app, Program& program)
{
    static HttpAddress target;
    static HttpAddress control { "127.0.0.1", 0 };
    CLI::App* command = addSubcommand(app, program, "relay", "Link that can be cut, black-holed or delayed");
    command->add_option("--target-address", target.address, "IP number to forward to")->required();
    command->add_option("--target-port", target.port, "Port to forward to")->required();
    command->add_option("--control-port", control.port, "Port for orders, 0 for any");
    command->callback([&] {
        control.address = program.address.address;
        const RelayStandIn relay(program.context, program.address, target, control);
        printReady("relay", relay.address(), relay.controlAddress().port);
        runUntilSignal(program);
    });
}

}

int main(int argc, char** argv)
{
    CLI::App app("Stand-ins for the platform, engines and services");
    app.require_subcommand(1);
    Program program;
    addLog(app, program);
    addEngine(app, program);
    addService(app, program);
    addRelay(app, program);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << std::endl;
        return 1;
    }
    return 0;
}
