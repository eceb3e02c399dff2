#pragma once

#include <LibBase/Hash.h>
#include <compare>
#include <cstdint>
#include <functional>

namespace Base {

/// An integer identifier with a distinct type per Tag, so that identifiers of different kinds cannot be confused. Zero
/// means "none".
template <typename Tag, typename Integer>
struct StrongId {
    Integer value { 0 };

    bool isValid() const { return value != 0; }

    auto operator<=>(const StrongId&) const = default;
};

}

template <typename Tag, typename Integer>
struct std::hash<Base::StrongId<Tag, Integer>> {
    std::size_t operator()(const Base::StrongId<Tag, Integer>& id) const noexcept { return Base::mix(id.value); }
};
