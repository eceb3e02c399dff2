#pragma once

#include <LibBase/Identifiers.h>
#include <cstdint>
#include <span>
#include <vector>

namespace Flow {

using Base::BackendServerId;
using Base::ServiceId;

/// Maps the buckets of a service to backend servers by weight. Depends only on the service's id and shares, so that all
/// balancers compute the same table without exchanging state. Each backend server gets its share of the buckets to
/// within one bucket (largest remainder). Buckets are assigned by stable matching of weighted rendezvous preferences
/// under these quotas, so that changing one share moves few other buckets.
class BucketTable {
public:
    /// A backend server and its weight; weight zero gets no bucket.
    struct Share {
        BackendServerId backendServer;
        uint32_t weight { 0 };
    };

    BucketTable() = default;
    BucketTable(ServiceId, std::span<const Share>);

    /// A power of two; zero if all weights are zero.
    std::size_t bucketCount() const { return targets_.size(); }
    /// Returns the bucket of a flow hash. The table must not be empty.
    uint32_t bucketOf(uint64_t flowHash) const { return static_cast<uint32_t>(flowHash & (targets_.size() - 1)); }
    BackendServerId target(uint32_t bucket) const { return targets_[bucket]; }
    /// Returns the backend server for a flow hash; invalid if the table is empty.
    BackendServerId lookUp(uint64_t flowHash) const
    {
        return targets_.empty() ? BackendServerId {} : targets_[bucketOf(flowHash)];
    }

    bool operator==(const BucketTable&) const = default;

private:
    std::vector<BackendServerId> targets_;
};

}
