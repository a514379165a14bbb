#ifndef FILBERTSPOKE_BOOT_CLOCK_H
#define FILBERTSPOKE_BOOT_CLOCK_H

#include <filbertspoke/Core>

namespace filbertspoke {

/** \returns the time since the host's start. It also counts the time for which the host was suspended, so that
 * deadlines and ages stay true after a resume. */
TimePoint bootNow();

}

#endif
