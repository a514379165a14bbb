#ifndef FILBERTSPOKE_BOOT_CLOCK_H
#define FILBERTSPOKE_BOOT_CLOCK_H

#include <filbertspoke/Core>

namespace filbertspoke {

/** \brief Reads the boot-time clock, which also advances while the host is suspended, so that deadlines and ages
 * remain correct after a resume.
 * \returns the time since the host booted */
TimePoint bootNow();

/** \brief Tells the silence of others from a daemon that was itself held up, as by a lack of processor time: what has arrived meanwhile is not read yet.
 * \param startedAt when an operation began
 * \param limit after which it ends at the latest
 * \returns whether it has ended so late that its outcome tells nothing of the other side */
bool wasHeldUp(TimePoint startedAt, Duration limit);

}

#endif
