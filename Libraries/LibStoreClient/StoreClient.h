#pragma once

/// Asynchronous gRPC client of the platform's store. This header does not include gRPC, which keeps it out of the
/// daemons' other files.

#include <LibBase/Ipv4Endpoint.h>
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Store {

/// One VM of the platform's VM list.
struct ListedVm {
    Base::Ipv4Endpoint controlEndpoint;
    std::string failureDomain;
    std::string region;
    bool leaving { false };
};

/// The platform's VM list. status is Ok, Unknown (timed out) or Unavailable.
struct VmListAnswer {
    Status status { Status::Unavailable };
    std::vector<ListedVm> vms;
};

/// A finished call.
struct Completion {
    RequestId id { 0 };
    std::variant<Answer, VmListAnswer> answer;
};

/// Makes asynchronous calls, each with a deadline. One thread may submit and one thread may pop; an internal thread
/// waits for responses.
///
/// Status of a call without a response: Unavailable for a write that was not sent because the channel was not
/// connected, Unknown for a write that was sent; Unknown for a read whose deadline passed, Unavailable for any other
/// read.
class StoreClient {
public:
    struct Options {
        Base::Ipv4Endpoint endpoint;
        /// Deadline of each call; for a Watch, its own timeout is added.
        Base::milliseconds callDeadline { 2000 };
        /// Maximum number of calls in flight or not yet popped.
        std::size_t capacity { 256 };
        /// Called on the client's internal thread when a completion can be popped. May be empty.
        std::function<void()> onCompletion;
    };

    static std::unique_ptr<StoreClient> create(const Options&);
    ~StoreClient();

    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;

    /// Starts a call. Returns false, without sending anything, if the capacity is exhausted.
    bool trySubmit(RequestId, const Request&);
    /// Starts reading the VM list. Returns false if the capacity is exhausted.
    bool trySubmitVmList(RequestId);
    /// Pops one finished call. Returns false if there is none.
    bool tryPopCompletion(Completion&);
    /// Number of submissions refused because the capacity was exhausted.
    uint64_t refusedCount() const;

private:
    class Connection;

    explicit StoreClient(std::unique_ptr<Connection>);

    std::unique_ptr<Connection> connection_;
};

}
