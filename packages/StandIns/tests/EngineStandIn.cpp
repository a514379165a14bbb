#include <filbertspoke/ProcessTesting>
#include <filbertspoke/StandIns>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

using namespace filbertspoke;
namespace json = boost::json;

namespace {

/** \brief Three engines that hold twelve layers together. */
struct Pipeline {
    static constexpr std::uint32_t modelLayers = 12;

    Pipeline()
    {
        for (std::uint32_t first = 0; first < modelLayers; first += 4) {
            EngineOptions options;
            options.role = { ModelId("assistant"), "1", { first, first + 4 } };
            options.modelLayers = modelLayers;
            this->engines.push_back(std::make_unique<EngineStandIn>(this->context, HttpAddress { "127.0.0.1", 0 }, options));
        }
    }

    json::value call(std::size_t engine, const std::string& target, const json::value& body)
    {
        return callJson(this->context, this->engines[engine]->address(), "POST", target, body);
    }

    json::value runStep(std::size_t engine, std::uint32_t position, std::uint32_t count, const std::string& input)
    {
        const auto first = static_cast<std::uint32_t>(engine * 4);
        const json::value step { { "request", "r" }, { "generation", 0 }, { "sequence", 1 }, { "model", "assistant" }, { "version", "1" },
            { "layers", { first, first + 4 } }, { "position", position }, { "count", count }, { "input", input } };
        return this->call(engine, "/v1/steps", { { "steps", json::array { step } } }).at("receipts").at(0);
    }

    std::string nextToken(std::uint32_t position, const json::array& tokens)
    {
        std::string data = json::serialize(tokens);
        for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
            data = this->runStep(engine, position, static_cast<std::uint32_t>(tokens.size()), data).at("output").as_string();
        return data;
    }

    boost::asio::io_context context;
    std::vector<std::unique_ptr<EngineStandIn>> engines;
};

const json::array prompt { "the", "chain", "skips" };

std::vector<std::string> expected(std::uint32_t count)
{
    return referenceCompletion({ "the", "chain", "skips" }, count, ModelId("assistant"), "1", Pipeline::modelLayers);
}

}

BOOST_FIXTURE_TEST_CASE(stagesInOrderGiveTheReferenceCompletion, Pipeline)
{
    const std::string first = this->nextToken(0, prompt);
    const std::string second = this->nextToken(3, { json::value(first) });

    BOOST_TEST((std::vector { first, second }) == expected(2), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(skippedLayerShowsInTheText, Pipeline)
{
    this->call(1, "/control", { { "lie", "skip" } });

    BOOST_TEST(this->nextToken(0, prompt) != expected(1).front());
}

BOOST_FIXTURE_TEST_CASE(stepBeyondTheCacheIsCacheMissing, Pipeline)
{
    BOOST_TEST(this->runStep(0, 1, 1, R"(["x"])").at("status").as_string() == "cache-missing");
}

BOOST_FIXTURE_TEST_CASE(stepBelowTheCacheRunsAgainWithTheSameResult, Pipeline)
{
    const std::string first = this->nextToken(0, prompt);
    this->nextToken(3, { json::value("other") });

    BOOST_TEST(this->nextToken(0, prompt) == first);
    BOOST_TEST(this->nextToken(3, { json::value(first) }) == expected(2).back());
}

BOOST_FIXTURE_TEST_CASE(importedCacheContinuesTheCompletion, Pipeline)
{
    const std::string first = this->nextToken(0, prompt);
    const json::value cache = this->call(1, "/v1/cache/export", { { "request", "r" } });
    this->call(1, "/control", { { "dropCaches", true } });
    BOOST_TEST(this->runStep(1, 3, 1, "0123456789abcdef").at("status").as_string() == "cache-missing");
    this->call(1, "/v1/cache/import", cache);

    BOOST_TEST(this->nextToken(3, { json::value(first) }) == expected(2).back());
}
