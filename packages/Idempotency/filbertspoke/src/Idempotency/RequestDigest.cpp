#include <filbertspoke/Idempotency>

#include <openssl/evp.h>

#include <array>
#include <memory>

namespace filbertspoke {

std::string requestDigest(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        const std::string length = std::to_string(part.size()) + ':';
        EVP_DigestUpdate(context.get(), length.data(), length.size());
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    unsigned size = 0;
    EVP_DigestFinal_ex(context.get(), bytes.data(), &size);

    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * size);
    for (unsigned i = 0; i < size; ++i) {
        text += digits[bytes[i] >> 4];
        text += digits[bytes[i] & 15];
    }
    return text;
}

}
