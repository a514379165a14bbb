#ifndef FILBERTSPOKE_QUARANTINE_RECORD_H
#define FILBERTSPOKE_QUARANTINE_RECORD_H

#include "StoreCodec.h"

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>

#include <chrono>

namespace filbertspoke {

/** \brief Encodes a quarantined trait as a record of the store. Its key is the trait; its value holds the crashes in JSON, with Unix times. */
StoreRecord encodeQuarantineRecord(const RequestTraitEvidence&, std::chrono::system_clock::time_point now);

/** \returns the evidence with ages at \a now, or MalformedRecord. Crashes that seem to lie in the future, because clocks differ, have the age 0 */
Result<RequestTraitEvidence> decodeQuarantineRecord(const StoreRecord&, std::chrono::system_clock::time_point now);

}

#endif
