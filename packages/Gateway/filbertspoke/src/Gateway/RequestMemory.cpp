#include <filbertspoke/Gateway>

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertspoke {

bool RequestMemory::replace(std::size_t held, std::size_t wanted)
{
    const std::size_t others = this->usedBytes - held;
    // The limit may have been lowered below what the others hold.
    const std::size_t available = others > this->limitBytes ? 0 : this->limitBytes - others;
    if (wanted > held && wanted > available && others > 0)
        return false;
    this->usedBytes = others + wanted;
    return true;
}

RequestMemory::Reservation::Reservation(Reservation&& other) noexcept
    : memory(other.memory)
    , heldBytes(std::exchange(other.heldBytes, 0))
{
}

RequestMemory::Reservation& RequestMemory::Reservation::operator=(Reservation&& other) noexcept
{
    if (this != &other) {
        this->release();
        this->memory = other.memory;
        this->heldBytes = std::exchange(other.heldBytes, 0);
    }
    return *this;
}

bool RequestMemory::Reservation::resize(std::size_t bytes)
{
    if (!this->memory->replace(this->heldBytes, bytes))
        return false;
    this->heldBytes = bytes;
    return true;
}

bool RequestMemory::Reservation::grow(std::size_t bytes)
{
    return bytes <= std::numeric_limits<std::size_t>::max() - this->heldBytes && this->resize(this->heldBytes + bytes);
}

void RequestMemory::Reservation::release()
{
    this->resize(0);
}

std::size_t grownCapacity(std::size_t capacity, std::size_t size)
{
    return size <= capacity ? capacity : std::max(size, 2 * capacity);
}

}
