#pragma once

#include <LibBase/Identifiers.h>
#include <cstdint>
#include <vector>

namespace Steering {

/// Selects which of the entry VMs that start together read all records from the store. When all of a large fleet start
/// at once, the store's link could not deliver all records to each of them; most therefore read one page, which names
/// the others, and fetch the records from one of the few that read on.
class InitialReaders {
public:
    struct EntryVm {
        Base::EntryVmId id;
        /// Capacity of its link, in Mbit/s.
        uint64_t linkMegabits { 0 };
    };

    struct Selection {
        /// Whether this entry VM reads all records itself.
        bool isReader { false };
        /// Otherwise the entry VMs to ask, in this order.
        std::vector<Base::EntryVmId> peers;
    };

    explicit InitialReaders(EntryVm self)
        : self_(self)
    {
    }

    /// listed: the entry VMs of the own failure domain that are registered, with or without this one.
    Selection select(std::vector<EntryVm> listed) const;

private:
    EntryVm self_;
};

}
