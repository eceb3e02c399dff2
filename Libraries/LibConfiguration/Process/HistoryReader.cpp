#include <LibConfiguration/Paths.h>
#include <LibConfiguration/Process/HistoryReader.h>
#include <algorithm>

namespace Configuration {

HistoryReader::HistoryReader(HistoryQuery query)
    : query_(std::move(query))
{
}

std::optional<Store::Request> HistoryReader::begin() { return readChange(query_.from); }

std::optional<Store::Request> HistoryReader::readChange(Revision revision)
{
    if (!revision.isValid())
        return std::nullopt;
    if (readCount_ == maximumReads || history_.changes.size() >= query_.limit) {
        history_.isTruncated = true;
        return std::nullopt;
    }
    ++readCount_;
    position_ = revision;
    return Store::Get { changeKey(revision) };
}

std::optional<Store::Request> HistoryReader::handleAnswer(const Store::Answer& answer)
{
    auto change = Base::capture([&]() -> Base::ErrorOr<Change> {
        if (answer.status != Store::Status::Ok)
            return Base::makeError(Base::ErrorCode::Unavailable, "no change read");
        return decodeChange(answer.value);
    });
    if (!change.isOk()) {
        history_.isTruncated = true;
        return std::nullopt;
    }
    const auto base = change.value->base;
    if (matchesQuery(*change.value))
        history_.changes.push_back(std::move(*change.value));
    if (query_.followsBaseRevisions)
        return readChange(base < position_ ? base : Revision {});
    return readChange({ position_.value - 1 });
}

bool HistoryReader::matchesQuery(const Change& change) const
{
    if (query_.path.empty() || objectPath(change.operation) == query_.path)
        return true;
    if (change.differences.size() < change.differenceCount)
        return isWithin(query_.path, objectPath(change.operation));
    return std::any_of(change.differences.begin(), change.differences.end(), [&](const Difference& difference) {
        return isWithin(difference.path, query_.path) || isWithin(difference.path, "protection/" + query_.path);
    });
}

}
