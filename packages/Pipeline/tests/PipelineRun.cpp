#include <filbertspoke/Pipeline>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

const Chain twoStages { { EndpointId("a"), LayerRange(0, 4) }, { EndpointId("b"), LayerRange(4, 8) } };
const Chain replacementChain { { EndpointId("a"), LayerRange(0, 4) }, { EndpointId("c"), LayerRange(4, 8) } };

CompletionSpec specFor(std::uint32_t maximumTokens, std::vector<std::string> received = {})
{
    return CompletionSpec::Builder(RequestId("r"))
        .model(ModelId("m"), "1", 8)
        .prompt({ "true", "the", "wheel" })
        .received(std::move(received))
        .maximumTokens(maximumTokens)
        .build();
}

StepReceipt receiptFor(const StepDue& due, std::string output, StepStatus status = StepStatus::Ok)
{
    return StepReceipt(due.step, status, std::move(output));
}

template <typename Output>
const Output* findOutput(const RunOutputs& outputs)
{
    for (const RunOutput& output : outputs) {
        if (const auto* found = std::get_if<Output>(&output))
            return found;
    }
    return nullptr;
}

/** \brief Passes the receipt of a successful engine for the outstanding step to the run. */
RunOutputs answer(PipelineRun& run, const std::string& output)
{
    const StepDue due = *run.outstanding();
    return run.answered(due.endpoint, receiptFor(due, output));
}

}

BOOST_AUTO_TEST_CASE(eachTokenPassesEveryStageInOrder)
{
    PipelineRun run(specFor(2));
    run.assign(twoStages);
    BOOST_TEST(run.outstanding()->endpoint == EndpointId("a"));
    BOOST_TEST(run.outstanding()->step.count() == 3u);
    BOOST_TEST(run.outstanding()->step.input() == "[\"true\",\"the\",\"wheel\"]");

    answer(run, "activations");
    BOOST_TEST(run.outstanding()->endpoint == EndpointId("b"));
    BOOST_TEST(run.outstanding()->step.input() == "activations");

    const RunOutputs first = answer(run, "hub");
    BOOST_TEST(findOutput<TokenReady>(first)->text == "hub");
    BOOST_TEST(run.outstanding()->endpoint == EndpointId("a"));
    BOOST_TEST(run.outstanding()->step.position() == 3u);
    BOOST_TEST(run.outstanding()->step.input() == "[\"hub\"]");

    answer(run, "activations");
    const RunOutputs second = answer(run, "rim");
    BOOST_TEST(findOutput<TokenReady>(second)->index == 1u);
    BOOST_TEST(findOutput<RunFinished>(second));
    BOOST_TEST(!run.outstanding().has_value());
}

BOOST_AUTO_TEST_CASE(duplicateLateAndCrossedAnswersAreDropped)
{
    PipelineRun run(specFor(2));
    run.assign(twoStages);
    const StepDue first = *run.outstanding();
    answer(run, "activations");

    BOOST_TEST(findOutput<AnswerDropped>(run.answered(first.endpoint, receiptFor(first, "again"))));
    const StepDue second = *run.outstanding();
    BOOST_TEST(findOutput<AnswerDropped>(run.answered(EndpointId("other"), receiptFor(second, "crossed"))));
    BOOST_TEST((run.outstanding() == second));
}

BOOST_AUTO_TEST_CASE(answersOfAnEarlierGenerationAreDropped)
{
    PipelineRun run(specFor(2));
    run.assign(twoStages);
    answer(run, "activations");
    const StepDue lost = *run.outstanding();
    BOOST_TEST(findOutput<ChainNeeded>(run.endpointLost(EndpointId("b"))));
    run.assign(replacementChain);

    BOOST_TEST(run.generation() == 1u);
    BOOST_TEST(findOutput<AnswerDropped>(run.answered(lost.endpoint, receiptFor(lost, "late"))));
    BOOST_TEST(run.tokenCount() == 0u);
}

// The engine is also in the new chain, and its late receipt matches the new step in layers and positions; only generation and
// sequence differ.
BOOST_AUTO_TEST_CASE(answerOfAnEarlierGenerationFromAKeptEngineIsDropped)
{
    PipelineRun run(specFor(2));
    run.assign(twoStages);
    const StepDue earlier = *run.outstanding();
    run.endpointLost(EndpointId("b"));
    run.assign(replacementChain);
    const StepDue current = *run.outstanding();
    BOOST_TEST(current.endpoint == earlier.endpoint);

    BOOST_TEST(findOutput<AnswerDropped>(run.answered(earlier.endpoint, receiptFor(earlier, "late"))));
    BOOST_TEST((run.outstanding() == current));
}

BOOST_AUTO_TEST_CASE(replacementRecomputesTheCacheAndSendsNoTokenTwice)
{
    PipelineRun run(specFor(3));
    run.assign(twoStages);
    answer(run, "activations");
    answer(run, "hub");
    run.endpointLost(EndpointId("b"));
    const RunOutputs outputs = run.assign(replacementChain);

    BOOST_TEST((*findOutput<CacheReleased>(outputs) == CacheReleased { EndpointId("b") }));
    BOOST_TEST(run.outstanding()->step.position() == 0u);
    BOOST_TEST(run.outstanding()->step.input() == "[\"true\",\"the\",\"wheel\",\"hub\"]");
    answer(run, "activations");
    BOOST_TEST(findOutput<TokenReady>(answer(run, "rim"))->index == 1u);
}

BOOST_AUTO_TEST_CASE(engineThatRanOtherLayersIsExcluded)
{
    PipelineRun run(specFor(1));
    run.assign(twoStages);
    const StepDue due = *run.outstanding();
    const Step other = Step::Builder(due.step.request())
                           .generation(due.step.generation())
                           .sequence(due.step.sequence())
                           .model(due.step.model(), due.step.version())
                           .layers(LayerRange(0, 3))
                           .positions(due.step.position(), due.step.count())
                           .build();

    const RunOutputs outputs = run.answered(due.endpoint, StepReceipt(other, StepStatus::Ok, "wrong"));
    BOOST_TEST((*findOutput<ChainNeeded>(outputs) == ChainNeeded { EndpointId("a"), true }));
}

BOOST_AUTO_TEST_CASE(missingCacheIsRecomputedOnTheSameEngine)
{
    PipelineRun run(specFor(1));
    run.assign(twoStages);
    const StepDue due = *run.outstanding();
    const RunOutputs outputs = run.answered(due.endpoint, receiptFor(due, "", StepStatus::CacheMissing));

    BOOST_TEST((*findOutput<ChainNeeded>(outputs) == ChainNeeded { EndpointId("a"), false }));
}

BOOST_AUTO_TEST_CASE(resumedRunContinuesAfterTheReceivedTokens)
{
    PipelineRun run(specFor(3, { "hub", "rim" }));
    run.assign(twoStages);
    BOOST_TEST(run.outstanding()->step.input() == "[\"true\",\"the\",\"wheel\",\"hub\",\"rim\"]");
    answer(run, "activations");
    const RunOutputs outputs = answer(run, "spoke");
    BOOST_TEST(findOutput<TokenReady>(outputs)->index == 2u);
    BOOST_TEST(findOutput<RunFinished>(outputs));
}

BOOST_AUTO_TEST_CASE(cancelReleasesEveryCacheOnce)
{
    PipelineRun run(specFor(2));
    run.assign(twoStages);
    BOOST_TEST((run.cancel() == RunOutputs { CacheReleased { EndpointId("a") }, CacheReleased { EndpointId("b") } }));
    BOOST_TEST(run.cancel().empty());
}
