#include <LibConfiguration/Paths.h>
#include <LibOperator/Explanation.h>
#include <algorithm>

namespace Operator {

using namespace Configuration;

namespace {

    const Change* lastChangeOf(const std::string& path, const History& history)
    {
        for (const auto& change : history.changes) {
            const bool changesPath = std::any_of(change.differences.begin(), change.differences.end(),
                [&](const Difference& difference) { return difference.path == path; });
            if (changesPath)
                return &change;
        }
        // The change that created a large object records only some of its fields, so fields without a recorded change
        // are attributed to it.
        if (!history.isTruncated && !history.changes.empty())
            return &history.changes.back();
        return nullptr;
    }

}

Fields fieldsWithin(const Snapshot& snapshot, const std::string& path)
{
    const auto root = rootPath(path);
    const auto name = root.substr(root.find('/') + 1);
    Fields fields;
    if (const auto* service = snapshot.findService(name); service != nullptr && root == servicePath(name))
        fields = fieldsOf(*service);
    const auto domain = snapshot.failureDomains.find(name);
    if (domain != snapshot.failureDomains.end() && root == domainPath(name))
        fields = fieldsOf(domain->second);
    std::erase_if(fields, [&](const auto& field) { return !isWithin(field.first, path); });
    return fields;
}

std::vector<ExplainedField> explain(const Fields& fields, const History& history)
{
    std::vector<ExplainedField> explained;
    for (const auto& [path, value] : fields) {
        ExplainedField field { .path = path, .value = value, .setBy = {} };
        if (const auto* change = lastChangeOf(path, history))
            field.setBy = *change;
        explained.push_back(std::move(field));
    }
    return explained;
}

std::vector<Protection> overlappingProtections(const Snapshot& snapshot, const std::string& path)
{
    std::vector<Protection> overlapping;
    for (const auto& protection : snapshot.protections) {
        if (isWithin(protection.path, path) || isWithin(path, protection.path))
            overlapping.push_back(protection);
    }
    return overlapping;
}

}
