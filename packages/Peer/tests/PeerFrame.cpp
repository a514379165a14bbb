#include <filbertspoke/Peer>
#include <filbertspoke/Testing>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const ListedDaemon daemonA { DaemonId("daemon-a"), FailureDomainId("riga-a"), "127.0.0.1", 7000 };
const ListedDaemon daemonB { DaemonId("daemon-b"), FailureDomainId("riga-b"), "127.0.0.2", 7000 };
const PeerStatus status { daemonA.id, 1'700'000'000'000'000, 42, 3, true };
const Gossip gossip {
    { { daemonB, 9, MemberState::Suspect } },
    { { EndpointId("engine-1"), EndpointSignal::ListedLeaving, 250ms } },
};

std::vector<PeerMessage> everyMessage()
{
    const LoadReport load { 1, 2, 55.5, true };
    return {
        status,
        PeerProbe { status, daemonA, 7, gossip },
        PeerProbeRequest { status, daemonA, 8, daemonB, {} },
        PeerProbeAnswer { status, daemonB.id, 8, gossip },
        RecordsRequest { "configuration", 12 },
        RecordsTransfer { "configuration", 3, 14, { { "configuration", 12, "{}" }, { "configuration", 13, "" } } },
        LoadReports { { { EndpointId("engine-1"), load, 1s } } },
        DemandReport { { { AccountId("bole"), 12.5, 4 } } },
        ForwardedCall { RequestId("r"), AccountId("bole"), ServiceId("bench-app"), "POST", "/parts",
            "application/json", std::string("\0x", 2), "key", 2s },
        ForwardedAnswer { RequestId("r"), 201, "text/plain", "ok", std::nullopt },
        ForwardedAnswer { RequestId("r"), 0, "", "", Refusal(ErrorCode::Draining, Ran::No).retryAfter(3s) },
    };
}

}

BOOST_AUTO_TEST_CASE(decodingRestoresEveryMessage)
{
    for (const PeerMessage& message : everyMessage()) {
        const PeerFrame frame { daemonA.id, message };
        const Result<PeerFrame> decoded = decodePeerFrame(encodePeerFrame(frame));
        BOOST_TEST_CONTEXT("alternative " << message.index())
        {
            BOOST_REQUIRE(decoded.has_value());
            BOOST_TEST((*decoded == frame));
        }
    }
    BOOST_TEST(everyMessage().back().index() + 1 == std::variant_size_v<PeerMessage>);
}

BOOST_AUTO_TEST_CASE(damagedFramesNeverCrashTheDecoder)
{
    const auto messages = everyMessage();
    testing::checkProperty([&] {
        std::string bytes = encodePeerFrame({ daemonA.id, *rc::gen::elementOf(messages) });
        const auto mutations = *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(
            rc::gen::pair(rc::gen::arbitrary<std::uint16_t>(), rc::gen::arbitrary<char>()));
        for (const auto& [position, value] : mutations)
            bytes[position % bytes.size()] = value;
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        const Result<PeerFrame> decoded = decodePeerFrame(bytes);
        RC_ASSERT(decoded.has_value() || decoded.error() == ErrorCode::MalformedMessage
            || decoded.error() == ErrorCode::UnsupportedVersion);
    });
}

BOOST_AUTO_TEST_CASE(listWithTooManyElementsIsMalformed)
{
    // PeerFrame { sender "a", message { loadReports { loads: list of 2^31 - 1 structs } } }
    const std::string bytes("\x18\x01"
                            "a"
                            "\x1c\x7c\x19\xfc\xff\xff\xff\xff\x07");
    BOOST_TEST((decodePeerFrame(bytes).error() == ErrorCode::MalformedMessage));
}

BOOST_AUTO_TEST_CASE(unknownMessageIsAnUnsupportedVersion)
{
    // PeerFrame { sender "a", message { field 15: i32 1 } }
    const std::string bytes("\x18\x01"
                            "a"
                            "\x1c\xf5\x02\x00\x00",
        8);
    BOOST_TEST((decodePeerFrame(bytes).error() == ErrorCode::UnsupportedVersion));
}

BOOST_AUTO_TEST_CASE(valuesOutOfRangeAreMalformed)
{
    ListedDaemon withoutId = daemonA;
    withoutId.id = DaemonId("");
    const PeerFrame frame { daemonA.id, PeerProbe { status, withoutId, 1, {} } };
    BOOST_TEST((decodePeerFrame(encodePeerFrame(frame)).error() == ErrorCode::MalformedMessage));

    const PeerFrame negativeAge { daemonA.id, PeerProbe { status, daemonA, 1, { {}, { { EndpointId("e"), EndpointSignal::Silent, -1s } } } } };
    BOOST_TEST((decodePeerFrame(encodePeerFrame(negativeAge)).error() == ErrorCode::MalformedMessage));
}
