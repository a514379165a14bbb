#ifndef FILBERTSPOKE_CONFIGURATION_JSON_H
#define FILBERTSPOKE_CONFIGURATION_JSON_H

#include "Configuration.h"

#include <filbertspoke/Core>

#include <string>
#include <string_view>

namespace filbertspoke {

/** \returns the canonical bytes of a configuration: equal configurations give equal bytes */
std::string configurationJson(const Configuration&);

/** \brief Reads what configurationJson() wrote. \returns MalformedRecord for anything else */
Result<Configuration> parseConfiguration(std::string_view json);

/** \returns the SHA-256 digest of the canonical bytes as 64 lower-case hexadecimal digits */
std::string configurationHash(const Configuration&);

}

#endif
