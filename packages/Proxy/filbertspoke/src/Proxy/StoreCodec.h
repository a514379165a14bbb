#ifndef FILBERTSPOKE_STORE_WIRE_H
#define FILBERTSPOKE_STORE_WIRE_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>
#include <filbertspoke/Http>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief The collections of the platform's store that a daemon follows. */
enum class StoreCollection {
    Configuration,
    Endpoints,
};

/** \brief A key's record; without a value the key was dropped. */
struct StoreRecord {
    std::string key;
    std::optional<std::string> value;

    auto operator<=>(const StoreRecord&) const = default;
};

/** \brief Records of a collection, with the offset at which to go on. */
struct StorePage {
    std::vector<StoreRecord> records;
    LogOffset next = 0;
    bool more = false; ///< the page is not the last one

    auto operator<=>(const StorePage&) const = default;
};

/** \brief What a daemon holds of the duty to place layers. */
struct PlacementLease {
    std::uint64_t generation = 0; ///< grows with every change of members; a fencing token
    bool held = false;

    auto operator<=>(const PlacementLease&) const = default;
};

/** \brief Translates what a daemon asks the platform's store. */
class StoreCodec {
public:
    virtual ~StoreCodec() = default;

    /** \brief Asks for the newest record of each key, behind the key \a after. */
    virtual HttpRequest encodeSnapshot(StoreCollection, const std::optional<std::string>& after) const = 0;
    virtual Result<StorePage> decodeSnapshot(const HttpResponse&) const = 0;

    /** \brief Asks for records from an offset on, and waits so long for the first. */
    virtual HttpRequest encodeFollow(StoreCollection, LogOffset from, Duration wait) const = 0;
    /** \returns the records, LogTruncated when they are no longer kept, or another failure */
    virtual Result<StorePage> decodeFollow(const HttpResponse&, LogOffset from) const = 0;

    /** \returns the configuration, or nothing for a record that holds none; MalformedRecord when it can't be read */
    virtual Result<std::optional<ForwardingTable>> decodeConfiguration(const StoreRecord&) const = 0;
    /** \returns the endpoint, or MalformedRecord */
    virtual Result<RegisteredEndpoint> decodeEndpoint(const StoreRecord&) const = 0;

    /** \brief Creates what the duty hangs on, when it isn't there. */
    virtual HttpRequest encodeLeaseSetup() const = 0;
    /** \brief Asks for the duty, or for more time with it. */
    virtual HttpRequest encodeLeaseClaim(const std::string& member, Duration lifetime, std::uint64_t generation) const = 0;
    virtual Result<PlacementLease> decodeLease(const HttpResponse&) const = 0;
};

}

#endif
