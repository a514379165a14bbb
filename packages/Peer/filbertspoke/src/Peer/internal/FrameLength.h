#ifndef FILBERTSPOKE_FRAME_LENGTH_H
#define FILBERTSPOKE_FRAME_LENGTH_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace filbertspoke::internal {

/** \brief Length prefix of a frame on a TCP connection: four bytes in network byte order. */
using FrameLengthBytes = std::array<unsigned char, 4>;

/** \returns the length prefix for a frame of this size */
inline std::string frameLength(std::size_t bytes)
{
    std::string result;
    for (int shift = 24; shift >= 0; shift -= 8)
        result += static_cast<char>((bytes >> shift) & 0xff);
    return result;
}

/** \returns the frame size in bytes that a length prefix states */
inline std::size_t frameLength(const FrameLengthBytes& bytes)
{
    std::size_t result = 0;
    for (const unsigned char byte : bytes)
        result = result << 8 | byte;
    return result;
}

}

#endif
