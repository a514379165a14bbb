#ifndef FILBERTSPOKE_REQUEST_MEMORY_H
#define FILBERTSPOKE_REQUEST_MEMORY_H

#include <cstddef>

namespace filbertspoke {

/** \brief Memory limit that all requests share which a gateway reads or has in progress.
 *
 * Addresses callers that begin many large requests at the same time, or begin them and never finish them: each request is within the limits for a
 * single one, but together they would exhaust the host's memory. A request that holds memory alone may exceed the limit, so that a request that is
 * larger than the limit is served when no others are in progress; the limits for single requests bound it. */
class RequestMemory {
public:
    class Reservation;

    /** \param limit in bytes */
    explicit RequestMemory(std::size_t limit)
        : limitBytes(limit)
    {
    }

    RequestMemory(const RequestMemory&) = delete;
    RequestMemory& operator=(const RequestMemory&) = delete;

    /** \brief Replaces the limit. Requests that hold more together keep what they hold.
     * \param limit in bytes */
    void setLimit(std::size_t limit) { this->limitBytes = limit; }
    /** \returns the limit in bytes */
    std::size_t limit() const { return this->limitBytes; }
    /** \returns the bytes that all reservations hold together */
    std::size_t used() const { return this->usedBytes; }

private:
    bool replace(std::size_t held, std::size_t wanted);

    std::size_t limitBytes;
    std::size_t usedBytes = 0;
};

/** \brief The share of one request, which is given back when the reservation is destroyed. The RequestMemory must outlive it. */
class RequestMemory::Reservation {
public:
    /** \brief Holds nothing at first. */
    explicit Reservation(RequestMemory& memory)
        : memory(&memory)
    {
    }

    ~Reservation() { this->release(); }
    Reservation(Reservation&&) noexcept;
    Reservation& operator=(Reservation&&) noexcept;
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /** \brief Changes the share to \a bytes; a smaller one always fits.
     * \returns whether it fits; otherwise the share stays as it is */
    bool resize(std::size_t bytes);
    /** \brief Adds \a bytes to the share.
     * \returns whether they fit; otherwise the share stays as it is */
    bool grow(std::size_t bytes);
    /** \brief Gives everything back. */
    void release();
    /** \returns the bytes that the reservation holds */
    std::size_t held() const { return this->heldBytes; }

private:
    RequestMemory* memory;
    std::size_t heldBytes = 0;
};

/** \returns the most bytes that a string allocates which grows from \a capacity to hold \a size bytes. The standard libraries at least double
 * the capacity of a string that grows, so that its size tells too little. */
std::size_t grownCapacity(std::size_t capacity, std::size_t size);

}

#endif
