// Runs a gateway whose endpoints answer the first attempt of each request with bytes that are no HTTP response, on connections that they keep open.
#include <filbertspoke/PlatformTesting>

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

const std::vector<std::string> serviceReplicas { "app-1", "app-2" };
const std::vector<std::string> firstEngines { "engine-a1", "engine-b1" };
// Callers of the scene wait for four seconds. What can't be served is rejected at once, not at the end of that time.
constexpr auto rejectionTime = 2s;
const std::string malformedBody = "broken-body";
const std::string malformedChunks = "b\r\n" + malformedBody + "\r\n0\r\n\r\n";

/** \brief A response that is sound but for one defect. */
struct Defect {
    std::string statusLine = "HTTP/1.1 200 OK";
    std::string fields; ///< lines of the head, without those that identify the request
    std::string body;
};

std::string lengthField()
{
    return "Content-Length: " + std::to_string(malformedBody.size()) + "\r\n";
}

std::string malformedAnswer(const Defect& defect, const HttpRequest& request)
{
    return defect.statusLine + "\r\n" + requestIdHeader() + ": " + readForwarded(request).id + "\r\nServer-Seal: seal\r\n" + defect.fields + "\r\n" + defect.body;
}

/** \brief A gateway whose endpoints answer the first attempt of each request with the defect, and further ones well. */
class Scene : public GatewayScene {
public:
    Scene(const Defect& defect, ReplicaScript::End end)
    {
        for (const std::string& id : serviceReplicas)
            this->spoilFirstAttempts(id, defect, end, [](const HttpRequest& request) { return wholeAnswer(request, 200, "served"); });
        for (const std::string& id : firstEngines)
            this->spoilFirstAttempts(id, defect, end, [](const HttpRequest& request) { return streamHead(request) + eventChunk(1) + eventChunk(2) + lastChunk(); });
        this->start();
    }

    /** \brief Sends a request.
     * \param sends how often it should reach endpoints
     * \returns what its caller received */
    std::string answerTo(const std::string& method, const std::string& path, int sends)
    {
        this->attempts.clear();
        const auto sentAt = Clock::now();
        const auto caller = this->call(method, path, "Connection: close\r\n");
        this->await([&] { return caller->closed(); });
        BOOST_TEST((Clock::now() - sentAt < rejectionTime));
        BOOST_TEST((this->attempts.empty() ? 0 : this->attempts.begin()->second) == sends);
        BOOST_TEST(caller->received().find(malformedBody) == std::string::npos);
        return caller->received();
    }

private:
    void spoilFirstAttempts(const std::string& id, const Defect& defect, ReplicaScript::End end, const std::function<std::string(const HttpRequest&)>& soundAnswer)
    {
        this->replicas.at(id)->setAnswer([=, this](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return emptyReport();
            if (++this->attempts[readForwarded(request).id] > 1)
                return ReplicaScript { { soundAnswer(request) } };
            return ReplicaScript { { malformedAnswer(defect, request) }, 5ms, end };
        });
    }

    std::map<std::string, int> attempts; ///< by request
};

/** \brief Checks that a look-up and a stream are served by another endpoint, and that a booking, which may have run, fails and is not sent again. */
void checkRejected(const Defect& defect, ReplicaScript::End end = ReplicaScript::End::Silence)
{
    BOOST_TEST_CONTEXT(defect.statusLine << "\n"
                                         << defect.fields << defect.body)
    {
        Scene scene(defect, end);
        const std::string lookUp = scene.answerTo("GET", "/stock/x", 2);
        BOOST_TEST(lookUp.starts_with("HTTP/1.1 200"));
        BOOST_TEST(lookUp.ends_with("served"));
        BOOST_TEST(scene.answerTo("POST", "/book/x", 1).starts_with("HTTP/1.1 502"));
        const std::string stream = scene.answerTo("POST", "/chat/x", 2);
        BOOST_TEST(eventIds(stream) == "1 2 ");
        BOOST_TEST(stream.ends_with(lastChunk()));
    }
}

}

// Guards against answers of which the line behind a field was joined to its value, so that the body had another framing than its head named.
BOOST_AUTO_TEST_CASE(fieldThatIsFoldedOverTwoLinesIsNoAnswer)
{
    for (const std::string blank : { " ", "\t" }) {
        checkRejected({ .fields = "X-Mark: 7\r\n" + blank + lengthField(), .body = malformedBody }, ReplicaScript::End::Close);
        checkRejected({ .fields = "X-Mark: 7\r\n" + blank + "Transfer-Encoding: chunked\r\n", .body = malformedChunks }, ReplicaScript::End::Close);
        checkRejected({ .fields = lengthField() + "X-Mark: 7\r\n" + blank + "X-Other: 8\r\n", .body = malformedBody });
    }
}

BOOST_AUTO_TEST_CASE(nameWithABlankOrAControlByteIsNoAnswer)
{
    using namespace std::string_literals;
    for (const std::string& name : { "X Mark"s, "X\tMark"s, "X\x01Mark"s, "X-Mark\x7f"s, "X\0Mark"s, "X-Mark "s, "X-Mark\t"s, "\x01X-Mark"s, ""s })
        checkRejected({ .fields = lengthField() + name + ": 7\r\n", .body = malformedBody });
}

// Guards against answers whose status was below 100, for which callers waited until their time was over, and above 599, which reached them.
BOOST_AUTO_TEST_CASE(statusThatIsNoneOfHttpIsNoAnswer)
{
    for (const std::string status : { "000", "001", "099", "600", "999", "20", "2000", "+20", "-20", "2x0", "" }) {
        checkRejected({ "HTTP/1.1 " + status + " Status", lengthField(), malformedBody });
        checkRejected({ "HTTP/1.1 " + status + " Status", "Transfer-Encoding: chunked\r\n", malformedChunks });
        checkRejected({ "HTTP/1.1 " + status + " Status", "Content-Length: 0\r\n", "" });
    }
}

// No request asks for another protocol, so that no answer can switch to one.
BOOST_AUTO_TEST_CASE(switchToAnotherProtocolIsNoAnswer)
{
    checkRejected({ "HTTP/1.1 101 Switching Protocols", "Connection: upgrade\r\nUpgrade: other\r\n", "" });
    checkRejected({ "HTTP/1.1 101 Switching Protocols", lengthField(), malformedBody });
}

BOOST_AUTO_TEST_CASE(otherVersionOfHttpIsNoAnswer)
{
    for (const std::string version : { "HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/1", "http/1.1", "HTTPS/1.1", "" })
        checkRejected({ version + " 200 OK", lengthField(), malformedBody });
}

// Guards against answers whose chunks were not seen as such, so that callers got the sizes of the chunks or a coded body.
BOOST_AUTO_TEST_CASE(transferCodingOtherThanChunksIsNoAnswer)
{
    const std::string field = "Transfer-Encoding: ";
    for (const std::string value : { "chunked, chunked", "gzip", "gzip, chunked", "chunked, gzip", "identity", "chunked;q=1", "" })
        checkRejected({ .fields = field + value + "\r\n", .body = malformedChunks }, ReplicaScript::End::Close);
    checkRejected({ .fields = field + "identity\r\n" + lengthField(), .body = malformedBody });
    checkRejected({ .fields = field + "gzip\r\n" + field + "chunked\r\n", .body = malformedChunks });
    checkRejected({ .statusLine = "HTTP/1.0 200 OK", .fields = field + "chunked\r\n", .body = malformedChunks });
}

BOOST_AUTO_TEST_CASE(lengthThatIsNoneOrOneOfSeveralIsNoAnswer)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const std::string value : { "11, 12", "-11", "+11", "0x0b", "1 1", "", "99999999999999999999" })
        checkRejected({ .fields = "Content-Length: " + value + "\r\n", .body = malformedBody });
    checkRejected({ .fields = lengthField() + "Content-Length: 12\r\n", .body = malformedBody });
    checkRejected({ .fields = lengthField() + chunked, .body = malformedChunks });
    checkRejected({ .fields = chunked + lengthField(), .body = malformedChunks });
}

BOOST_AUTO_TEST_CASE(logNamesWhatIsWrongWithAnAnswer)
{
    Scene scene({ "HTTP/1.1 000 Status", lengthField(), malformedBody }, ReplicaScript::End::Silence);
    scene.answerTo("GET", "/stock/x", 2);
    scene.answerTo("POST", "/book/x", 1);
    scene.answerTo("POST", "/chat/x", 2);
    scene.gateway->kill();
    int lines = 0;
    while (const auto text = scene.gateway->readLine()) {
        const boost::json::value line = boost::json::parse(*text);
        if (line.at("event").as_string() != "attempt-failed")
            continue;
        ++lines;
        BOOST_TEST(line.at("reason").as_string() == "answer-malformed");
        BOOST_TEST(line.at("evidence").as_string() == "bad status");
    }
    BOOST_TEST(lines == 3);
}
