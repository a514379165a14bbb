#ifndef FILBERTSPOKE_STREAM_REGISTRY_H
#define FILBERTSPOKE_STREAM_REGISTRY_H

#include <filbertspoke/Core>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief Registry of the streams in progress with the engines of their chains, used to notify them of suspected engines. */
class StreamRegistry {
public:
    /** \brief Called with the suspected engine and the evidence, for the log; must not call add() or remove(). */
    using Listener = std::function<void(const EndpointId&, const std::string& evidence)>;

    /** \brief Adds a stream that passes through the engines.
     * \returns the id of the stream for remove() */
    std::uint64_t add(std::vector<EndpointId>, Listener);
    /** \brief Removes the stream with the id that add() returned. */
    void remove(std::uint64_t);
    /** \brief Calls the listeners of all streams that pass through the engine, which seems to have failed.
     * \param evidence for the log */
    void notifySuspected(const EndpointId&, const std::string& evidence);

private:
    /** \brief A stream in progress. */
    struct Entry {
        std::vector<EndpointId> engines;
        Listener listener;
    };

    std::map<std::uint64_t, Entry> entries;
    std::uint64_t lastId = 0;
};

}

#endif
