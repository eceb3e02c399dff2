#include <LibBase/Verify.h>
#include <LibFlowBench/ClassTable.h>

namespace FlowBench {

ClassTable::ClassTable(const Deployment& deployment)
{
    for (const auto& load : deployment.loads) {
        const auto& service = deployment.snapshot.services.at(load.service);
        for (const auto& portClass : service.portClasses) {
            if (portClass.name != load.portClass)
                continue;
            classes_.push_back({ .name = portClass.name,
                .service = service.id,
                .endpoint = { .address = service.addresses.front(), .port = portClass.port },
                .portClass = portClass,
                .load = load });
        }
    }
    VERIFY(classes_.size() == deployment.loads.size());
}

Base::ServiceId ClassTable::serviceAt(Base::Ipv4Address address) const
{
    for (const auto& info : classes_) {
        if (info.endpoint.address == address)
            return info.service;
    }
    return {};
}

}
