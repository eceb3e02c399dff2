#pragma once

#include "WirePacket.h"
#include <LibBase/Time.h>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace StandIn {

/// One side of a TCP connection, reduced to what the stand-ins need: handshake, in-order delivery with retransmission,
/// orderly close and reset. Tracks sequence numbers byte by byte, so that packets from another connection or server are
/// detected.
class TcpFlow {
public:
    enum class State : uint8_t {
        SynSent,
        SynReceived,
        Established,
        Closed,
        Reset,
        TimedOut,
    };

    struct Options {
        Ipv4Endpoint local;
        Ipv4Endpoint remote;
        uint32_t initialSequence { 1 };
        /// Delay of the first retransmission; doubled for each further one, at most three times.
        Base::milliseconds initialRetransmissionTimeout { 200 };
        /// Maximum transmissions of one segment before the connection times out.
        unsigned maximumTransmissions { 7 };
        std::function<void(const WirePacket&)> sendPacket;
        /// Called with in-order payload as it becomes available.
        std::function<void(std::string_view)> onData;
    };

    /// Creates either side; call connect() or accept() next.
    explicit TcpFlow(Options);

    /// Opens the connection actively: sends the SYN.
    void connect(Base::TimePoint now);
    /// Opens the connection passively: responds to a SYN with a SYN-ACK.
    void accept(Base::TimePoint now, const WirePacket& synPacket);
    /// Queues payload; it is sent immediately unless the SYN-ACK is still outstanding.
    void write(Base::TimePoint now, std::string_view payload);
    /// Closes the sending side after the payload written so far.
    void close(Base::TimePoint now);
    /// Sends a reset and discards unacknowledged data.
    void abort();
    /// Processes a packet of this connection.
    void receive(Base::TimePoint now, const WirePacket&);
    /// Retransmits segments whose timeout has expired.
    void tick(Base::TimePoint now);

    State state() const { return state_; }
    /// Whether both sides have closed.
    bool isFinished() const { return state_ == State::Closed; }
    /// Whether the remote side has closed.
    bool remoteHasClosed() const { return remoteClosed_; }
    /// Whether everything written has been acknowledged.
    bool isDrained() const { return unacknowledged_.empty(); }
    /// Largest payload of one segment in bytes.
    static constexpr std::size_t segmentBytes = 1200;

private:
    struct Segment {
        uint32_t sequence { 0 };
        uint8_t flags { 0 };
        std::string payload;
        Base::TimePoint nextTransmission;
        unsigned transmissions { 0 };
        uint32_t length() const
        {
            return static_cast<uint32_t>(payload.size()) + ((flags & (TcpSyn | TcpFin)) != 0 ? 1 : 0);
        }
    };

    void queueSegment(Base::TimePoint now, uint8_t flags, std::string payload);
    void transmit(Base::TimePoint now, Segment&);
    void sendControl(uint8_t flags);
    void handleAcknowledgement(uint32_t acknowledgement);
    bool handleSyn(Base::TimePoint now, const WirePacket&);
    void handlePayload(const WirePacket&);
    void deliverInOrder();
    void updateFinished();

    Options options_;
    State state_ { State::SynSent };
    uint32_t nextSequence_;
    uint32_t expectedSequence_ { 0 };
    std::deque<Segment> unacknowledged_;
    /// Received payload by sequence number, kept until the bytes before it have arrived. A FIN is kept in finSequence_.
    std::map<uint32_t, std::string> outOfOrder_;
    std::optional<uint32_t> finSequence_;
    bool remoteClosed_ { false };
    bool localClosed_ { false };
};

}
