#ifndef FILBERTSPOKE_PLATFORM_CODEC_H
#define FILBERTSPOKE_PLATFORM_CODEC_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>
#include <filbertspoke/Router>

#include <string>

namespace filbertspoke::internal {

/** \returns the JSON body of an append request */
std::string encodeAppend(const AppendRecords&);

/** \returns the offset of the first appended record, or MalformedMessage */
Result<LogOffset> decodeAppendResponse(const std::string& body);

/** \returns the records and offsets in the response to a read, or MalformedMessage */
Result<RecordsRead> decodeRecords(const std::string& stream, const std::string& body);

/** \returns the host list, or MalformedMessage; entries that are malformed or of an unknown kind are skipped */
Result<HostsListed> decodeHosts(const std::string& body);

}

#endif
