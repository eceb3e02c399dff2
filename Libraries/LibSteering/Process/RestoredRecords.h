#pragma once

#include <LibBase/Time.h>
#include <LibSteering/Events.h>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Steering {

/// Holds back what a store that came back from a copy says against what this node knows, until operators, backend
/// servers and entry VMs had time to write again what the store lost. A later event about the same subject replaces
/// what is held back.
class RestoredRecords {
public:
    struct Options {
        /// Whether a backend server's entry was written before what is known of that server.
        std::function<bool(const BackendServerEntry&)> isOutdated;
    };

    explicit RestoredRecords(Options options)
        : options_(std::move(options))
    {
    }

    /// The store came back; the following events, up to endCopy(), are the content of its copy.
    void beginCopy(Base::TimePoint now);
    void endCopy() { isReadingCopy_ = false; }
    /// Returns whether the event is held back; otherwise it is to be applied.
    bool tryHoldBack(const StateEvent&);
    /// The events to be applied because nothing replaced them in time.
    std::vector<StateEvent> takeDue(Base::TimePoint now);

private:
    /// A backend server's entry, by number and id, an entry VM, or a failure domain.
    using Subject = std::variant<std::pair<BackendServerNumber, std::string>, Base::EntryVmId, std::string>;

    static std::optional<Subject> subjectOf(const StateEvent&);
    bool contradictsKnown(const StateEvent&) const;
    void recordEvacuation(const DomainEvacuation&);

    Options options_;
    bool isReadingCopy_ { false };
    Base::TimePoint endsAt_ {};
    std::map<Subject, StateEvent> heldBack_;
    /// Revisions of the records of current evacuations, and of those that have ended, by failure domain.
    std::map<std::string, uint64_t> evacuations_;
    std::map<std::string, uint64_t> endedEvacuations_;
};

}
