#pragma once

#include <LibFleet/Deployment.h>
#include <optional>

namespace StandIn {

/// Schedules random faults and planned work, derived from the seed, and injects them; they may overlap.
class FaultInjector {
public:
    explicit FaultInjector(Deployment&);

    /// Schedules faults that begin between two points of the run. Durations are limited to end at most 500 ms after the
    /// second point; recovery actions may follow later.
    void plan(Base::milliseconds begin, Base::milliseconds end);
    /// Descriptions of the scheduled faults, for the report.
    const std::vector<std::string>& schedule() const { return schedule_; }

private:
    using Action = void (FaultInjector::*)(Base::milliseconds duration);

    struct Kind {
        const char* name;
        Action action;
    };

    void restartGracefully(Base::milliseconds);
    void killEntryVm(Base::milliseconds);
    void killSeveral(Base::milliseconds);
    void pauseEntryVm(Base::milliseconds);
    void reloadSettings(Base::milliseconds);
    void storeOutage(Base::milliseconds);
    void storeOutageForSome(Base::milliseconds);
    void dropStoreResponses(Base::milliseconds);
    void slowStore(Base::milliseconds);
    void dropStoreHistory(Base::milliseconds);
    void removeEntryVmRecords(Base::milliseconds);
    void restoreStoreCopy(Base::milliseconds);
    void blockPeerLinks(Base::milliseconds);
    void delayPeerLinks(Base::milliseconds);
    void resetPeerLinks(Base::milliseconds);
    void partitionZone(Base::milliseconds);
    void replaceServer(Base::milliseconds);
    void crashServer(Base::milliseconds);
    void reuseAddress(Base::milliseconds);
    void expireServerEntries(Base::milliseconds);
    /// Another writer says something false about a running server: under a key with the digits of its id, under its
    /// own id until its next heartbeat, or about its address.
    void writeForeignEntry(Base::milliseconds);
    void evacuateZone(Base::milliseconds);
    void changeRoutes(Base::milliseconds);
    void rewriteConfiguration(Base::milliseconds);

    void after(Base::milliseconds delay, std::function<void()> action);
    /// Calls the function now and every 100 ms until the duration has passed.
    void repeatFor(Base::milliseconds time, const std::function<void()>& action);
    std::size_t randomEntryVm();
    FleetServer* randomServer(const std::string& service);
    const std::string& randomZone();
    void injectStoreFault(Base::milliseconds duration, const StoreFault&);
    /// Operators and backend servers write again, and remove again, what a store that came back from a copy lost.
    void rewriteLostRecords();

    Deployment& deployment_;
    std::vector<std::string> schedule_;
    uint16_t nextRoutePort_ { 9000 };
    bool isEvacuating_ { false };
    /// The zone whose evacuation is in the store.
    std::optional<std::string> evacuatedZone_;
    bool isCopyKept_ { false };
};

}
