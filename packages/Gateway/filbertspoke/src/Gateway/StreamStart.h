#ifndef FILBERTSPOKE_STREAM_START_H
#define FILBERTSPOKE_STREAM_START_H

#include <cstdint>

namespace filbertspoke {

/** \brief Decides which streams are past their start: they count as served, although they may still break.
 *
 * Load pattern: a request crashes each endpoint that begins to write the answer to it, after an event or a few, and is resumed at the next one
 * from there. Some fifty sound streams break with it, most of them far beyond their first events.
 *
 * A crash during the start of an attempt is evidence against the request, as one before its first event is. A stream that ends whole is served
 * however short it is.
 * \param events of one attempt; those of earlier attempts don't count, since a request that crashes endpoints gets further with each one */
bool isPastStart(std::uint32_t events);

}

#endif
