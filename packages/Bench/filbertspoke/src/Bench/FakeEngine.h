#ifndef FILBERTSPOKE_FAKE_ENGINE_H
#define FILBERTSPOKE_FAKE_ENGINE_H

#include "Scenario.h"
#include "VirtualTime.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <deque>
#include <functional>
#include <set>
#include <vector>

namespace filbertspoke::bench {

/** \brief An engine with one queue that it works off in batches.
 *
 * Half of a full batch's time is spent on any batch, the other half in proportion to its work; a
 * token of a prompt is an eighth of a decoded token's work.
 */
class FakeEngine {
public:
    using Answer = std::function<void(const StepReceipt&)>;

    static constexpr std::size_t fullBatch = 4; ///< steps
    static constexpr double fixedPart = 0.5; ///< of a full batch's time
    static constexpr double prefillWork = 1.0 / 8; ///< of a token of the prompt, in decoded tokens

    FakeEngine(EngineSpec spec, VirtualTime& time)
        : engineSpec(std::move(spec))
        , time(time)
    {
    }

    const EngineSpec& spec() const { return this->engineSpec; }
    bool alive() const { return this->running; }
    bool silent() const { return this->muted; }
    const std::set<RequestId>& residents() const { return this->caches; }
    LoadReport load() const;

    void receive(const Step&, Answer);
    void cancel(const RequestId&);
    /** \brief Ends the engine; answers that it owes are never given. */
    void stop(bool silently);
    /** \brief Starts it again without KV caches. */
    void restart();
    /** \brief Takes no new requests from now on. */
    void drain() { this->draining = true; }

private:
    struct Waiting {
        Step step;
        Answer answer;
    };

    StepStatus check(const Step&) const;
    void startBatch();
    void finishBatch(const std::vector<Waiting>&, std::uint64_t life);

    EngineSpec engineSpec;
    VirtualTime& time;
    std::deque<Waiting> queue;
    std::size_t batched = 0;
    std::set<RequestId> caches;
    bool running = true;
    bool muted = false;
    bool draining = false;
    std::uint64_t lives = 0;
};

}

#endif
