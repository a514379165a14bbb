#ifndef FILBERTSPOKE_STORE_CODEC_H
#define FILBERTSPOKE_STORE_CODEC_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>
#include <filbertspoke/Http>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief The collections of the platform's store that daemons use. */
enum class StoreCollection {
    Configuration,
    Endpoints,
    Quarantine, ///< traits of requests that crash endpoints; written by the daemons, see QuarantineRecord
};

/** \brief A record of a key; without a value it is a tombstone, which deletes the key. */
struct StoreRecord {
    std::string key;
    std::optional<std::string> value;

    auto operator<=>(const StoreRecord&) const = default;
};

/** \brief One page of records of a collection. */
struct StorePage {
    std::vector<StoreRecord> records;
    LogOffset next = 0; ///< offset from which to read the following changes
    bool more = false; ///< whether further pages follow

    auto operator<=>(const StorePage&) const = default;
};

/** \brief Encodes requests to the platform's store and decodes its responses. */
class StoreCodec {
public:
    virtual ~StoreCodec() = default;

    /** \returns the era of the store that any of its responses names, or nothing when it names none */
    virtual std::optional<StoreEra> decodeEra(const HttpResponse&) const = 0;

    /** \returns the request for the newest record of each key, in pages; \a after is the last key of the previous page */
    virtual HttpRequest encodeSnapshot(StoreCollection, const std::optional<std::string>& after) const = 0;
    /** \returns the page, or an error when the response can't be read */
    virtual Result<StorePage> decodeSnapshot(const HttpResponse&) const = 0;

    /** \returns the request for the records from offset \a from on; the store holds it for up to \a wait when there are none */
    virtual HttpRequest encodeFollow(StoreCollection, LogOffset from, Duration wait) const = 0;
    /** \returns the records, LogTruncated when the store no longer keeps them, or another error */
    virtual Result<StorePage> decodeFollow(const HttpResponse&, LogOffset from) const = 0;

    /** \returns the request that writes the records; the store answers it with status 200 once they are stored */
    virtual HttpRequest encodeWrite(StoreCollection, const std::vector<StoreRecord>&) const = 0;

    /** \returns the configuration, nothing for a record that contains none, or MalformedRecord when it can't be read */
    virtual Result<std::optional<ForwardingTable>> decodeConfiguration(const StoreRecord&) const = 0;
    /** \returns the endpoint, or MalformedRecord when the record can't be read */
    virtual Result<RegisteredEndpoint> decodeEndpoint(const StoreRecord&) const = 0;

    /** \returns the request that creates the log topic to which the placement lease is bound; it has no effect when the topic exists */
    virtual HttpRequest encodeLeaseSetup() const = 0;
    /** \returns the request that acquires or renews the placement lease
     * \param member unique for each run of a daemon
     * \param lifetime of the lease without renewal
     * \param generation last one that the daemon knows */
    virtual HttpRequest encodeLeaseClaim(const std::string& member, Duration lifetime, std::uint64_t generation) const = 0;
    /** \returns the state of the lease, or an error when the response can't be read */
    virtual Result<PlacementLease> decodeLease(const HttpResponse&) const = 0;
};

}

#endif
