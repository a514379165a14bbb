#include <filbertspoke/ProcessTesting>
#include <filbertspoke/StandIns>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
namespace json = boost::json;

namespace {

struct Log {
    json::value append(const json::array& payloads)
    {
        return callJson(this->context, this->log.address(), "POST", "/streams/actions/records", { { "payloads", payloads } });
    }

    json::value read(const std::string& query)
    {
        return callJson(this->context, this->log.address(), "GET", "/streams/actions/records?" + query);
    }

    void control(const json::value& order) { callJson(this->context, this->log.address(), "POST", "/control", order); }

    boost::asio::io_context context;
    LogStandIn log { this->context, { "127.0.0.1", 0 }, 3 };
};

}

BOOST_FIXTURE_TEST_CASE(recordsOfOneAppendFollowEachOther, Log)
{
    this->append({ "a" });

    BOOST_TEST(this->append({ "b", "c" }).at("first").to_number<int>() == 2);
    const json::value read = this->read("from=2");
    BOOST_TEST(read.at("records").as_array().size() == 2U);
    BOOST_TEST(read.at("records").at(1).at("payload").as_string() == "c");
    BOOST_TEST(read.at("oldest").to_number<int>() == 0);
}

BOOST_FIXTURE_TEST_CASE(retentionForgetsTheOldestRecords, Log)
{
    this->append({ "a", "b", "c", "d" });

    const HttpOutcome outcome = exchange(this->context, this->log.address(), { "GET", "/streams/actions/records?from=1", {}, {} });
    BOOST_TEST(std::get<HttpResponse>(outcome).status == 410U);
    BOOST_TEST(this->read("from=2").at("oldest").to_number<int>() == 2);
}

BOOST_FIXTURE_TEST_CASE(lostAnswerLeavesTheRecordInTheLog, Log)
{
    this->control({ { "loseNextAppendAnswers", 1 } });
    BOOST_CHECK_THROW(this->append({ "a" }), std::runtime_error);

    BOOST_TEST(this->read("from=1").at("records").as_array().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(longPollEndsWithTheNextRecord, Log)
{
    HttpConnection reader(this->context, this->log.address(), {});
    std::optional<HttpOutcome> outcome;
    reader.exchange({ "GET", "/streams/actions/records?from=1&wait=60000", {}, {} }, std::chrono::minutes(2), [&](HttpOutcome result) { outcome = std::move(result); });
    this->append({ "a" });

    BOOST_TEST(runUntil(this->context, [&] { return outcome.has_value(); }));
    BOOST_TEST(std::get<HttpResponse>(*outcome).body.find("\"a\"") != std::string::npos);
}
