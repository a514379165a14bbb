#ifndef FILBERTSPOKE_RESULT_H
#define FILBERTSPOKE_RESULT_H

#include "ErrorCode.h"

#include <boost/system/result.hpp>

namespace filbertspoke {

/** \brief A value, or the std::error_code of the failure. */
template <typename Value>
using Result = boost::system::result<Value, std::error_code>;

}

#endif
