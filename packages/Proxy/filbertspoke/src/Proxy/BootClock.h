#ifndef FILBERTSPOKE_BOOT_CLOCK_H
#define FILBERTSPOKE_BOOT_CLOCK_H

#include <filbertspoke/Core>

namespace filbertspoke {

/** \brief Reads the boot-time clock, which also advances while the host is suspended, so that deadlines and ages
 * remain correct after a resume.
 * \returns the time since the host booted */
TimePoint bootNow();

}

#endif
