#include "Sha256.h"

#include <array>
#include <system_error>

#include <openssl/evp.h>

namespace filbertspoke::internal {

std::string sha256(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::system_error(std::make_error_code(std::errc::not_enough_memory));
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned int index = 0; index < size; ++index) {
        text += digits[digest[index] >> 4];
        text += digits[digest[index] & 15];
    }
    return text;
}

}
