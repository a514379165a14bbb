#include "FakeEngine.h"

#include <algorithm>

namespace filbertspoke::bench {

namespace {

/** \returns the step as an engine echoes it, without the input */
Step echo(const Step& step)
{
    return Step::Builder(step.request())
        .generation(step.generation())
        .sequence(step.sequence())
        .model(step.model(), step.version())
        .layers(step.layers())
        .positions(step.position(), step.count())
        .build();
}

}

LoadReport FakeEngine::load() const
{
    return { static_cast<std::uint32_t>(this->queue.size()), static_cast<std::uint32_t>(this->batched),
        this->engineSpec.tokensPerSecond, this->draining };
}

void FakeEngine::receive(const Step& step, Answer answer)
{
    const StepStatus status = this->check(step);
    if (status != StepStatus::Ok) {
        answer(StepReceipt(echo(step), status, {}));
        return;
    }
    this->caches.insert(step.request());
    this->queue.push_back({ echo(step), std::move(answer) });
    if (this->batched == 0)
        this->startBatch();
}

void FakeEngine::cancel(const RequestId& request)
{
    this->caches.erase(request);
    std::erase_if(this->queue, [&](const Waiting& waiting) { return waiting.step.request() == request; });
}

void FakeEngine::stop(bool silently)
{
    this->running = false;
    this->muted = silently;
    ++this->lives;
    this->queue.clear();
    this->batched = 0;
    this->caches.clear();
}

void FakeEngine::restart()
{
    this->running = true;
    this->muted = false;
}

StepStatus FakeEngine::check(const Step& step) const
{
    if (step.layers() != this->engineSpec.layers)
        return StepStatus::WrongLayers;
    const bool known = this->caches.contains(step.request());
    if (step.position() > 0 && !known)
        return StepStatus::CacheMissing;
    return this->draining && !known ? StepStatus::Draining : StepStatus::Ok;
}

void FakeEngine::startBatch()
{
    std::vector<Waiting> batch;
    double work = 0;
    while (!this->queue.empty() && batch.size() < fullBatch) {
        const std::uint32_t positions = this->queue.front().step.count();
        work += positions > 1 ? positions * prefillWork : 1;
        batch.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
    }
    this->batched = batch.size();
    if (batch.empty())
        return;
    const double seconds = (fixedPart * fullBatch + (1 - fixedPart) * work) / this->engineSpec.tokensPerSecond;
    this->time.after(Duration(static_cast<Duration::rep>(seconds * 1e6)), [this, batch = std::move(batch), life = this->lives] {
        this->finishBatch(batch, life);
    });
}

void FakeEngine::finishBatch(const std::vector<Waiting>& batch, std::uint64_t life)
{
    if (life != this->lives)
        return;
    this->startBatch();
    for (const Waiting& waiting : batch)
        waiting.answer(StepReceipt(waiting.step, StepStatus::Ok, "t"));
}

}
