#ifndef FILBERTSPOKE_SOAK_RUN_H
#define FILBERTSPOKE_SOAK_RUN_H

#include "SoakCaller.h"
#include "SoakRecord.h"
#include "SoakSite.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace filbertspoke::soak {

/** \brief What a run did and found. */
struct SoakOutcome {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::vector<std::string> faults; ///< injected, in order
    std::vector<std::string> violations; ///< of promises; empty for a run that kept all
    std::vector<std::string> log; ///< lines of the gateways on the first violation's request

    bool operator==(const SoakOutcome&) const = default;
};

/** \brief Callers send requests to a site while faults come at random, alone and overlapping; then all faults end, and
 * the site has to serve everything again. */
class SoakRun {
public:
    /** \param seed decides which faults come when and where */
    SoakRun(std::uint64_t seed, std::chrono::seconds length);

    SoakOutcome run();

private:
    using Task = boost::asio::awaitable<void>;

    Task inject();
    Task watchProcesses();
    Task finish();
    /** \brief Counts a fault while it lasts. */
    Task last(std::string name, Task);
    void begin();

    /** \returns the line in which an ended program said why, or nothing */
    static std::string lastWords(Process&);
    Task hangUp(SoakGateway&);
    Task pauseGateway(SoakGateway&, std::chrono::milliseconds);
    Task killGateway(SoakGateway&, std::chrono::milliseconds);
    Task stopGateway(SoakGateway&);
    Task breakLink(RelayStandIn&, std::string mode, std::chrono::milliseconds);
    Task loseStore(std::chrono::milliseconds);
    Task troubleEndpoints(std::chrono::milliseconds);
    Task changeConfigurations(int count);
    Task sleep(std::chrono::milliseconds);
    boost::asio::awaitable<bool> servesEverything(SoakCaller&);
    Task checkRecovery();
    Task checkDraining();

    int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(this->random); }

    boost::asio::io_context context;
    std::mt19937_64 random;
    std::chrono::seconds length;
    SoakRecord record;
    SoakSite site;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    std::vector<std::string> faults;
    int faultsInProgress = 0;
    bool callersStop = false;
    bool over = false;
};

}

#endif
