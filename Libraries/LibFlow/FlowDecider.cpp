#include <LibFlow/FlowDecider.h>
#include <LibFlow/Process/Decider.h>

namespace Flow {

Base::ErrorOr<std::unique_ptr<FlowDecider>> FlowDecider::create(const Options& options)
{
    if (!options.self.isValid())
        return Base::makeError(Base::ErrorCode::InvalidArgument, "self is not a valid id");
    bool hasBounds = options.maximumFlows > 0 && options.maximumQueued > 0 && options.controlBytesPerSecond > 0;
    if (!hasBounds)
        return Base::makeError(
            Base::ErrorCode::InvalidArgument, "maximumFlows, maximumQueued and controlBytesPerSecond must not be zero");
    return std::unique_ptr<FlowDecider>(std::make_unique<Decider>(options));
}

}
