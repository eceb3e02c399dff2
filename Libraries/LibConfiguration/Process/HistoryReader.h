#pragma once

#include <LibConfiguration/Change.h>
#include <LibStore/Store.h>
#include <optional>
#include <string>
#include <vector>

namespace Configuration {

/// Selects changes of the log; they are read newest first.
struct HistoryQuery {
    /// The newest change to read.
    Revision from;
    /// Follow Change::base from change to change of one object, instead of reading every change.
    bool followsBaseRevisions { false };
    /// Return only changes that altered something within this path; empty for all.
    std::string path;
    /// Maximum number of changes returned.
    std::size_t limit { 20 };
};

/// Changes read from the log.
struct History {
    std::vector<Change> changes;
    /// Older changes exist or could not be read.
    bool isTruncated { false };
};

/// Reads a part of the change log backwards, one store request at a time.
class HistoryReader {
public:
    explicit HistoryReader(HistoryQuery);

    /// Returns the first store request, if there is anything to read.
    std::optional<Store::Request> begin();
    /// Handles the response to the last request. Returns the next request, or nothing if the reader has finished.
    std::optional<Store::Request> handleAnswer(const Store::Answer&);
    const History& history() const { return history_; }

private:
    std::optional<Store::Request> readChange(Revision);
    bool matchesQuery(const Change&) const;

    /// Maximum number of changes read per query, including those that do not match.
    static constexpr std::size_t maximumReads = 200;

    HistoryQuery query_;
    Revision position_;
    std::size_t readCount_ { 0 };
    History history_;
};

}
