#ifndef FILBERTSPOKE_HTTP_TRANSPORT_H
#define FILBERTSPOKE_HTTP_TRANSPORT_H

#include "Transport.h"

namespace filbertspoke {

/** \brief Sends each request over a new connection. */
class HttpTransport final : public Transport {
public:
    HttpOutcome exchange(const HttpAddress&, const HttpRequest&) override;
    void waitBeforeRetry() override;
};

}

#endif
