#include "LedgerEvent.h"

#include <cstddef>
#include <vector>

namespace filbertspoke::testing {

std::ostream& operator<<(std::ostream& stream, const LedgerEvent& event)
{
    return stream << static_cast<int>(event.kind) << '/' << event.target << '/' << event.parameter;
}

rc::Gen<LedgerEvent> anyLedgerEvent()
{
    static const std::vector<LedgerEventKind> kinds = [] {
        std::vector<LedgerEventKind> all(static_cast<std::size_t>(LedgerEventKind::Count));
        for (std::size_t kind = 0; kind < all.size(); ++kind)
            all[kind] = static_cast<LedgerEventKind>(kind);
        for (LedgerEventKind frequent : { LedgerEventKind::SendRequest, LedgerEventKind::AdvanceTime, LedgerEventKind::LogResponds, LedgerEventKind::LogResponds, LedgerEventKind::LogResponds, LedgerEventKind::ServiceRuns })
            all.insert(all.end(), 4, frequent);
        return all;
    }();
    return rc::gen::apply([](LedgerEventKind kind, unsigned target, unsigned parameter) { return LedgerEvent { kind, target, parameter }; },
        rc::gen::elementOf(kinds), rc::gen::inRange(0u, 64u), rc::gen::inRange(0u, 64u));
}

}
