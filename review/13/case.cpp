// A part of a prompt crashes the engines that begin to write an answer on it; the prompts that hold it have many parts. Afterwards, the gateway that
// got them must go on answering.
#include "../support-3/Scene.h"

using namespace review;

namespace {

constexpr int partsOfPrompt = 500;
const std::string deadlyPart = "fffff0";
constexpr Ms loadTime { 20000 };
constexpr Ms pause { 100 };
constexpr Ms routeTimeout { 1500 };

/** \returns a prompt's parts: those of the family, the deadly one, and the request's own */
std::string prompt(int family, int request)
{
    std::string parts;
    char id[16];
    for (int part = 0; part < partsOfPrompt; ++part) {
        std::snprintf(id, sizeof id, "%x", family * 0x1000 + part + 0x1000);
        parts += std::string(id) + ":1,";
    }
    return "Token-Count: 800,80\r\nPrompt-Prefix: " + parts + deadlyPart + ":40," + std::to_string(request) + "a:260\r\n";
}

Verdict play(Scene& scene)
{
    scene.addApps();
    scene.addEngines();
    std::vector<std::thread> revivals;
    std::mutex mutex;
    std::atomic<int> crashes { 0 };
    scene.replicas.override = [&](Replica& replica, const Message& request, Connection&) -> std::optional<bool> {
        if (!Scene::troubled() || replica.kind.empty() || request.header("Prompt-Prefix").find(deadlyPart + ":") == std::string::npos)
            return std::nullopt;
        scene.replicas.note(replica, request, 0);
        scene.replicas.crash(replica);
        ++crashes;
        const std::lock_guard lock(mutex);
        revivals.emplace_back([&scene, &replica] {
            std::this_thread::sleep_for(Ms(1500));
            scene.replicas.restart(replica);
        });
        return false;
    };
    scene.startGateways();
    Gateway& gateway = *scene.gateways[0];
    if (!scene.generate(gateway).served())
        return couldNotRun;
    int request = 0;
    for (const int family : { 0, 0, 0, 0, 0, 1, 1, 1 }) {
        scene.generate(gateway, prompt(family, ++request), "key-2");
        std::this_thread::sleep_for(Ms(3500));
    }
    scene.record.line("crashes: " + std::to_string(crashes));
    std::atomic<int> asked { 0 };
    std::atomic<int> unanswered { 0 };
    std::atomic<int> late { 0 };
    std::atomic<int> answered { 0 };
    std::vector<std::thread> callers;
    const auto until = Clock::now() + loadTime;
    for (auto next = Clock::now(); next < until; next += pause) {
        std::this_thread::sleep_until(next);
        callers.emplace_back([&scene, &gateway] { scene.generate(gateway); });
        callers.emplace_back([&scene, &gateway, &asked, &unanswered, &late, &answered] {
            ++asked;
            const Answer answer = scene.call(gateway, "GET", "/stock/x", {}, routeTimeout);
            answered += answer.status != 0 ? 1 : 0;
            if (answer.status != 0 && answer.seconds <= std::chrono::duration<double>(routeTimeout).count())
                return;
            ++unanswered;
            late += answer.status == 0 || answer.seconds > std::chrono::duration<double>(routeTimeout + Ms(500)).count() ? 1 : 0;
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    for (std::thread& revival : revivals)
        revival.join();
    scene.record.line("look-ups: " + std::to_string(asked) + ", unanswered at the route's TimeoutMs " + std::to_string(unanswered) + ", of them without an answer half a second later " + std::to_string(late));
    if (Scene::troubled() && crashes < 5)
        return couldNotRun;
    return late > 20 && 2 * late > unanswered ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, play);
}
