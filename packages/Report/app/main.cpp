#include <filbertspoke/Report>

#include <CLI/CLI.hpp>

#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

constexpr int unreadableFile = 1;

struct Choice {
    std::vector<std::string> files;
    std::string format = "text";
    std::string service;
    std::string request;
};

report::Format formatOf(const Choice& choice)
{
    if (choice.format == "csv")
        return report::CsvFormat {};
    if (choice.format == "json")
        return report::JsonFormat {};
    return report::TextFormat {};
}

void readLines(std::istream& stream, const std::function<void(const std::string&)>& take)
{
    for (std::string line; std::getline(stream, line);)
        take(line);
}

/** \brief Reads all files, or standard input without any.
 * \returns whether every file could be read */
bool readFiles(const std::vector<std::string>& files, const std::function<void(const std::string&)>& take)
{
    if (files.empty())
        readLines(std::cin, take);
    for (const std::string& file : files) {
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << file << ": cannot be read\n";
            return false;
        }
        readLines(stream, take);
    }
    return true;
}

int printRequest(const Choice& choice)
{
    report::RequestTrace trace(choice.request);
    if (!readFiles(choice.files, [&](const std::string& line) { trace.add(line); }))
        return unreadableFile;
    std::cout << report::formatTrace(trace.inOrder(), formatOf(choice));
    return 0;
}

int printReport(const Choice& choice, std::string (*print)(const report::Report&, const report::Format&))
{
    report::LogFold fold;
    if (!readFiles(choice.files, [&](const std::string& line) { fold.add(line); }))
        return unreadableFile;
    report::Report table = fold.finish();
    const auto isOther = [&](const auto& row) { return !choice.service.empty() && row.service != choice.service; };
    std::erase_if(table.seconds, isOther);
    std::erase_if(table.copies, isOther);
    std::cout << print(table, formatOf(choice));
    return 0;
}

void addCommonOptions(CLI::App& command, Choice& choice)
{
    command.add_option("files", choice.files, "logs of gateways; standard input without any");
    command.add_option("--format", choice.format, "text, csv or json")->check(CLI::IsMember({ "text", "csv", "json" }));
}

}

int main(int argc, char** argv)
{
    CLI::App app("Tables of requests, capacity and copies of layers from the logs of many gateways.");
    app.require_subcommand(1);
    Choice choice;
    CLI::App* seconds = app.add_subcommand("seconds", "by second and service: capacity of the placed layers and what became of requests");
    CLI::App* copies = app.add_subcommand("copies", "copies of each layer by failure domain, at each change");
    CLI::App* request = app.add_subcommand("request", "the way of one request over all gateways");
    request->add_option("id", choice.request, "the request's id")->required();
    for (CLI::App* command : { seconds, copies })
        command->add_option("--service", choice.service, "only this service");
    for (CLI::App* command : { seconds, copies, request })
        addCommonOptions(*command, choice);
    CLI11_PARSE(app, argc, argv);
    if (request->parsed())
        return printRequest(choice);
    return printReport(choice, copies->parsed() ? report::formatCopies : report::formatSeconds);
}
