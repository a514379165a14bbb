#ifndef FILBERTSPOKE_REQUEST_DIGEST_H
#define FILBERTSPOKE_REQUEST_DIGEST_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief Computes the digest by which requests for the same action are recognised.
 *
 * Each part is hashed with its length, so that different divisions of the same text into parts have
 * different digests.
 *
 * \param parts account, service, method, path, content type and body
 * \returns the SHA-256 hash in lower-case hexadecimal digits
 */
std::string requestDigest(std::initializer_list<std::string_view> parts);

}

#endif
