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

/** \brief Reads the keys of one YAML mapping and collects all problems instead of stopping at the first.
 *
 * For a key that is missing, a read returns the fallback or a placeholder value of its type. For an invalid value it
 * returns a placeholder or the value as written, and a problem is recorded, so the caller must not use the values once
 * there are problems.
 */
class MappingReader {
public:
    /** \param path key path of the mapping, empty for the root
     * \param line line number of the mapping, used for problems with keys that it lacks
     * \param problems receives the problems; must outlive the reader */
    MappingReader(YAML::Node node, std::string path, std::uint32_t line, std::vector<DocumentProblem>& problems);

    /** \returns whether the mapping has the key */
    bool has(const std::string& key);

    /** \brief Reads a string; a missing key is a problem when there is no fallback. */
    std::string text(const std::string& key, std::optional<std::string> fallback = std::nullopt);
    /** \brief Reads a name of 1 to 64 characters: lower-case letters, digits, '-', '.' and '_'. */
    std::string identifier(const std::string& key);
    /** \brief Reads an IPv4 or IPv6 address in text form. */
    std::string ipAddress(const std::string& key);
    /** \brief Reads an integer in [minimum, maximum]. */
    std::uint64_t integer(const std::string& key, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback = std::nullopt);
    /** \brief Reads a finite number in [minimum, maximum]. */
    double number(const std::string& key, double minimum, double maximum, std::optional<double> fallback = std::nullopt);
    /** \brief Reads yes, no, true or false. */
    bool boolean(const std::string& key, std::optional<bool> fallback = std::nullopt);
    /** \brief Reads one of the words in \a choices. \returns its index */
    std::size_t choice(const std::string& key, const std::vector<std::string_view>& choices, std::optional<std::size_t> fallback = std::nullopt);

    /** \brief Opens the mapping below a key; a missing mapping is one problem when it is \a required. */
    MappingReader section(const std::string& key, bool required);
    /** \brief Opens each mapping in the list below a key; a missing list is a problem when it is \a required. */
    std::vector<MappingReader> sections(const std::string& key, bool required);
    /** \brief Reads a list of strings; a missing list is a problem when it is \a required. */
    std::vector<std::string> texts(const std::string& key, bool required);

    /** \brief Records a problem for each key that no earlier call has requested. */
    void reportUnknownKeys();

    /** \brief Records a problem with a key of this mapping. */
    void addProblem(const std::string& key, ProblemReason reason, std::string sentence);

private:
    YAML::Node find(const std::string& key, bool required);
    std::optional<std::string> scalar(const std::string& key, bool required, std::string_view expected);
    std::string pathOf(const std::string& key) const;
    std::uint32_t lineOf(const std::string& key) const;
    void reportDuplicateKeys();

    YAML::Node node;
    std::string path;
    std::uint32_t line;
    std::vector<DocumentProblem>* problems;
    std::set<std::string> requestedKeys;
    bool unusable = false; ///< the mapping is missing or has the wrong type, so its keys are not checked
};

/** \brief Parses a YAML text. \returns the root node, or none after recording a problem when the text is not valid YAML */
std::optional<YAML::Node> parseDocument(std::string_view yaml, std::vector<DocumentProblem>& problems);

/** \brief Sorts problems by line; those of one line keep their order. */
void sortProblems(std::vector<DocumentProblem>& problems);

}

#endif
