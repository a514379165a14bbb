#ifndef FILBERTSPOKE_INTERNAL_SHA256_H
#define FILBERTSPOKE_INTERNAL_SHA256_H

#include <string>
#include <string_view>

namespace filbertspoke::internal {

/** \returns the SHA-256 digest of \a bytes as 64 lower-case hexadecimal digits */
std::string sha256(std::string_view bytes);

}

#endif
