#pragma once

#include <LibFleet/Deployment.h>

namespace StandIn {

/// Draws faults and planned work from a seed and brings them about, one beside the other.
class Faults {
public:
    explicit Faults(Deployment&);

    /// Plans everything between two points of the run; all of it has ended by the second one.
    void plan(Base::milliseconds begin, Base::milliseconds end);
    /// What was planned, for the report.
    const std::vector<std::string>& schedule() const { return schedule_; }

private:
    using Action = void (Faults::*)(Base::milliseconds duration);

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
    void storeTurnsAway(Base::milliseconds);
    void storeLosesAnswers(Base::milliseconds);
    void storeIsSlow(Base::milliseconds);
    void storeForgets(Base::milliseconds);
    void takeRecords(Base::milliseconds);
    void cutPeerLinks(Base::milliseconds);
    void delayPeerLinks(Base::milliseconds);
    void resetPeerLinks(Base::milliseconds);
    void cutZone(Base::milliseconds);
    void replaceServer(Base::milliseconds);
    void crashServer(Base::milliseconds);
    void reuseAddress(Base::milliseconds);
    void lapseEntries(Base::milliseconds);
    void evacuate(Base::milliseconds);
    void changeRoutes(Base::milliseconds);
    void configurationStorm(Base::milliseconds);

    void after(Base::milliseconds delay, std::function<void()> action);
    /// Calls the function now and every 100 ms until the time is over.
    void during(Base::milliseconds time, const std::function<void()>& action);
    std::size_t anyEntryVm();
    FleetServer* anyServer(const std::string& service);
    const std::string& anyZone();
    void faultStore(Base::milliseconds duration, const StoreFault&);

    Deployment& deployment_;
    std::vector<std::string> schedule_;
    uint16_t nextRoute_ { 9000 };
    bool isEvacuating_ { false };
};

}
