#ifndef FILBERTSPOKE_CONFIGURATION_JSON_H
#define FILBERTSPOKE_CONFIGURATION_JSON_H

#include "Configuration.h"

#include <filbertspoke/Core>

#include <string>
#include <string_view>

namespace filbertspoke {

/** \returns the canonical JSON encoding of a configuration: equal configurations have equal encodings */
std::string configurationJson(const Configuration&);

/** \brief Parses the output of configurationJson(). \returns the configuration, or MalformedRecord when \a json has another form */
Result<Configuration> parseConfiguration(std::string_view json);

/** \returns the SHA-256 digest of the canonical JSON encoding as 64 lower-case hexadecimal digits */
std::string configurationHash(const Configuration&);

}

#endif
