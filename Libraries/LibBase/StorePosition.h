#pragma once

#include <compare>
#include <cstdint>

namespace Base {

/// A point in the store's history. A store that comes back from a copy gives out revisions again, so that revisions
/// compare within one era only.
struct StorePosition {
    /// Rises each time the store comes back from a copy. Zero if the store does not state it.
    uint64_t era { 0 };
    uint64_t revision { 0 };

    auto operator<=>(const StorePosition&) const = default;
};

}
