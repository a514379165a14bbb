#ifndef FILBERTSPOKE_TRANSPORT_H
#define FILBERTSPOKE_TRANSPORT_H

#include <filbertspoke/Http>

namespace filbertspoke {

/** \brief Exchanges one HTTP request for its response. */
class Transport {
public:
    virtual ~Transport() = default;

    /** \brief Waits for the outcome. */
    virtual HttpOutcome exchange(const HttpAddress&, const HttpRequest&) = 0;

    /** \brief Lets some time pass before the next try. */
    virtual void pause() = 0;
};

}

#endif
