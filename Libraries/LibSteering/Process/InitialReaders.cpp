#include <LibSteering/Process/InitialReaders.h>

#include <LibSteering/Process/PeerTopology.h>
#include <algorithm>

namespace Steering {

namespace {

    /// Each reader serves this many entry VMs, itself included.
    constexpr std::size_t entryVmsPerReader = 8;
    /// Registered entry VMs may be down; the next in rank are asked then.
    constexpr std::size_t substituteCount = 2;

}

InitialReaders::Selection InitialReaders::select(std::vector<EntryVm> listed) const
{
    if (std::ranges::find(listed, self_.id, &EntryVm::id) == listed.end())
        listed.push_back(self_);
    std::ranges::sort(
        listed, {}, [](const EntryVm& entryVm) { return PeerTopology::rankOf(entryVm.id, entryVm.linkMegabits); });
    const auto readerCount = (listed.size() + entryVmsPerReader - 1) / entryVmsPerReader;
    const auto ownPosition
        = static_cast<std::size_t>(std::ranges::find(listed, self_.id, &EntryVm::id) - listed.begin());
    Selection selection { .isReader = ownPosition < readerCount, .peers = {} };
    if (selection.isReader)
        return selection;
    // Entry VMs of neighbouring ranks begin with different readers.
    for (std::size_t index = 0; index < readerCount; ++index)
        selection.peers.push_back(listed[(ownPosition + index) % readerCount].id);
    for (auto index = readerCount; index < listed.size() && index < readerCount + substituteCount; ++index) {
        if (index != ownPosition)
            selection.peers.push_back(listed[index].id);
    }
    return selection;
}

}
