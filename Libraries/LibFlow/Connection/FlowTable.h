#pragma once

#include <LibFlow/Connection/FlowRecord.h>
#include <functional>
#include <memory>
#include <vector>

namespace Flow {

/// Hash table of flow records, keyed by five-tuple. Records are stored in chunks, so their addresses stay valid. The
/// open-addressing index uses 4 bytes per entry: 24 bits of record index and 8 bits of the key's hash, so that records
/// of other flows are rarely read. The full key is compared, so two flows are never confused.
class FlowTable {
public:
    /// Maximum capacity of one table.
    static constexpr std::size_t maximumCapacity = (std::size_t { 1 } << 24) - 1;

    /// maximumFlows: capacity, limited to maximumCapacity. seed: prevents callers from choosing keys that collide in
    /// the index.
    FlowTable(std::size_t maximumFlows, uint64_t seed);

    /// Returns the record of a flow, or nullptr.
    FlowRecord* find(const Packet::FlowKey&);
    /// Prefetches the index entry of a flow.
    void prefetchIndex(const Packet::FlowKey& key) const { __builtin_prefetch(&index_[homePosition(key)]); }
    /// Prefetches the record that the index entry of a flow refers to; reads the entry, which should be in the cache
    /// already.
    void prefetchRecord(const Packet::FlowKey& key) const
    {
        const auto recordIndex = recordIndexOf(index_[homePosition(key)]);
        if (recordIndex != noRecord)
            __builtin_prefetch(&chunks_[(recordIndex - 1) / chunkSize][(recordIndex - 1) % chunkSize]);
    }
    /// Adds a record for a flow that has none. Returns nullptr if the table is full.
    FlowRecord* insert(const Packet::FlowKey&);
    /// Removes a record of this table.
    void erase(FlowRecord&);

    std::size_t size() const { return size_; }
    std::size_t capacity() const { return maximumFlows_; }
    /// Memory used by records and index, in bytes.
    std::size_t memoryBytes() const;

    /// Visits the next `count` records in turn, wrapping around at the end; the visitor may erase the record passed to
    /// it.
    void sweep(std::size_t count, const std::function<void(FlowRecord&)>& visit);
    /// Number of allocated records, including free ones: the count for a full sweep.
    std::size_t allocatedRecords() const { return allocatedRecords_; }

private:
    static constexpr std::size_t chunkSize = 1024;
    static constexpr uint32_t noRecord = 0;
    static constexpr unsigned recordIndexBits = 24;
    static constexpr uint32_t recordIndexMask = (uint32_t { 1 } << recordIndexBits) - 1;

    FlowRecord& at(uint32_t recordIndex)
    {
        return chunks_[(recordIndex - 1) / chunkSize][(recordIndex - 1) % chunkSize];
    }
    uint64_t hashOf(const Packet::FlowKey& key) const { return Base::mix(key.hash(), seed_); }
    std::size_t homePosition(const Packet::FlowKey& key) const { return hashOf(key) >> shift_; }
    static uint32_t recordIndexOf(uint32_t entry) { return entry & recordIndexMask; }
    /// Stores the low bits of the hash: the high bits already determine the position of the entry.
    static uint32_t makeEntry(uint32_t recordIndex, uint64_t hash)
    {
        return recordIndex | (static_cast<uint32_t>(hash & 0xFF) << recordIndexBits);
    }
    uint32_t allocateRecord();
    void addToIndex(uint32_t recordIndex);
    std::size_t positionOf(const FlowRecord&);
    void grow();

    std::size_t maximumFlows_;
    uint64_t seed_;
    std::size_t size_ { 0 };
    std::size_t allocatedRecords_ { 0 };
    std::size_t cursor_ { 0 };
    unsigned shift_ { 0 };
    std::vector<uint32_t> index_;
    std::vector<std::unique_ptr<FlowRecord[]>> chunks_;
    std::vector<uint32_t> freeRecordIndexes_;
};

}
