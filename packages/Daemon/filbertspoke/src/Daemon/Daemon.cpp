#include <filbertspoke/Daemon>

#include "internal/DaemonLoop.h"

namespace filbertspoke {

Daemon::Daemon(const Settings& settings)
    : loop(std::make_unique<internal::DaemonLoop>(settings))
{
}

Daemon::~Daemon() = default;

void Daemon::run()
{
    this->loop->run();
}

}
