#ifndef FILBERTSPOKE_STALL_EVIDENCE_H
#define FILBERTSPOKE_STALL_EVIDENCE_H

#include <filbertspoke/Core>

#include <optional>

namespace filbertspoke {

/** \brief Pause of a stream that is attributed to an engine of its chain against which there is other evidence; well above the usual time between two
 * events. */
constexpr Duration suspectedStallTimeout = std::chrono::milliseconds(150);

/** \brief Decides whether a stream without events leaves its chain because an engine of the chain refused another request meanwhile.
 *
 * Load pattern: three or four engines in the middle of fast chains crash together and close no connection, while some two hundred streams run through
 * them. The engines before them refuse new requests at once, but a report that names the crashed engine comes half a second later, and callers leave
 * after a pause of two seconds. An engine that is short of memory or gives up layers refuses requests too, but goes on with its streams, however
 * slow they are; so neither a refusal nor a pause suffices alone, and the pause has to be unusual for the stream.
 * \param pause time since the last event of the stream
 * \param usualPause longest time between two of its events so far; nothing while it has had too few to tell
 * \param sinceRefusal time since the engine last refused a request; nothing if it refused none */
bool isStalledByRefusingEngine(Duration pause, std::optional<Duration> usualPause, std::optional<Duration> sinceRefusal);

}

#endif
