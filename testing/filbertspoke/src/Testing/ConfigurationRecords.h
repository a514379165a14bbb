#ifndef FILBERTSPOKE_CONFIGURATION_RECORDS_H
#define FILBERTSPOKE_CONFIGURATION_RECORDS_H

#include <filbertspoke/Configuration>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace filbertspoke::testing {

/** \brief Answers of a team with one service and one account, both named after the team.
 *
 * \param furtherAccount a second account, which another team may have too
 */
inline std::string answersOf(const std::string& team, std::uint32_t share, const std::string& furtherAccount = {})
{
    return "organisation: Gearwell Systems\nteam: " + team + "\nweighsMore: throughput\nfailureDomains: [addis-bole]\n"
        + "services:\n    - name: " + team + "-app\n      answerWithinMs: 2000\n      calls:\n"
        + "          - {what: book parts, method: POST, path: /bookings, mayBeRepeated: no}\n"
        + "accounts:\n    - {name: " + team + "-bench, share: " + std::to_string(share) + "}\n"
        + (furtherAccount.empty() ? "" : "    - {name: " + furtherAccount + "}\n");
}

inline Approval approvalOf(const std::string& change, const std::string& answers)
{
    Approval approval;
    approval.change = change;
    approval.author = "hanna";
    approval.approver = "dawit";
    approval.answers = answers;
    return approval;
}

inline ConfigurationChange changeOf(const std::string& change, const std::string& answers, std::optional<LogOffset> base)
{
    return makeChange(std::get<Questionnaire>(parseQuestionnaire(answers)), approvalOf(change, answers), base);
}

inline LogRecord recordAt(LogOffset offset, const ConfigurationRecord& record)
{
    return { std::string(configurationStream), offset, configurationRecordJson(record) };
}

}

#endif
