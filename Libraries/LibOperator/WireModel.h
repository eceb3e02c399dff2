#pragma once

/// Conversion between configuration objects and the messages of the operators' protocol.

#include <LibBase/Error.h>
#include <LibConfiguration/Change.h>
#include <Operator.pb.h>

namespace Operator {

namespace Wire = eelgrasshatch::operators;

Wire::Service toWire(const Configuration::Service&);
Wire::BackendServer toWire(const Configuration::BackendServer&);
Wire::FailureDomain toWire(const Configuration::FailureDomain&);
Wire::Protection toWire(const Configuration::Protection&);
Wire::Difference toWire(const Configuration::Difference&);
Wire::ChangeRecord toWire(const Configuration::Change&);
Wire::Operation toWire(const Configuration::Operation&);

/// The fromWire() functions return ErrorCode::InvalidArgument or OutOfRange, with the path of the field, for values
/// that the configuration types cannot represent. Value ranges are validated when the change is applied.
Base::ErrorOr<Configuration::Service> fromWire(const Wire::Service&);
Base::ErrorOr<Configuration::BackendServer> fromWire(const std::string& path, const Wire::BackendServer&);
Configuration::FailureDomain fromWire(const Wire::FailureDomain&);
Configuration::Protection fromWire(const Wire::Protection&);
Base::ErrorOr<Configuration::Operation> fromWire(const Wire::Operation&);
Base::ErrorOr<Configuration::Change> fromWire(const Wire::ChangeRequest&);

}
