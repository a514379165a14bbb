#include <filbertspoke/Configuration>

#include <algorithm>

namespace filbertspoke {

namespace internal {

template <typename Entry, typename Id>
const Entry* findById(const std::vector<Entry>& entries, const Id& id)
{
    auto entry = std::find_if(entries.begin(), entries.end(), [&](const Entry& candidate) { return candidate.id == id; });
    return entry == entries.end() ? nullptr : &*entry;
}

}

const ModelConfiguration* Configuration::findModel(const ModelId& id) const
{
    return internal::findById(this->modelList, id);
}

const ServiceConfiguration* Configuration::findService(const ServiceId& id) const
{
    return internal::findById(this->serviceList, id);
}

const AccountConfiguration* Configuration::findAccount(const AccountId& id) const
{
    return internal::findById(this->accountList, id);
}

}
