#ifndef FILBERTSPOKE_BREAKER_H
#define FILBERTSPOKE_BREAKER_H

#include <filbertspoke/Core>

#include <memory>

namespace filbertspoke {

/** \brief Keeps new work from an endpoint that fails, and probes it from time to time.
 *
 * Closed: work flows. Open, after a few failures in a row: none until a delay is over, which doubles
 * with every failed probe. Half-open: one probe is on its way.
 */
class CircuitBreaker {
public:
    CircuitBreaker();
    ~CircuitBreaker();
    CircuitBreaker(CircuitBreaker&&) noexcept;
    CircuitBreaker& operator=(CircuitBreaker&&) noexcept;

    /** \returns whether new work may be sent */
    bool allows(TimePoint) const;
    /** \returns whether the breaker lets everything pass */
    bool isClosed() const;

    void started(TimePoint);
    void succeeded(TimePoint);
    void failed(TimePoint);
    /** \brief Takes note that work was given up before its answer, which tells nothing of the endpoint. */
    void cancelled(TimePoint);

private:
    class Machine;

    std::unique_ptr<Machine> machine; ///< null until the first failure, so that healthy endpoints cost little
};

}

#endif
