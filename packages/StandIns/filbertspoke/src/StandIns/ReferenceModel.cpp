#include "ReferenceModel.h"

#include <openssl/evp.h>

#include <array>
#include <cstring>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace filbertspoke {

namespace {

constexpr std::size_t syllablesPerToken = 3;
constexpr std::string_view consonants = "bdfgklmnprstvz";
constexpr std::string_view vowels = "aeiou";

std::uint64_t digest(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    if (EVP_Digest(data.data(), data.size(), bytes.data(), nullptr, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    std::uint64_t number = 0;
    std::memcpy(&number, bytes.data(), sizeof(number));
    return number;
}

void append(std::string& data, std::uint64_t number)
{
    data.append(reinterpret_cast<const char*>(&number), sizeof(number));
}

}

ReferenceModel::ReferenceModel(ModelId model, std::string version)
    : name(model.str() + '\0' + std::move(version) + '\0')
{
}

ReferenceModel::Activation ReferenceModel::embed(std::string_view token, std::uint32_t position) const
{
    std::string data = this->name + "embed";
    append(data, position);
    return digest(data.append(token));
}

ReferenceModel::Activation ReferenceModel::extendCache(std::uint32_t layer, Activation cached, Activation input) const
{
    std::string data = this->name + "cache";
    append(data, layer);
    append(data, cached);
    append(data, input);
    return digest(data);
}

ReferenceModel::Activation ReferenceModel::runLayer(std::uint32_t layer, Activation input, Activation cached) const
{
    std::string data = this->name + "layer";
    append(data, layer);
    append(data, input);
    append(data, cached);
    return digest(data);
}

std::string ReferenceModel::token(Activation output) const
{
    std::string word;
    for (std::size_t syllable = 0; syllable < syllablesPerToken; ++syllable) {
        word += consonants[output % consonants.size()];
        output /= consonants.size();
        word += vowels[output % vowels.size()];
        output /= vowels.size();
    }
    return word;
}

std::vector<std::string> tokenize(std::string_view prompt)
{
    std::istringstream words { std::string(prompt) };
    std::vector<std::string> tokens;
    for (std::string word; words >> word;)
        tokens.push_back(word);
    return tokens;
}

std::vector<std::string> referenceCompletion(
    const std::vector<std::string>& prompt, std::uint32_t count,
    const ModelId& modelId, const std::string& version, std::uint32_t layers)
{
    const ReferenceModel model(modelId, version);
    std::vector<ReferenceModel::Activation> cache(layers, 0);
    std::vector<std::string> sequence = prompt;
    std::string next;
    for (std::uint32_t position = 0; position < prompt.size() + count; ++position) {
        if (position >= prompt.size())
            sequence.push_back(next);
        ReferenceModel::Activation activation = model.embed(sequence[position], position);
        for (std::uint32_t layer = 0; layer < layers; ++layer) {
            cache[layer] = model.extendCache(layer, cache[layer], activation);
            activation = model.runLayer(layer, activation, cache[layer]);
        }
        next = model.token(activation);
    }
    return { sequence.begin() + static_cast<std::ptrdiff_t>(prompt.size()), sequence.end() };
}

}
