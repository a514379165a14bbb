#ifndef FILBERTSPOKE_CIRCUIT_BREAKER_H
#define FILBERTSPOKE_CIRCUIT_BREAKER_H

#include <filbertspoke/Core>

#include <memory>

namespace filbertspoke {

/** \brief Circuit breaker of one endpoint.
 *
 * Closed: work is allowed. Three consecutive failures open the breaker.
 * Open: no work is allowed for 500 ms; each failed probe doubles this time, up to 30 s. Work started after
 * it is the probe and makes the breaker half-open.
 * Half-open: no further work is allowed until the probe ends. Success closes the breaker, failure opens it
 * again, and cancellation allows another probe.
 */
class CircuitBreaker {
public:
    CircuitBreaker();
    ~CircuitBreaker();
    CircuitBreaker(CircuitBreaker&&) noexcept;
    CircuitBreaker& operator=(CircuitBreaker&&) noexcept;

    /** \returns whether new work may be sent */
    bool allows(TimePoint) const;
    /** \returns whether the breaker is in state closed */
    bool isClosed() const;

    /** \brief Notes that work was sent; it is the probe when the open time is over. */
    void started(TimePoint);
    /** \brief Notes a successful answer, which in any state closes the breaker and resets its failure count. */
    void succeeded(TimePoint);
    /** \brief Notes a failure, which opens the breaker when it is the third in a row or a failed probe. */
    void failed(TimePoint);
    /** \brief Notes that work was cancelled before its answer, which says nothing about the endpoint. */
    void cancelled(TimePoint);

private:
    class Machine;

    std::unique_ptr<Machine> machine; ///< null until the first failure, to save memory for healthy endpoints
};

}

#endif
