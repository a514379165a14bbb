#ifndef FILBERTSPOKE_REQUEST_DIGEST_H
#define FILBERTSPOKE_REQUEST_DIGEST_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief Digests everything that makes two requests the same action.
 *
 * Each part's length goes in as well, so that text can't move from one part to the next.
 *
 * \param parts account, service, method, path, content type and body
 * \returns the SHA-256 in lower-case hexadecimal digits
 */
std::string requestDigest(std::initializer_list<std::string_view> parts);

}

#endif
