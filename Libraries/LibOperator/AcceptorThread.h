#pragma once

#include <LibConfiguration/Process/ChangeAcceptor.h>
#include <LibOperator/CommandQueue.h>
#include <LibStoreClient/StoreClient.h>
#include <functional>
#include <future>
#include <thread>
#include <variant>

namespace Operator {

/// Runs a ChangeAcceptor on its own thread and sends its requests to the store. The public functions may be called from
/// any thread.
class AcceptorThread {
public:
    struct Options {
        Configuration::ChangeAcceptor::Options acceptor;
        Base::Ipv4Endpoint store;
        Base::milliseconds storeCallDeadline { 1000 };
        /// Maximum number of queued calls; further calls are rejected as unavailable.
        std::size_t queueCapacity { 256 };
        /// Called about once per second on the acceptor's thread, with its cumulative statistics and newest revision.
        std::function<void(const Configuration::AcceptorStatistics&, Base::Revision)> onStatistics;
    };

    explicit AcceptorThread(const Options&);
    /// Stops the thread. Queued calls complete as unavailable; changes already in progress complete with an unknown
    /// outcome.
    ~AcceptorThread();

    AcceptorThread(const AcceptorThread&) = delete;
    AcceptorThread& operator=(const AcceptorThread&) = delete;

    /// Submits a change. The future is ready immediately, with Unavailable, if the queue is full.
    std::future<Configuration::SubmitReply> submit(Configuration::Change);
    /// Reads the change log in the store to its end and returns the resulting configuration.
    std::future<Configuration::RefreshReply> refresh();
    /// Reads earlier changes from the store.
    std::future<Configuration::HistoryReply> readHistory(Configuration::HistoryQuery);

private:
    struct SubmitCommand {
        Configuration::Change change;
        std::promise<Configuration::SubmitReply> promise;
    };
    struct RefreshCommand {
        std::promise<Configuration::RefreshReply> promise;
    };
    struct HistoryCommand {
        Configuration::HistoryQuery query;
        std::promise<Configuration::HistoryReply> promise;
    };
    using Command = std::variant<SubmitCommand, RefreshCommand, HistoryCommand>;

    void run();
    void dispatch(Command, Configuration::AcceptorActions&);
    void processStoreResponses(Configuration::AcceptorActions&);
    void performActions(const Configuration::AcceptorActions&);
    void submitToStore(const Configuration::SendStoreRequest&);
    void failPendingCalls();
    void reportStatisticsIfDue();

    Options options_;
    CommandQueue<Command> commands_;
    Configuration::ChangeAcceptor acceptor_;
    Configuration::Ticket lastTicket_ { 0 };
    std::map<Configuration::Ticket, std::promise<Configuration::SubmitReply>> pendingSubmits_;
    std::map<Configuration::Ticket, std::promise<Configuration::RefreshReply>> pendingRefreshes_;
    std::map<Configuration::Ticket, std::promise<Configuration::HistoryReply>> pendingHistoryReads_;
    /// Requests rejected by the store client because its queue was full; completed as unavailable.
    std::vector<Store::RequestId> rejectedRequests_;
    Base::TimePoint nextStatisticsReport_ {};
    std::unique_ptr<Store::StoreClient> store_;
    std::thread thread_;
};

}
