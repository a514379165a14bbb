#ifndef FILBERTSPOKE_ENGINE_STAND_IN_H
#define FILBERTSPOKE_ENGINE_STAND_IN_H

#include "ReferenceModel.h"
#include <filbertspoke/Http>

#include <filbertspoke/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief How an EngineStandIn starts. */
struct EngineOptions {
    EngineRole role;
    std::uint32_t modelLayers = 0; ///< an engine that holds the last of these gives tokens
    bool checksFencing = false; ///< refuses orders with an old fencing number
    std::chrono::microseconds delay {}; ///< time of one token position
    std::uint32_t slots = 8; ///< steps that run side by side
};

/** \brief Plays an engine that holds a range of layers. */
class EngineStandIn {
public:
    EngineStandIn(boost::asio::io_context&, const HttpAddress&, EngineOptions);

    HttpAddress address() const { return this->server.address(); }

private:
    using Answer = boost::asio::awaitable<std::optional<HttpResponse>>;
    using Clock = std::chrono::steady_clock;
    using LayerCache = std::vector<ReferenceModel::Activation>; ///< by position

    enum class Lie {
        None,
        EchoOtherLayers, ///< the receipt names layers that were not run
        SkipLayer, ///< a layer is left out, and the receipt doesn't say so
    };

    struct Outcome {
        StepStatus status = StepStatus::Failed;
        std::string output;
    };

    Answer answer(HttpRequest);
    Answer runSteps(std::string body);
    boost::asio::awaitable<void> waitForTurn(const boost::json::array& steps);
    boost::json::object receipt(const boost::json::object& step);
    Outcome run(const boost::json::object& step);
    std::vector<ReferenceModel::Activation> inputs(const boost::json::object& step, std::uint32_t position) const;
    HttpResponse status() const;
    HttpResponse exportCache(const boost::json::object&) const;
    HttpResponse importCache(const boost::json::object&);
    HttpResponse order(const boost::json::object&);
    HttpResponse control(const boost::json::object&);
    void changeRole(const boost::json::object&);

    boost::asio::io_context& context;
    EngineOptions options;
    ReferenceModel model;
    std::map<std::string, std::vector<LayerCache>> caches; ///< by request, then by layer held
    std::vector<Clock::time_point> slotFree;
    std::uint32_t inProgress = 0;
    std::uint64_t fencing = 0;
    bool draining = false;
    bool stalled = false;
    std::uint32_t failures = 0; ///< steps still to fail
    Lie lie = Lie::None;
    boost::json::array runs;
    HttpServer server;
};

}

#endif
