#include <LibProber/ProbeFetcher.h>

#include <LibBase/Verify.h>
#include <curl/curl.h>
#include <string>
#include <unordered_map>

namespace Prober {

std::string_view toString(ProbeOutcome outcome)
{
    switch (outcome) {
    case ProbeOutcome::Responded:
        return "answered";
    case ProbeOutcome::ConnectFailed:
        return "connect_failed";
    case ProbeOutcome::TimedOut:
        return "timed_out";
    case ProbeOutcome::BadStatus:
        return "bad_status";
    case ProbeOutcome::InvalidResponse:
        return "bad_answer";
    }
    return "unknown";
}

/// An HTTP request in flight.
struct ProbeFetcher::Transfer {
    Peer::ProbeTarget target;
    /// Whether this is the request for /load, which follows a healthy response to /health.
    bool isLoadRequest { false };
    std::string body;
};

class ProbeFetcher::Implementation {
public:
    explicit Implementation(Options options)
        : options_(std::move(options))
        , multi_(curl_multi_init())
    {
        VERIFY(multi_ != nullptr);
    }

    ~Implementation()
    {
        for (const auto& [easy, transfer] : transfers_) {
            curl_multi_remove_handle(multi_, easy);
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(multi_);
    }

    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    void begin(const Peer::ProbeTarget& target, bool isLoadRequest)
    {
        auto transfer
            = std::make_unique<Transfer>(Transfer { .target = target, .isLoadRequest = isLoadRequest, .body = {} });
        auto* easy = curl_easy_init();
        VERIFY(easy != nullptr);
        const auto url = "http://" + target.management.toString() + (isLoadRequest ? "/load" : "/health");
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(options_.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_multi_add_handle(multi_, easy);
        transfers_[easy] = std::move(transfer);
    }

    void poll(Base::milliseconds atMost)
    {
        int running = 0;
        curl_multi_perform(multi_, &running);
        finishCompletedTransfers();
        curl_multi_poll(multi_, nullptr, 0, static_cast<int>(atMost.count()), nullptr);
        curl_multi_perform(multi_, &running);
        finishCompletedTransfers();
    }

private:
    static std::size_t appendBody(const char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& body = static_cast<Transfer*>(context)->body;
        const auto bytes = size * count;
        if (body.size() + bytes > maximumResponseBytes)
            return 0;
        body.append(data, bytes);
        return bytes;
    }

    static ProbeOutcome toProbeOutcome(CURL* easy, CURLcode code)
    {
        if (code == CURLE_OPERATION_TIMEDOUT)
            return ProbeOutcome::TimedOut;
        if (code == CURLE_WRITE_ERROR)
            return ProbeOutcome::InvalidResponse;
        if (code != CURLE_OK)
            return ProbeOutcome::ConnectFailed;
        constexpr long statusOk = 200;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        return status == statusOk ? ProbeOutcome::Responded : ProbeOutcome::BadStatus;
    }

    void finishCompletedTransfers()
    {
        int left = 0;
        while (const auto* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg == CURLMSG_DONE)
                finish(message->easy_handle, message->data.result);
        }
    }

    void finish(CURL* easy, CURLcode code)
    {
        auto outcome = toProbeOutcome(easy, code);
        const auto transfer = std::move(transfers_[easy]);
        transfers_.erase(easy);
        curl_multi_remove_handle(multi_, easy);
        curl_easy_cleanup(easy);
        ProbeResponse response;
        if (outcome == ProbeOutcome::Responded) {
            const auto parsed = Base::capture([&] { return parseProbeResponse(transfer->body); });
            outcome = parsed.isOk() ? ProbeOutcome::Responded : ProbeOutcome::InvalidResponse;
            response = parsed.value.value_or(ProbeResponse {});
        }
        if (outcome == ProbeOutcome::Responded && response.healthy && !transfer->isLoadRequest)
            begin(transfer->target, true);
        else
            options_.onFinished(transfer->target, outcome, response);
    }

    Options options_;
    CURLM* multi_;
    std::unordered_map<CURL*, std::unique_ptr<Transfer>> transfers_;
};

ProbeFetcher::ProbeFetcher(Options options)
    : implementation_(std::make_unique<Implementation>(std::move(options)))
{
}

ProbeFetcher::~ProbeFetcher() = default;

void ProbeFetcher::start(const Peer::ProbeTarget& target) { implementation_->begin(target, false); }

void ProbeFetcher::poll(Base::milliseconds atMost) { implementation_->poll(atMost); }

}
