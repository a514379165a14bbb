#include <filbertspoke/Pipeline>

#include <sstream>

namespace filbertspoke {

std::vector<std::string> splitTokens(const std::string& text)
{
    std::istringstream stream(text);
    std::vector<std::string> tokens;
    std::string token;
    while (stream >> token)
        tokens.push_back(token);
    return tokens;
}

}
