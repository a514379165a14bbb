#ifndef FILBERTSPOKE_STREAM_WATCH_H
#define FILBERTSPOKE_STREAM_WATCH_H

#include <filbertspoke/Core>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace filbertspoke {

/** \brief The streams in progress by the engines that they pass, so that the news of a lost engine reaches them all. */
class StreamWatch {
public:
    using Listener = std::function<void(const EndpointId&)>;

    /** \returns a name for remove() */
    std::uint64_t add(std::vector<EndpointId>, Listener);
    void remove(std::uint64_t);
    /** \brief Tells the streams that pass the engine that it seems lost. */
    void suspect(const EndpointId&);

private:
    struct Entry {
        std::vector<EndpointId> engines;
        Listener listener;
    };

    std::map<std::uint64_t, Entry> entries;
    std::uint64_t added = 0;
};

}

#endif
