#ifndef FILBERTSPOKE_HTTP_TRANSPORT_H
#define FILBERTSPOKE_HTTP_TRANSPORT_H

#include "Transport.h"

namespace filbertspoke {

/** \brief Exchanges requests over a connection of their own. */
class HttpTransport final : public Transport {
public:
    HttpOutcome exchange(const HttpAddress&, const HttpRequest&) override;
    void pause() override;
};

}

#endif
