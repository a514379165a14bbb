#ifndef FILBERTSPOKE_REFERENCE_MODEL_H
#define FILBERTSPOKE_REFERENCE_MODEL_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

/** \brief The stand-in for a model: a hash chain in place of tensors.
 *
 * A token depends on the model, its version, every layer in order, and through the KV cache on
 * every token before it. A layer that is skipped, run twice or out of order changes the text.
 */
class ReferenceModel {
public:
    using Activation = std::uint64_t;

    ReferenceModel(ModelId model, std::string version);

    /** \returns the activation that enters layer 0 */
    Activation embed(std::string_view token, std::uint32_t position) const;

    /** \returns what layer's KV cache holds after a position, from what it held before it */
    Activation extendCache(std::uint32_t layer, Activation cached, Activation input) const;

    /** \returns the activation that leaves the layer
     * \param cached the layer's KV cache, the position included
     */
    Activation runLayer(std::uint32_t layer, Activation input, Activation cached) const;

    /** \returns the token that follows, as a word */
    std::string token(Activation output) const;

private:
    std::string name;
};

/** \returns the prompt's tokens: its words */
std::vector<std::string> tokenize(std::string_view prompt);

/** \returns the tokens that a pipeline which runs every layer once and in order generates
 *
 * \param layers how many layers the model has
 */
std::vector<std::string> referenceCompletion(
    const std::vector<std::string>& prompt, std::uint32_t count,
    const ModelId& model, const std::string& version, std::uint32_t layers);

}

#endif
