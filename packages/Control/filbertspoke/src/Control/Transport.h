#ifndef FILBERTSPOKE_TRANSPORT_H
#define FILBERTSPOKE_TRANSPORT_H

#include <filbertspoke/Http>

namespace filbertspoke {

/** \brief Sends HTTP requests. */
class Transport {
public:
    virtual ~Transport() = default;

    /** \brief Sends a request and blocks until the response or a failure.
     * \returns the response, or the failure */
    virtual HttpOutcome exchange(const HttpAddress&, const HttpRequest&) = 0;

    /** \brief Blocks for the delay between two attempts. */
    virtual void waitBeforeRetry() = 0;
};

}

#endif
