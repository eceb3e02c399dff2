#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibFlow/Types.h>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace FlowBench {

/// Table of all flows and backend servers that the reference deciders of a bench share, so that each change is visible
/// to all of them immediately.
class ReferenceTable {
public:
    /// One flow and the backend server that it is assigned to.
    struct Entry {
        Base::ServiceId service;
        Base::BackendServerId backendServer;
        Configuration::PortClass portClass;
        bool holdsSlot { false };
        bool isClosing { false };
        Flow::TimePoint lastPacket {};
    };

    /// Replaces the configuration if the snapshot has a newer revision.
    void setSnapshot(Flow::TimePoint now, const Configuration::SnapshotPointer&);
    void recordReport(Flow::TimePoint now, const Flow::BackendServerReport&);

    const Configuration::Service* serviceAt(Base::Ipv4Address) const;
    Entry* find(const Packet::FlowKey&);
    /// Assigns a new flow to the backend server with the lowest load for its weight; returns nullptr if none has
    /// capacity.
    Entry* placeFlow(Flow::TimePoint now, const Packet::FlowKey&, const Configuration::Service&);
    /// Reserves a slot of the flow's backend server unless the flow has one; returns false if none is free.
    bool reserveSlot(Flow::TimePoint now, Entry&);
    void releaseSlot(Entry&);
    void remove(const Packet::FlowKey&);
    /// Whether the configuration allows packets to a backend server.
    bool mayReceive(Base::BackendServerId) const;
    /// Removes flows whose idle timeout has passed, ended flows and flows of backend servers taken out; runs at most
    /// once a second.
    void removeExpired(Flow::TimePoint now);

private:
    struct Target {
        Base::ServiceId service;
        Configuration::BackendServer server;
        bool isActive { false };
        bool isOut { false };
        uint32_t connections { 0 };
        uint32_t slots { 0 };
        uint64_t startToken { 0 };
        Flow::TimePoint warmUpStartedAt {};
    };

    static double warmUpProgress(const Target&, Flow::TimePoint now);
    static bool hasSlot(const Target&, Flow::TimePoint now);
    static bool hasRoom(const Target&, Flow::TimePoint now, const Configuration::PortClass&);
    void setTarget(Flow::TimePoint now, const Configuration::Service&, const Configuration::BackendServer&);

    Configuration::SnapshotPointer snapshot_;
    std::map<Base::BackendServerId, Target> targets_;
    std::unordered_map<Packet::FlowKey, Entry> entries_;
    Flow::TimePoint lastExpiryAt_ {};
};

}
