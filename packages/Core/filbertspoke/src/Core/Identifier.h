#ifndef FILBERTSPOKE_IDENTIFIER_H
#define FILBERTSPOKE_IDENTIFIER_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace filbertspoke {

/** \brief A strongly typed identifier; identifiers of different kinds don't convert into each other.
 *
 * \tparam Kind an empty tag type that tells the kinds apart
 */
template <typename Kind>
class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : text(std::move(text))
    {
    }

    /** \returns the identifier as written in settings, logs and messages */
    const std::string& str() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    auto operator<=>(const Identifier&) const = default;

private:
    std::string text;
};

template <typename Kind>
std::ostream& operator<<(std::ostream& stream, const Identifier<Kind>& identifier)
{
    return stream << identifier.str();
}

namespace internal {
struct RequestKind;
struct AccountKind;
struct EndpointKind;
struct HostKind;
struct DaemonKind;
struct ModelKind;
struct ServiceKind;
struct FailureDomainKind;
struct AcceleratorKind;
struct PromptPartKind;
struct RequestTraitKind;
}

using RequestId = Identifier<internal::RequestKind>;
using AccountId = Identifier<internal::AccountKind>; ///< a client account
using EndpointId = Identifier<internal::EndpointKind>;
using HostId = Identifier<internal::HostKind>;
using DaemonId = Identifier<internal::DaemonKind>;
using ModelId = Identifier<internal::ModelKind>;
using ServiceId = Identifier<internal::ServiceKind>;
using FailureDomainId = Identifier<internal::FailureDomainKind>;
using AcceleratorId = Identifier<internal::AcceleratorKind>; ///< a kind of accelerator
using PromptPartId = Identifier<internal::PromptPartKind>; ///< a part of a prompt that several requests may share
using RequestTraitId = Identifier<internal::RequestTraitKind>; ///< a property of requests that may crash endpoints: a part of their prompt, or their fingerprint

}

template <typename Kind>
struct std::hash<filbertspoke::Identifier<Kind>> {
    std::size_t operator()(const filbertspoke::Identifier<Kind>& identifier) const noexcept
    {
        return std::hash<std::string> {}(identifier.str());
    }
};

#endif
