#ifndef FILBERTSPOKE_RECORDER_H
#define FILBERTSPOKE_RECORDER_H

#include <filbertspoke/Core>

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertspoke::bench {

/** \brief What callers saw of one request. */
struct RequestRecord {
    AccountId account;
    TimePoint arrival;
    std::vector<TimePoint> tokens;
    bool complete = false;
    bool wrong = false; ///< a token came twice, or one was left out
};

/** \brief Writes down what callers see. */
class Recorder {
public:
    void arrived(const RequestId& request, const AccountId& account, TimePoint now)
    {
        this->requestsById[request] = RequestRecord { account, now, {}, false, false };
    }

    void token(const RequestId& request, std::uint32_t index, TimePoint now)
    {
        RequestRecord& record = this->requestsById.at(request);
        record.wrong = record.wrong || index != record.tokens.size();
        record.tokens.push_back(now);
    }

    void completed(const RequestId& request) { this->requestsById.at(request).complete = true; }

    void refused(ErrorCode code) { ++this->refusalsByCode[std::string(name(code))]; }

    /** \brief Notes the requests whose stage was lost. */
    void lost(const std::set<RequestId>& requests) { this->lostRequests.insert(requests.begin(), requests.end()); }

    const std::unordered_map<RequestId, RequestRecord>& requests() const { return this->requestsById; }
    const std::map<std::string, std::uint64_t>& refusals() const { return this->refusalsByCode; }
    const std::set<RequestId>& lostStages() const { return this->lostRequests; }

private:
    std::unordered_map<RequestId, RequestRecord> requestsById;
    std::map<std::string, std::uint64_t> refusalsByCode;
    std::set<RequestId> lostRequests;
};

}

#endif
