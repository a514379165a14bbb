// Which quarantined traits are written to the store, so that they outlast the daemons.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

RequestTraitEvidence quarantined(const std::string& trait)
{
    RequestTraitEvidence evidence;
    evidence.trait = RequestTraitId(trait);
    evidence.quarantined = true;
    return evidence;
}

struct Fixture {
    QuarantineChanges write(const std::vector<RequestTraitEvidence>& current)
    {
        const QuarantineChanges changes = this->stored.changes(current);
        this->stored.noteWritten(changes);
        return changes;
    }

    StoredQuarantine stored;
};

}

BOOST_FIXTURE_TEST_CASE(traitIsWrittenOnceAndRemovedWhenItIsNotQuarantinedAnyMore, Fixture)
{
    BOOST_TEST(this->write({}).empty());
    BOOST_TEST((this->write({ quarantined("a") }).added == std::vector { quarantined("a") }));
    BOOST_TEST(this->write({ quarantined("a") }).empty());
    BOOST_TEST((this->write({ quarantined("b") }) == QuarantineChanges { { quarantined("b") }, { RequestTraitId("a") } }));
}

BOOST_FIXTURE_TEST_CASE(changesThatWereNotWrittenAreDueAgain, Fixture)
{
    BOOST_TEST(this->stored.changes({ quarantined("a") }).added.size() == 1U);
    BOOST_TEST(this->stored.changes({ quarantined("a") }).added.size() == 1U);
}

// A hub that reads the store finds what another one wrote, and removes what has ended meanwhile.
BOOST_FIXTURE_TEST_CASE(recordsThatWereReadAreNotWrittenAgain, Fixture)
{
    this->stored.noteRead({ RequestTraitId("a"), RequestTraitId("ended") });
    BOOST_TEST((this->write({ quarantined("a") }) == QuarantineChanges { {}, { RequestTraitId("ended") } }));
    // The store restarted from a copy that lacks the record.
    this->stored.noteRead({});
    BOOST_TEST((this->write({ quarantined("a") }).added == std::vector { quarantined("a") }));
}

BOOST_FIXTURE_TEST_CASE(numberAndNamesOfStoredTraitsAreLimited, Fixture)
{
    std::vector<RequestTraitEvidence> many { quarantined(std::string(256, 'x')) };
    for (int trait = 0; trait < 1000; ++trait)
        many.push_back(quarantined("t" + std::to_string(trait)));
    BOOST_TEST(this->write(many).added.size() == 256U);
    BOOST_TEST(this->write(many).empty());
}
