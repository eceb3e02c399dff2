#include <LibFlowBench/Factories.h>
#include <LibFlowBench/NaiveDecider.h>
#include <LibFlowBench/ReferenceDecider.h>

namespace FlowBench {

DeciderFactory naiveFactory() { return NaiveDecider::create; }

DeciderFactory referenceFactory()
{
    return [table = std::make_shared<ReferenceTable>()](
               const Flow::FlowDecider::Options& options) -> Base::ErrorOr<std::unique_ptr<Flow::FlowDecider>> {
        return std::unique_ptr<Flow::FlowDecider>(std::make_unique<ReferenceDecider>(options, table));
    };
}

}
