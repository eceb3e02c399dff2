#pragma once

#include <LibFlowBench/Deployment.h>
#include <string>
#include <vector>

namespace FlowBench {

/// One port class with its service address and the load from its callers.
struct ClassInfo {
    std::string name;
    Base::ServiceId service;
    Base::Ipv4Endpoint endpoint;
    Configuration::PortClass portClass;
    ClassLoad load;
};

/// The port classes of a deployment that receive load, in the order of Deployment::loads.
class ClassTable {
public:
    explicit ClassTable(const Deployment&);

    std::size_t size() const { return classes_.size(); }
    const ClassInfo& at(std::size_t index) const { return classes_[index]; }
    /// Returns the service of an address, or a zero identifier if the address belongs to no service with load.
    Base::ServiceId serviceAt(Base::Ipv4Address) const;

private:
    std::vector<ClassInfo> classes_;
};

}
