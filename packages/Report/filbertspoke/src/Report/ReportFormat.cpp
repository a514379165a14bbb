#include <filbertspoke/Report>

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace filbertspoke::report {

namespace json = boost::json;

namespace {

constexpr double microsecondsPerSecond = 1e6;

/** \brief A table: column names and the rows' cells. */
struct Table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

std::string number(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

std::string seconds(std::int64_t microseconds)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << static_cast<double>(microseconds) / microsecondsPerSecond;
    return text.str();
}

template <typename Value>
std::string joined(const std::map<std::string, Value>& values)
{
    std::string text;
    for (const auto& [name, value] : values)
        text += (text.empty() ? "" : " ") + name + '=' + std::to_string(value);
    return text;
}

const std::vector<std::string>& secondColumns()
{
    static const std::vector<std::string> columns { "second", "service", "engines", "capacity", "within", "per-second", "copies", "by-domain", "running",
        "offered", "repeats", "answered", "repeats-answered", "told-to-return", "chains", "resumed", "interrupted", "retried", "handed-over", "broken-off",
        "orders", "done", "lost", "returned", "refused", "failed", "given-up", "attempts-failed" };
    return columns;
}

std::vector<std::string> cells(const SecondRow& row)
{
    std::vector<std::string> all { std::to_string(row.second), row.service };
    if (const auto& placed = row.capacity) {
        const std::vector<std::string> capacity { std::to_string(placed->engines), number(placed->atOnce), number(placed->atOnceWithinDomains), number(placed->perSecond), std::to_string(placed->leastCopies), joined(placed->leastCopiesByDomain) };
        all.insert(all.end(), capacity.begin(), capacity.end());
    } else {
        all.insert(all.end(), 6, "");
    }
    const SecondCounts& counts = row.counts;
    for (const std::int64_t value : { row.running, counts.offered, counts.repeats, counts.answered, counts.repeatsAnswered, counts.toldToReturn, counts.chains, counts.resumed, counts.interrupted, counts.retried, counts.handedOver, counts.brokenOff, counts.ordersSent, counts.ordersDone, counts.enginesLost, counts.enginesReturned })
        all.push_back(std::to_string(value));
    for (const auto* reasons : { &counts.refused, &counts.failed, &counts.givenUp, &counts.attemptsFailed })
        all.push_back(joined(*reasons));
    return all;
}

std::string copiesText(const std::vector<std::uint32_t>& copies)
{
    constexpr std::uint32_t mostDigits = 9;
    std::string text;
    for (const std::uint32_t count : copies)
        text += count > mostDigits ? '+' : static_cast<char>('0' + count);
    return text;
}

Table copiesTable(const Report& report)
{
    Table table { { "time", "service", "domain", "copies" }, {} };
    for (const CopiesRow& row : report.copies) {
        for (const auto& [domain, copies] : row.byDomain)
            table.rows.push_back({ seconds(row.time), row.service, domain, copiesText(copies) });
    }
    return table;
}

std::string fieldsText(const LogLine& line)
{
    std::string text;
    for (const auto& [name, value] : line.fields) {
        if (name != "request")
            text += (text.empty() ? "" : " ") + name + '=' + value;
    }
    return text;
}

Table traceTable(const std::vector<LogLine>& lines)
{
    Table table { { "time", "daemon", "event", "fields" }, {} };
    for (const LogLine& line : lines)
        table.rows.push_back({ seconds(line.instant() - lines.front().instant()), line.daemon, line.event, fieldsText(line) });
    return table;
}

std::string toText(const Table& table)
{
    std::vector<std::size_t> widths;
    widths.reserve(table.columns.size());
    for (const std::string& column : table.columns)
        widths.push_back(column.size());
    for (const auto& row : table.rows) {
        for (std::size_t index = 0; index < row.size(); ++index)
            widths[index] = std::max(widths[index], row[index].size());
    }
    std::string text;
    const auto append = [&](const std::vector<std::string>& row) {
        std::string line;
        for (std::size_t index = 0; index < row.size(); ++index)
            line += row[index] + std::string(widths[index] + 2 - row[index].size(), ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    };
    append(table.columns);
    std::for_each(table.rows.begin(), table.rows.end(), append);
    return text;
}

std::string csvCell(const std::string& cell)
{
    if (cell.find_first_of(",\"\r\n") == std::string::npos)
        return cell;
    std::string quoted = "\"";
    for (const char character : cell)
        quoted += character == '"' ? std::string("\"\"") : std::string(1, character);
    return quoted + '"';
}

std::string toCsv(const Table& table)
{
    std::string text;
    const auto append = [&](const std::vector<std::string>& row) {
        for (std::size_t index = 0; index < row.size(); ++index)
            text += (index > 0 ? "," : "") + csvCell(row[index]);
        text += '\n';
    };
    append(table.columns);
    std::for_each(table.rows.begin(), table.rows.end(), append);
    return text;
}

/** \returns an object for each row, with texts as in the other formats */
json::array toJson(const Table& table)
{
    json::array rows;
    for (const auto& row : table.rows) {
        json::object object;
        for (std::size_t index = 0; index < row.size(); ++index)
            object.emplace(table.columns[index], row[index]);
        rows.push_back(std::move(object));
    }
    return rows;
}

std::string linesText(const LineCounts& lines)
{
    return std::to_string(lines.read) + " log lines, " + std::to_string(lines.damaged) + " damaged, " + std::to_string(lines.foreign) + " other lines\n";
}

std::string format(const Table& table, const Format& chosen, const LineCounts* lines)
{
    return std::visit(Overloaded {
                          [&](TextFormat) { return toText(table) + (lines ? linesText(*lines) : ""); },
                          [&](CsvFormat) { return toCsv(table); },
                          [&](JsonFormat) {
                              json::object document { { "rows", toJson(table) } };
                              if (lines)
                                  document["lines"] = { { "read", lines->read }, { "damaged", lines->damaged }, { "foreign", lines->foreign } };
                              return json::serialize(document) + '\n';
                          },
                      },
        chosen);
}

}

std::string formatSeconds(const Report& report, const Format& chosen)
{
    Table table { secondColumns(), {} };
    for (const SecondRow& row : report.seconds)
        table.rows.push_back(cells(row));
    return format(table, chosen, &report.lines);
}

std::string formatCopies(const Report& report, const Format& chosen)
{
    return format(copiesTable(report), chosen, &report.lines);
}

std::string formatTrace(const std::vector<LogLine>& lines, const Format& chosen)
{
    return format(traceTable(lines), chosen, nullptr);
}

}
