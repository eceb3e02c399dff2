#pragma once

#include <LibFlow/Process/LoadView.h>
#include <LibFlow/Process/PeerLink.h>
#include <LibFlow/Request/Admission.h>

namespace Flow {

/// Sends load digests to the owners of a service's other backend servers, and stores the digests received from them.
class LoadExchange {
public:
    LoadExchange(
        DeciderState& state, const Placement& placement, const Admission& admission, LoadView& view, PeerLink& link)
        : state_(state)
        , placement_(placement)
        , admission_(admission)
        , loadView_(view)
        , link_(link)
    {
    }

    void handleTick(TimePoint now, ActionWriter&);
    /// Returns Malformed without changing any state.
    Base::ErrorOr<void> handleMessage(TimePoint now, EntryVmId sender, const PeerMessage&);

private:
    void sendDigests(TimePoint now, ActionWriter&);

    DeciderState& state_;
    const Placement& placement_;
    const Admission& admission_;
    LoadView& loadView_;
    PeerLink& link_;
    TimePoint nextDigestAt_ { TimePoint::min() };
};

}
