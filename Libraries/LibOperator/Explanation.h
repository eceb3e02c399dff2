#pragma once

/// Explains the current values of an object: finds the change that last set each field.

#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Process/HistoryReader.h>
#include <optional>
#include <string>
#include <vector>

namespace Operator {

/// A field, its current value and the change that last set it.
struct ExplainedField {
    std::string path;
    std::string value;
    /// Empty if the change is older than the history that was read.
    std::optional<Configuration::Change> setBy;
};

/// The fields of a snapshot at or below a path; empty if the path matches nothing.
Configuration::Fields fieldsWithin(const Configuration::Snapshot&, const std::string& path);

/// Attributes each field to the change that last set it. The history contains the changes of the object that the fields
/// belong to, newest first.
std::vector<ExplainedField> explain(const Configuration::Fields&, const Configuration::History&);

/// The protections whose path equals, contains or lies below the given path.
std::vector<Configuration::Protection> overlappingProtections(const Configuration::Snapshot&, const std::string& path);

}
