#pragma once

#include <LibSteering/Process/ServerTable.h>
#include <map>
#include <utility>
#include <vector>

namespace Steering {

/// Decides which entry describes a backend server if several claim its number, which packets carry instead of its id.
///
/// Another writer may register a key with the digits of a running server's id, or overwrite the server's own entry.
/// Neither may move or end the server's open flows. The entry that held the number first keeps it, and the others are
/// kept here until it is gone, or until the server's packets show that it is the wrong one.
class ServerClaims {
public:
    explicit ServerClaims(ServerTable& servers)
        : servers_(servers)
    {
    }

    /// Returns whether the entry is to be used at once. Otherwise it is kept; an earlier one under its id is replaced.
    bool tryAccept(const BackendServerEntry&);
    void remove(BackendServerNumber, const std::string& id);
    /// Whether the entry in use for the number is the one under this id.
    bool isHolder(BackendServerNumber, const std::string& id) const;
    /// Removes and returns the entries that are to be used from now on, at most one for each number. Called every
    /// 250 ms and when the configured services have changed.
    std::vector<BackendServerEntry> takeDue();
    /// Notes at the number's server whether other entries claim it. Called after one of them was put to use.
    void updateContested(BackendServerNumber);
    /// Entries that are not in use.
    std::size_t size() const { return claims_.size(); }

private:
    /// By number and id.
    using Key = std::pair<BackendServerNumber, std::string>;

    static Key keyOf(const BackendServerEntry& entry) { return { entry.number, entry.id }; }
    /// Whether an entry may take the place of the one in use.
    bool outranks(const BackendServerEntry&, const Server& holder) const;
    bool isConfigured(const BackendServerEntry& entry) const
    {
        return servers_.isConfigured(servers_.serviceIndex(entry.service));
    }
    /// Keeps the entry in use, which another one is about to replace.
    void keepHolder(const Server& holder, const BackendServerEntry& successor);

    ServerTable& servers_;
    std::map<Key, BackendServerEntry> claims_;
};

}
