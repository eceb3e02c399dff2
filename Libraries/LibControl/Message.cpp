#include <LibControl/Message.h>

#include <LibBase/Hash.h>

namespace Control {

DomainTag domainTag(std::string_view name) { return static_cast<DomainTag>(Base::hashText(name)); }

namespace {

    struct KindOf {
        MessageKind operator()(const Ping&) const { return MessageKind::Membership; }
        MessageKind operator()(const Acknowledge&) const { return MessageKind::Membership; }
        MessageKind operator()(const PingRequest&) const { return MessageKind::Membership; }
        MessageKind operator()(const Gossip&) const { return MessageKind::Membership; }
        MessageKind operator()(const ChangePush&) const { return MessageKind::Dissemination; }
        MessageKind operator()(const ChangesRequest&) const { return MessageKind::AntiEntropy; }
        MessageKind operator()(const Changes&) const { return MessageKind::AntiEntropy; }
        MessageKind operator()(const SnapshotRequest&) const { return MessageKind::CatchUp; }
        MessageKind operator()(const SnapshotPart&) const { return MessageKind::CatchUp; }
        MessageKind operator()(const MembersRequest&) const { return MessageKind::Membership; }
        MessageKind operator()(const MemberList&) const { return MessageKind::Membership; }
        MessageKind operator()(const AcknowledgementReport&) const { return MessageKind::Acknowledgement; }
    };

}

MessageKind messageKind(const MessageBody& body) { return std::visit(KindOf {}, body); }

}
