#ifndef FILBERTSPOKE_FRAME_LENGTH_H
#define FILBERTSPOKE_FRAME_LENGTH_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace filbertspoke::internal {

/** \brief The length in front of a frame on a TCP connection: four bytes, the highest first. */
using FrameLengthBytes = std::array<unsigned char, 4>;

inline std::string frameLength(std::size_t bytes)
{
    std::string result;
    for (int shift = 24; shift >= 0; shift -= 8)
        result += static_cast<char>((bytes >> shift) & 0xff);
    return result;
}

inline std::size_t frameLength(const FrameLengthBytes& bytes)
{
    std::size_t result = 0;
    for (const unsigned char byte : bytes)
        result = result << 8 | byte;
    return result;
}

}

#endif
