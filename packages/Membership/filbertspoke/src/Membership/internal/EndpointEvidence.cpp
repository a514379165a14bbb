#include "EndpointEvidence.h"

#include <algorithm>

namespace filbertspoke::internal {

namespace {

bool newerThan(std::optional<TimePoint> known, TimePoint observed, Duration tolerance)
{
    return !known || observed > *known + tolerance;
}

}

void EndpointEvidence::reported(bool isDraining, TimePoint now, const EndpointDirectorySettings& settings)
{
    this->recordEvidence(now);
    this->heard = true;
    this->misses = 0;
    this->silentAt.reset();
    if (isDraining)
        this->draining.observe(now);
    else
        this->draining.contradict(now, settings.answerDelay, settings.confirmation);
}

void EndpointEvidence::missed(TimePoint now, const EndpointDirectorySettings& settings)
{
    ++this->misses;
    const bool confirmedByPeer = this->silentAt && now <= *this->silentAt + settings.silenceLifetime;
    if (confirmedByPeer)
        this->misses = std::max(this->misses, settings.missesUntilGone);
    if (this->misses >= settings.missesUntilGone)
        this->silentAt = now;
}

void EndpointEvidence::restarted()
{
    this->heard = false;
    this->misses = 0;
}

void EndpointEvidence::listedAsStaying(TimePoint now, const EndpointDirectorySettings& settings)
{
    this->recordEvidence(now);
    this->absentSince.reset();
    this->leaving.contradict(now, settings.listLag, settings.confirmation);
}

void EndpointEvidence::listedAsLeaving(TimePoint now)
{
    this->recordEvidence(now);
    this->absentSince.reset();
    this->leaving.observe(now);
}

void EndpointEvidence::absentFromList(TimePoint now, const EndpointDirectorySettings& settings)
{
    if (!this->absentSince)
        this->absentSince = now;
    if (now > *this->absentSince + settings.listLag)
        this->leaving.observe(now);
}

bool EndpointEvidence::heardFromPeer(EndpointSignal signal, TimePoint observed, TimePoint now,
    const EndpointDirectorySettings& settings)
{
    this->recordEvidence(observed);
    const bool isNew = newerThan(this->observed(signal), observed, settings.repeatInterval / 2);
    switch (signal) {
    case EndpointSignal::Draining:
        this->draining.observe(observed);
        break;
    case EndpointSignal::ListedLeaving:
        this->leaving.observe(observed);
        break;
    case EndpointSignal::Silent:
        this->silentAt = std::max(this->silentAt.value_or(observed), observed);
        if (this->misses > 0 && now <= observed + settings.silenceLifetime)
            this->misses = std::max(this->misses, settings.missesUntilGone);
        break;
    }
    return isNew;
}

void EndpointEvidence::recordEvidence(TimePoint now)
{
    this->latest = std::max(this->latest, now);
}

MemberState EndpointEvidence::state(const EndpointDirectorySettings& settings) const
{
    if (this->misses >= settings.missesUntilGone)
        return MemberState::Gone;
    if (this->draining.active() || this->leaving.active())
        return MemberState::Leaving;
    if (!this->heard || this->misses > 0)
        return MemberState::Suspect;
    return MemberState::Alive;
}

std::optional<TimePoint> EndpointEvidence::observed(EndpointSignal signal) const
{
    switch (signal) {
    case EndpointSignal::Draining:
        return this->draining.observed();
    case EndpointSignal::ListedLeaving:
        return this->leaving.observed();
    case EndpointSignal::Silent:
        return this->silentAt;
    }
    return std::nullopt;
}

}
