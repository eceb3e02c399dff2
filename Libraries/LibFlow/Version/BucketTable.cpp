#include <LibBase/Hash.h>
#include <LibFlow/Version/BucketTable.h>
#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <numeric>
#include <queue>

namespace Flow {

namespace {

    constexpr std::size_t minimumBuckets = 256;
    constexpr std::size_t maximumBuckets = 65536;
    constexpr std::size_t bucketsPerBackendServer = 32;
    /// Buckets that agree in these low bits have the same preferences, so that doubling the table moves few buckets.
    constexpr uint32_t preferenceMask = minimumBuckets - 1;

    using Share = BucketTable::Share;

    /// Number of buckets for each share: largest remainder method, ties resolved in favour of the smaller id.
    std::vector<std::size_t> quotas(std::span<const Share> shares, std::size_t bucketCount)
    {
        uint64_t total = 0;
        for (const auto& share : shares)
            total += share.weight;
        std::vector<std::size_t> quota(shares.size());
        std::vector<uint64_t> remainder(shares.size());
        std::size_t assigned = 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            uint64_t scaled = static_cast<uint64_t>(shares[i].weight) * bucketCount;
            quota[i] = scaled / total;
            remainder[i] = scaled % total;
            assigned += quota[i];
        }
        std::vector<std::size_t> order(shares.size());
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return remainder[left] != remainder[right] ? remainder[left] > remainder[right]
                                                       : shares[left].backendServer < shares[right].backendServer;
        });
        for (std::size_t i = 0; assigned < bucketCount; ++i, ++assigned)
            ++quota[order[i]];
        return quota;
    }

    /// A proposal of a bucket to a backend server; both sides prefer the smaller cost.
    struct Proposal {
        double cost { 0 };
        uint32_t bucket { 0 };

        auto operator<=>(const Proposal&) const = default;
    };

    /// Stable matching by deferred acceptance: buckets propose in the order of their preferences, backend servers keep
    /// the best proposals up to their quota.
    class Matching {
    public:
        Matching(ServiceId service, std::span<const Share> shares, std::size_t bucketCount)
            : service_(service)
            , shares_(shares)
            , quotas_(quotas(shares, bucketCount))
            , acceptedProposals_(shares.size())
            , lastCost_(bucketCount, -1)
        {
        }

        std::vector<BackendServerId> run()
        {
            for (uint32_t bucket = 0; bucket < lastCost_.size(); ++bucket)
                assignBucket(bucket);
            std::vector<BackendServerId> targets(lastCost_.size());
            for (std::size_t share = 0; share < shares_.size(); ++share) {
                for (; !acceptedProposals_[share].empty(); acceptedProposals_[share].pop())
                    targets[acceptedProposals_[share].top().bucket] = shares_[share].backendServer;
            }
            return targets;
        }

    private:
        double cost(uint32_t bucket, std::size_t share) const
        {
            uint64_t preference = Base::mix(service_.value, bucket & preferenceMask);
            uint64_t random = Base::mix(preference, shares_[share].backendServer.value);
            double unit = (static_cast<double>(random >> 12) + 0.5) * 0x1.0p-52;
            return -std::log(unit) / shares_[share].weight;
        }

        /// Returns the share that comes next in the preferences of a bucket after the one with rejectedCost.
        std::size_t nextProposal(uint32_t bucket, double rejectedCost, double& bestCost) const
        {
            std::size_t best = 0;
            bestCost = std::numeric_limits<double>::infinity();
            for (std::size_t share = 0; share < shares_.size(); ++share) {
                double candidate = cost(bucket, share);
                if (candidate <= rejectedCost || candidate >= bestCost)
                    continue;
                bestCost = candidate;
                best = share;
            }
            return best;
        }

        void assignBucket(uint32_t bucket)
        {
            while (true) {
                std::size_t share = nextProposal(bucket, lastCost_[bucket], lastCost_[bucket]);
                acceptedProposals_[share].push({ .cost = lastCost_[bucket], .bucket = bucket });
                if (acceptedProposals_[share].size() <= quotas_[share])
                    return;
                bucket = acceptedProposals_[share].top().bucket;
                acceptedProposals_[share].pop();
            }
        }

        ServiceId service_;
        std::span<const Share> shares_;
        std::vector<std::size_t> quotas_;
        std::vector<std::priority_queue<Proposal>> acceptedProposals_;
        std::vector<double> lastCost_;
    };

}

BucketTable::BucketTable(ServiceId service, std::span<const Share> allShares)
{
    std::vector<Share> shares;
    std::copy_if(allShares.begin(), allShares.end(), std::back_inserter(shares),
        [](const Share& share) { return share.weight > 0; });
    if (shares.empty())
        return;
    std::sort(shares.begin(), shares.end(),
        [](const Share& left, const Share& right) { return left.backendServer < right.backendServer; });
    std::size_t desiredCount = std::clamp(shares.size() * bucketsPerBackendServer, minimumBuckets, maximumBuckets);
    targets_ = Matching(service, shares, std::bit_ceil(desiredCount)).run();
}

}
