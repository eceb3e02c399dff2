#include <LibBase/Verify.h>
#include <LibFlow/Connection/FlowTable.h>
#include <algorithm>

namespace Flow {

namespace {

    constexpr std::size_t initialIndexSize = 1024;
    constexpr unsigned initialShift = 54;
    /// The index doubles when more than this percentage of its entries would be in use.
    constexpr std::size_t maximumLoadPercent = 80;

}

FlowTable::FlowTable(std::size_t maximumFlows, uint64_t seed)
    : maximumFlows_(std::min(maximumFlows, maximumCapacity))
    , seed_(seed)
    , shift_(initialShift)
    , index_(initialIndexSize, noRecord)
{
}

FlowRecord* FlowTable::find(const Packet::FlowKey& key)
{
    std::size_t mask = index_.size() - 1;
    const auto hash = hashOf(key);
    for (std::size_t i = hash >> shift_; index_[i] != noRecord; i = (i + 1) & mask) {
        const auto recordIndex = recordIndexOf(index_[i]);
        if (index_[i] != makeEntry(recordIndex, hash))
            continue;
        auto& record = at(recordIndex);
        if (record.matches(key))
            return &record;
    }
    return nullptr;
}

FlowRecord* FlowTable::insert(const Packet::FlowKey& key)
{
    if (size_ >= maximumFlows_)
        return nullptr;
    if ((size_ + 1) * 100 > index_.size() * maximumLoadPercent)
        grow();
    uint32_t recordIndex = allocateRecord();
    auto& record = at(recordIndex);
    record = FlowRecord {
        .callerAddress = key.caller.address.value,
        .serviceAddress = key.service.address.value,
        .callerPort = key.caller.port,
        .servicePort = key.service.port,
        .isUdp = key.protocol == Packet::IpProtocol::Udp,
    };
    addToIndex(recordIndex);
    ++size_;
    return &record;
}

void FlowTable::erase(FlowRecord& record)
{
    std::size_t mask = index_.size() - 1;
    std::size_t hole = positionOf(record);
    uint32_t recordIndex = recordIndexOf(index_[hole]);
    // Moves later entries of the probe sequence back, so that no tombstone is needed.
    for (std::size_t i = (hole + 1) & mask; index_[i] != noRecord; i = (i + 1) & mask) {
        std::size_t preferred = homePosition(at(recordIndexOf(index_[i])).key());
        if (((i - preferred) & mask) < ((i - hole) & mask))
            continue;
        index_[hole] = index_[i];
        hole = i;
    }
    index_[hole] = noRecord;
    record = FlowRecord {};
    freeRecordIndexes_.push_back(recordIndex);
    --size_;
}

std::size_t FlowTable::memoryBytes() const
{
    return chunks_.size() * chunkSize * sizeof(FlowRecord) + index_.size() * sizeof(uint32_t)
        + freeRecordIndexes_.capacity() * sizeof(uint32_t);
}

void FlowTable::sweep(std::size_t count, const std::function<void(FlowRecord&)>& visit)
{
    count = std::min(count, allocatedRecords_);
    for (std::size_t i = 0; i < count; ++i) {
        cursor_ = cursor_ >= allocatedRecords_ ? 1 : cursor_ + 1;
        auto& record = at(static_cast<uint32_t>(cursor_));
        if (record.serviceAddress != 0 || record.servicePort != 0)
            visit(record);
    }
}

uint32_t FlowTable::allocateRecord()
{
    if (!freeRecordIndexes_.empty()) {
        uint32_t recordIndex = freeRecordIndexes_.back();
        freeRecordIndexes_.pop_back();
        return recordIndex;
    }
    if (allocatedRecords_ == chunks_.size() * chunkSize)
        chunks_.push_back(std::make_unique<FlowRecord[]>(chunkSize));
    return static_cast<uint32_t>(++allocatedRecords_);
}

void FlowTable::addToIndex(uint32_t recordIndex)
{
    std::size_t mask = index_.size() - 1;
    const auto hash = hashOf(at(recordIndex).key());
    std::size_t i = hash >> shift_;
    while (index_[i] != noRecord)
        i = (i + 1) & mask;
    index_[i] = makeEntry(recordIndex, hash);
}

std::size_t FlowTable::positionOf(const FlowRecord& record)
{
    std::size_t mask = index_.size() - 1;
    std::size_t i = homePosition(record.key());
    while (index_[i] == noRecord || &at(recordIndexOf(index_[i])) != &record) {
        VERIFY(index_[i] != noRecord);
        i = (i + 1) & mask;
    }
    return i;
}

void FlowTable::grow()
{
    auto old = std::move(index_);
    index_.assign(old.size() * 2, noRecord);
    --shift_;
    for (uint32_t entry : old) {
        if (entry != noRecord)
            addToIndex(recordIndexOf(entry));
    }
}

}
