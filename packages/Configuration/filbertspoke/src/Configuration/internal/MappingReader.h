#ifndef FILBERTSPOKE_INTERNAL_MAPPING_READER_H
#define FILBERTSPOKE_INTERNAL_MAPPING_READER_H

#include "../DocumentProblem.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace filbertspoke::internal {

/** \brief Reads the keys of one YAML mapping and notes every problem instead of stopping at the first.
 *
 * A read that fails returns the fallback, or a value of its type that is only there to go on with.
 */
class MappingReader {
public:
    /** \param path the mapping's own key path, empty for the root */
    MappingReader(YAML::Node node, std::string path, std::uint32_t line, std::vector<DocumentProblem>& problems);

    /** \returns whether the mapping has the key */
    bool has(const std::string& key);

    /** \brief Reads a text; a missing key is a problem when there is no fallback. */
    std::string text(const std::string& key, std::optional<std::string> fallback = std::nullopt);
    /** \brief Reads a name: lower-case letters, digits, '-', '.' and '_', at most 64 of them. */
    std::string identifier(const std::string& key);
    /** \brief Reads an IP number of version 4 or 6 in text. */
    std::string ipAddress(const std::string& key);
    /** \brief Reads a whole number in [minimum, maximum]. */
    std::uint64_t integer(const std::string& key, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback = std::nullopt);
    /** \brief Reads a number in [minimum, maximum]. */
    double number(const std::string& key, double minimum, double maximum, std::optional<double> fallback = std::nullopt);
    /** \brief Reads yes or no. */
    bool boolean(const std::string& key, std::optional<bool> fallback = std::nullopt);
    /** \brief Reads one of the words in \a choices. \returns its index */
    std::size_t choice(const std::string& key, const std::vector<std::string_view>& choices, std::optional<std::size_t> fallback = std::nullopt);

    /** \brief Opens the mapping below a key; one that is missing is noted once when \a required. */
    MappingReader section(const std::string& key, bool required);
    /** \brief Opens each mapping in the list below a key. */
    std::vector<MappingReader> sections(const std::string& key, bool required);
    /** \brief Reads a list of texts. */
    std::vector<std::string> texts(const std::string& key, bool required);

    /** \brief Notes every key that no call above has asked for. */
    void rejectUnknownKeys();

    /** \brief Notes a problem with a key of this mapping. */
    void note(const std::string& key, ProblemReason reason, std::string sentence);

private:
    YAML::Node find(const std::string& key, bool required);
    std::optional<std::string> scalar(const std::string& key, bool required, std::string_view expected);
    std::string pathOf(const std::string& key) const;
    std::uint32_t lineOf(const std::string& key) const;
    void rejectDuplicateKeys();

    YAML::Node node;
    std::string path;
    std::uint32_t line;
    std::vector<DocumentProblem>* problems;
    std::set<std::string> askedKeys;
    bool muted = false; ///< the mapping itself is missing, which is noted already
};

/** \brief Parses a YAML text whose root is a mapping. \returns no node when a problem was noted */
std::optional<YAML::Node> parseDocument(std::string_view yaml, std::vector<DocumentProblem>& problems);

/** \brief Puts problems in the order in which a reader of the document meets them. */
void sortProblems(std::vector<DocumentProblem>& problems);

}

#endif
