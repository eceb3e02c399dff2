#pragma once

#include <LibConfiguration/Process/ChangeAcceptor.h>

namespace Measure {

/// A simulated endpoint with the production or the naive acceptor.
class Endpoint {
public:
    virtual ~Endpoint() = default;
    virtual void submit(
        Base::TimePoint, Configuration::Ticket, const Configuration::Change&, Configuration::AcceptorActions&)
        = 0;
    virtual void handleStoreAnswer(
        Base::TimePoint, Store::RequestId, const Store::Answer&, Configuration::AcceptorActions&)
        = 0;
    virtual void handleTick(Base::TimePoint, Configuration::AcceptorActions&) = 0;
};

/// Forwards to the production ChangeAcceptor.
class OwnEndpoint final : public Endpoint {
public:
    explicit OwnEndpoint(uint64_t seed)
        : acceptor_({ .seed = seed })
    {
    }

    void submit(Base::TimePoint now, Configuration::Ticket ticket, const Configuration::Change& change,
        Configuration::AcceptorActions& actions) override
    {
        acceptor_.submit(now, {}, ticket, change, actions);
    }
    void handleStoreAnswer(Base::TimePoint now, Store::RequestId id, const Store::Answer& answer,
        Configuration::AcceptorActions& actions) override
    {
        (void)Base::captureError([&] { return acceptor_.handleStoreAnswer(now, {}, id, answer, actions); });
    }
    void handleTick(Base::TimePoint now, Configuration::AcceptorActions& actions) override
    {
        acceptor_.handleTick(now, {}, actions);
    }

private:
    Configuration::ChangeAcceptor acceptor_;
};

/// Naive acceptor: appends to the log at the next free key, without base revisions or request ids, and reports a lost
/// response of the store as a failure.
class NaiveEndpoint final : public Endpoint {
public:
    void submit(
        Base::TimePoint, Configuration::Ticket, const Configuration::Change&, Configuration::AcceptorActions&) override;
    void handleStoreAnswer(
        Base::TimePoint, Store::RequestId, const Store::Answer&, Configuration::AcceptorActions&) override;
    void handleTick(Base::TimePoint, Configuration::AcceptorActions&) override { }

private:
    struct Pending {
        Configuration::Ticket ticket { 0 };
        Configuration::Change change;
    };

    void write(Pending, Configuration::AcceptorActions&);

    Base::Revision next_ { 1 };
    Store::RequestId lastId_ { 0 };
    std::map<Store::RequestId, Pending> pending_;
};

}
