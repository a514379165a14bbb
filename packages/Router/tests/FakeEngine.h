#ifndef FILBERTSPOKE_FAKE_ENGINE_H
#define FILBERTSPOKE_FAKE_ENGINE_H

#include <filbertspoke/Router>

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace filbertspoke::testing {

constexpr std::uint32_t modelLayers = 8;

/** \returns the token that follows \a tokens if every layer has run exactly once and in order */
inline std::string nextToken(const std::vector<std::string>& tokens)
{
    std::string text;
    for (const std::string& token : tokens)
        text += token + "|";
    return "t" + std::to_string(std::hash<std::string> {}(text) % 100'000);
}

/** \brief An engine that holds a range of layers, with a KV cache per request.
 *
 * An activation is the token with the number of the next layer, so that a skipped, repeated or
 * reordered layer yields a wrong token.
 */
class FakeEngine {
public:
    explicit FakeEngine(LayerRange layers)
        : layers(layers)
    {
    }

    StepReceipt run(const Step& step)
    {
        std::vector<std::string>& cached = this->cache[step.request()];
        if (step.layers() != this->layers)
            return StepReceipt(step, StepStatus::WrongLayers, "");
        if (step.position() > cached.size())
            return StepReceipt(step, StepStatus::CacheMissing, "");
        cached.resize(step.position());
        const boost::json::value input = boost::json::parse(step.input());
        boost::json::array output;
        for (const boost::json::value& value : input.as_array())
            output.emplace_back(this->runPosition(std::string(value.as_string()), cached));
        if (this->layers.last() == modelLayers)
            return StepReceipt(step, StepStatus::Ok, nextToken(cached));
        return StepReceipt(step, StepStatus::Ok, boost::json::serialize(output));
    }

    void restart() { this->cache.clear(); }

    const LayerRange& range() const { return this->layers; }

private:
    std::string runPosition(const std::string& input, std::vector<std::string>& cached)
    {
        const std::string reached = "@" + std::to_string(this->layers.first());
        const bool first = this->layers.first() == 0;
        const bool inOrder = first || input.ends_with(reached);
        const std::string token = first ? input : input.substr(0, input.size() - (inOrder ? reached.size() : 0));
        cached.push_back(inOrder ? token : "spoiled");
        return cached.back() + "@" + std::to_string(this->layers.last());
    }

    LayerRange layers;
    std::map<RequestId, std::vector<std::string>> cache;
};

}

#endif
