#ifndef FILBERTSPOKE_PLATFORM_CODEC_H
#define FILBERTSPOKE_PLATFORM_CODEC_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>
#include <filbertspoke/Router>

#include <string>

namespace filbertspoke::internal {

/** \returns the body of an append */
std::string encodeAppend(const AppendRecords&);

/** \returns the offset of the first record, from the answer to an append */
Result<LogOffset> decodeAppended(const std::string& body);

/** \returns the records of a read, from the answer's body */
Result<RecordsRead> decodeRecords(const std::string& stream, const std::string& body);

/** \returns the host list; lines of an unknown kind or form are left out */
Result<HostsListed> decodeHosts(const std::string& body);

}

#endif
