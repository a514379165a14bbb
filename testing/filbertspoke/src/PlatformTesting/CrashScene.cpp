#include <filbertspoke/PlatformTesting>

#include <chrono>
#include <utility>

namespace filbertspoke {

namespace {

constexpr auto answerPause = std::chrono::milliseconds(5);
// An endpoint runs a request for this time before it crashes.
constexpr auto prefillTime = std::chrono::milliseconds(100);

bool isStream(const HttpRequest& request)
{
    return !findHeader(request.headers, "Hop-Count").empty();
}

ReplicaScript resetAfterTheHead(const HttpRequest& request)
{
    return { isStream(request) ? std::vector<std::string> { streamHead(request) } : std::vector<std::string> {}, prefillTime, ReplicaScript::End::Reset };
}

bool isRefused(const RawCaller& caller)
{
    return caller.closed() || caller.received().starts_with("HTTP/1.1 5");
}

}

void CrashScene::crashUnder(const std::vector<std::string>& endpoints, Condition value)
{
    this->condition = std::move(value);
    this->lastAnswer = resetAfterTheHead;
    for (const std::string& id : endpoints)
        this->replicas.at(id)->setAnswer([this, id](const HttpRequest& request) { return this->answerAt(id, request); });
}

void CrashScene::crash(const std::string& endpoint)
{
    this->crashed.insert(endpoint);
    this->replicas.at(endpoint)->setListening(false);
}

ReplicaScript CrashScene::answerAt(const std::string& endpoint, const HttpRequest& request)
{
    if (this->crashed.contains(endpoint))
        return { {}, answerPause, ReplicaScript::End::Reset };
    if (request.target.starts_with("/filbertspoke/"))
        return emptyReport();
    if (this->condition(request)) {
        ++this->crashes;
        this->crash(endpoint);
        return this->lastAnswer(request);
    }
    if (isStream(request))
        return { { streamHead(request), eventChunk(1), lastChunk() }, answerPause, ReplicaScript::End::Keep };
    return { { wholeAnswer(request, 200, "served") }, answerPause, ReplicaScript::End::Keep };
}

void CrashScene::restartCrashed()
{
    for (const std::string& id : this->crashed) {
        this->replicas.at(id)->setListening(true);
        this->restartEndpoint(id);
    }
    this->crashed.clear();
}

std::string CrashScene::sendCrashing(const std::string& method, const std::string& target, const std::string& headers)
{
    const auto caller = this->call(method, target, headers);
    this->await([&] { return isRefused(*caller) || caller->received().find(lastChunk()) != std::string::npos; });
    const std::string answer = caller->received();
    this->restartCrashed();
    return answer;
}

bool CrashScene::serve(const std::string& method, const std::string& target, const std::string& ending, const std::string& headers)
{
    const auto caller = this->call(method, target, headers);
    this->await([&] { return isRefused(*caller) || caller->received().find(ending) != std::string::npos; });
    return caller->received().find(ending) != std::string::npos;
}

}
