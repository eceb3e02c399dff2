#include <LibOperator/AcceptorThread.h>
#include <chrono>

namespace Operator {

using namespace Configuration;

namespace {

    constexpr Base::milliseconds tickInterval { 20 };
    constexpr Base::seconds statisticsInterval { 1 };

    Base::TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

    Base::WallTime wallNow()
    {
        return std::chrono::time_point_cast<Base::milliseconds>(std::chrono::system_clock::now());
    }

    SubmitReply unavailableReply(const char* detail)
    {
        return { .ticket = 0, .outcome = Outcome::Unavailable, .revision = {}, .detail = detail, .conflicting = {} };
    }

    /// The reply to a change whose outcome was still undetermined when the endpoint stopped.
    SubmitReply unknownOutcomeReply()
    {
        return { .ticket = 0,
            .outcome = Outcome::Unknown,
            .revision = {},
            .detail = "the endpoint stopped; repeat the request at another one",
            .conflicting = {} };
    }

}

AcceptorThread::AcceptorThread(const Options& options)
    : options_(options)
    , commands_(options.queueCapacity)
    , acceptor_(options.acceptor)
    , store_(Store::StoreClient::create({ .endpoint = options.store,
          .callDeadline = options.storeCallDeadline,
          .capacity = options.queueCapacity,
          .onCompletion = [this] { commands_.wake(); } }))
    , thread_([this] { run(); })
{
}

AcceptorThread::~AcceptorThread()
{
    commands_.close();
    thread_.join();
}

std::future<SubmitReply> AcceptorThread::submit(Change change)
{
    Command command = SubmitCommand { std::move(change), {} };
    auto future = std::get<SubmitCommand>(command).promise.get_future();
    if (!commands_.tryPush(command))
        std::get<SubmitCommand>(command).promise.set_value(
            unavailableReply("too many calls are waiting at this endpoint"));
    return future;
}

std::future<RefreshReply> AcceptorThread::refresh()
{
    Command command = RefreshCommand {};
    auto future = std::get<RefreshCommand>(command).promise.get_future();
    if (!commands_.tryPush(command))
        std::get<RefreshCommand>(command).promise.set_value({});
    return future;
}

std::future<HistoryReply> AcceptorThread::readHistory(HistoryQuery query)
{
    Command command = HistoryCommand { std::move(query), {} };
    auto future = std::get<HistoryCommand>(command).promise.get_future();
    if (!commands_.tryPush(command))
        std::get<HistoryCommand>(command).promise.set_value({ 0, { .changes = {}, .isTruncated = true } });
    return future;
}

void AcceptorThread::run()
{
    while (!commands_.isClosed()) {
        AcceptorActions actions;
        for (auto& command : commands_.waitAndDrain(tickInterval))
            dispatch(std::move(command), actions);
        processStoreResponses(actions);
        acceptor_.handleTick(steadyNow(), wallNow(), actions);
        performActions(actions);
        reportStatisticsIfDue();
    }
    failPendingCalls();
}

void AcceptorThread::dispatch(Command command, AcceptorActions& actions)
{
    const auto ticket = ++lastTicket_;
    if (auto* submitCommand = std::get_if<SubmitCommand>(&command)) {
        pendingSubmits_.emplace(ticket, std::move(submitCommand->promise));
        acceptor_.submit(steadyNow(), wallNow(), ticket, std::move(submitCommand->change), actions);
    } else if (auto* refreshCommand = std::get_if<RefreshCommand>(&command)) {
        pendingRefreshes_.emplace(ticket, std::move(refreshCommand->promise));
        acceptor_.refresh(steadyNow(), ticket, actions);
    } else if (auto* historyCommand = std::get_if<HistoryCommand>(&command)) {
        pendingHistoryReads_.emplace(ticket, std::move(historyCommand->promise));
        acceptor_.readHistory(ticket, historyCommand->query, actions);
    }
}

void AcceptorThread::processStoreResponses(AcceptorActions& actions)
{
    const auto deliver = [&](Store::RequestId id, const Store::Answer& response) {
        // The acceptor ignores responses to requests that it no longer tracks, so the error needs no handling.
        (void)Base::captureError(
            [&] { return acceptor_.handleStoreAnswer(steadyNow(), wallNow(), id, response, actions); });
    };
    Store::Completion completion;
    while (store_->tryPopCompletion(completion)) {
        if (const auto* response = std::get_if<Store::Answer>(&completion.answer))
            deliver(completion.id, *response);
    }
    for (const auto id : std::exchange(rejectedRequests_, {}))
        deliver(id, { .status = Store::Status::Unavailable });
}

void AcceptorThread::performActions(const AcceptorActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* storeRequest = std::get_if<SendStoreRequest>(&action)) {
            submitToStore(*storeRequest);
        } else if (const auto* submitReply = std::get_if<SubmitReply>(&action)) {
            pendingSubmits_.extract(submitReply->ticket).mapped().set_value(*submitReply);
        } else if (const auto* refreshReply = std::get_if<RefreshReply>(&action)) {
            pendingRefreshes_.extract(refreshReply->ticket).mapped().set_value(*refreshReply);
        } else if (const auto* historyReply = std::get_if<HistoryReply>(&action)) {
            pendingHistoryReads_.extract(historyReply->ticket).mapped().set_value(*historyReply);
        }
    }
}

void AcceptorThread::submitToStore(const SendStoreRequest& storeRequest)
{
    if (!store_->trySubmit(storeRequest.id, storeRequest.request))
        rejectedRequests_.push_back(storeRequest.id);
}

void AcceptorThread::failPendingCalls()
{
    for (auto& command : commands_.waitAndDrain(Base::milliseconds { 0 })) {
        if (auto* submitCommand = std::get_if<SubmitCommand>(&command))
            submitCommand->promise.set_value(unavailableReply("the endpoint stopped"));
        else if (auto* refreshCommand = std::get_if<RefreshCommand>(&command))
            refreshCommand->promise.set_value({});
        else if (auto* historyCommand = std::get_if<HistoryCommand>(&command))
            historyCommand->promise.set_value({ 0, { .changes = {}, .isTruncated = true } });
    }
    for (auto& [ticket, promise] : pendingSubmits_)
        promise.set_value(unknownOutcomeReply());
    for (auto& [ticket, promise] : pendingRefreshes_)
        promise.set_value({});
    for (auto& [ticket, promise] : pendingHistoryReads_)
        promise.set_value({ 0, { .changes = {}, .isTruncated = true } });
}

void AcceptorThread::reportStatisticsIfDue()
{
    if (!options_.onStatistics || steadyNow() < nextStatisticsReport_)
        return;
    nextStatisticsReport_ = steadyNow() + statisticsInterval;
    const auto snapshot = acceptor_.snapshot();
    options_.onStatistics(acceptor_.statistics(), snapshot ? snapshot->revision : Base::Revision {});
}

}
