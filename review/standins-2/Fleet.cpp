#include "Fleet.h"

#include <LibHttp/HttpClient.h>
#include <LibPeer/Sockets.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <iomanip>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    using StandIn::FlowPacket;

    constexpr Base::milliseconds readinessInterval { 500 };
    constexpr Base::milliseconds readinessTimeout { 400 };
    constexpr int missesOutOfRotation = 2;
    constexpr uint32_t statusOk = 200;

    constexpr unsigned slotCount = 2;
    constexpr std::size_t queueLimit = 8;
    constexpr std::size_t serverNumberBytes = 8;
    constexpr std::size_t datagramBytes = 2048;

    constexpr std::array<Base::milliseconds, 2> copyTimes { Base::milliseconds(200), Base::milliseconds(600) };
    constexpr Base::milliseconds attemptTimeout { 1400 };
    constexpr Base::milliseconds firstInterval { 200 };
    constexpr Base::milliseconds longestInterval { 1600 };
    constexpr Base::milliseconds requestTimeout { 10'000 };
    constexpr Base::milliseconds tickInterval { 2 };
    /// A reset of the system's own on an open flow has a sequence number this close to the caller's last `ack`.
    constexpr uint32_t resetWindow = 76'800;

    sockaddr_in socketAddress(const Base::Ipv4Endpoint& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(endpoint.address.value);
        address.sin_port = htons(endpoint.port);
        return address;
    }

    constexpr std::size_t responseBytes = 600;

    std::string requestId(const std::string& message)
    {
        constexpr std::string_view header = "X-Request-Id: ";
        const auto begin = message.find(header);
        if (begin == std::string::npos)
            return {};
        const auto value = message.substr(begin + header.size());
        return value.substr(0, value.find('\r'));
    }

    std::string responseText(const std::string& status, const std::string& request, std::size_t bytes)
    {
        return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request + "\r\nContent-Length: " + std::to_string(bytes)
            + "\r\n\r\n" + std::string(bytes, 'x');
    }

    uint64_t readNumber(std::span<const uint8_t> bytes)
    {
        uint64_t number = 0;
        for (const auto byte : bytes)
            number = (number << 8) | byte;
        return number;
    }

}

Base::Ipv4Address loopback(unsigned subnet, std::size_t index)
{
    // Cases that run at the same time use different networks.
    constexpr uint32_t networkCount = 200;
    static const uint32_t network = 10 + static_cast<uint32_t>(::getpid()) % networkCount;
    return { (127U << 24) | (network << 16) | (subnet << 8) | static_cast<uint32_t>(index + 1) };
}

void sendDatagram(int socket, const Base::Ipv4Endpoint& to, const std::vector<uint8_t>& bytes)
{
    const auto address = socketAddress(to);
    ::sendto(
        socket, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

uint16_t findFreePort(const std::vector<Base::Ipv4Address>& addresses)
{
    constexpr int tries = 200;
    for (int attempt = 0; attempt < tries; ++attempt) {
        std::vector<int> sockets;
        uint16_t port = 0;
        for (const auto& address : addresses) {
            const auto socket
                = Base::capture([&] { return Peer::bindUdp({ .address = address, .port = port }, false); });
            if (!socket.isOk())
                break;
            sockets.push_back(*socket.value);
            port = Peer::localEndpoint(*socket.value).port;
        }
        const bool isFree = sockets.size() == addresses.size();
        for (const int socket : sockets)
            ::close(socket);
        if (isFree)
            return port;
    }
    return 0;
}

Record::Record(const std::string& file)
    : file_(file)
    , startedAt_(std::chrono::steady_clock::now())
{
}

double Record::milliseconds() const
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt_).count();
}

void Record::write(const std::string& line)
{
    file_ << std::fixed << std::setprecision(1) << milliseconds() << " " << line << "\n" << std::flush;
}

EntryVm::EntryVm(Options options)
    : options_(std::move(options))
{
    writeSettings();
    checker_ = std::thread([this] { checkReadiness(); });
}

EntryVm::~EntryVm()
{
    stopping_.store(true);
    if (process_ > 0) {
        ::kill(process_, SIGCONT);
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
    checker_.join();
}

void EntryVm::writeSettings() const
{
    const auto endpoint = [&](uint16_t port) {
        return nlohmann::json { { "endpoint", Base::Ipv4Endpoint { options_.address, port }.toString() } };
    };
    auto regions = nlohmann::json::array();
    for (const auto& zone : options_.zones)
        regions.push_back(zone + "=midlands");
    auto control = endpoint(options_.firstInternalPort);
    control["keys"] = { "replace-this-key-before-deployment" };
    const nlohmann::json settings { { "name", options_.name }, { "failure_domain", options_.zone },
        { "regions", regions }, { "control", control }, { "data", endpoint(options_.dataPort) },
        { "reports", endpoint(options_.firstInternalPort) },
        { "readiness", endpoint(static_cast<uint16_t>(options_.firstInternalPort + 2)) },
        { "metrics", endpoint(static_cast<uint16_t>(options_.firstInternalPort + 1)) },
        { "store", { { "endpoint", options_.store.toString() } } },
        { "limits", { { "flow_lifetime_s", 60 }, { "link_megabits", 1000.0 } } },
        { "warm_up", { { "overshoot", 1.5 }, { "slack", 5 } } }, { "stop", { { "grace_s", options_.graceSeconds } } } };
    std::ofstream(options_.folder + "/" + options_.name + ".json") << settings.dump(4);
}

void EntryVm::start()
{
    const auto settings = options_.folder + "/" + options_.name + ".json";
    const auto output = options_.folder + "/" + options_.name + ".log";
    process_ = ::fork();
    if (process_ != 0)
        return;
    const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    // The process must not outlive a case that is ended from outside.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("EELGRASSHATCH_BOOT", settings.c_str(), 1);
    ::execl(options_.program.c_str(), options_.program.c_str(), nullptr);
    ::_exit(127);
}

void EntryVm::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

bool EntryVm::reapIfExited(int& code)
{
    int status = 0;
    if (process_ <= 0 || ::waitpid(process_, &status, WNOHANG) != process_)
        return false;
    process_ = -1;
    code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
}

void EntryVm::checkReadiness()
{
    Http::HttpClient client({ .server = { options_.address, static_cast<uint16_t>(options_.firstInternalPort + 2) },
        .connectTimeout = readinessTimeout });
    int misses = missesOutOfRotation;
    auto next = std::chrono::steady_clock::now();
    while (!stopping_.load()) {
        const auto response
            = Base::capture([&] { return client.call({ .target = "/eelgrasshatch/readiness" }, readinessTimeout); });
        misses = response.isOk() && response.value->status == statusOk ? 0 : misses + 1;
        inRotation_.store(misses < missesOutOfRotation);
        next += readinessInterval;
        std::this_thread::sleep_until(next);
    }
}

Server::Server(StandIn::EventLoop& loop, StandIn::RecordStore& records, Record& record, Options options)
    : loop_(loop)
    , records_(records)
    , record_(record)
    , options_(std::move(options))
    , random_(options_.number)
{
    socket_ = Peer::bindUdp({ .address = options_.address, .port = 0 }, false).value();
    endpoint_ = Peer::localEndpoint(socket_);
    listener_ = Peer::listenTcp(endpoint_).value();
    loop_.watch(socket_, [this] { receive(); });
    loop_.watch(listener_, [this] { acceptConnections(); });
}

Server::~Server()
{
    loop_.unwatch(socket_);
    loop_.unwatch(listener_);
    ::close(socket_);
    ::close(listener_);
}

std::string Server::id() const
{
    std::array<char, 20> text {};
    std::snprintf(text.data(), text.size(), "i-%08llx", static_cast<unsigned long long>(options_.number));
    return text.data();
}

void Server::enroll()
{
    born_ = std::chrono::duration_cast<Base::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const nlohmann::json entry { { "service", options_.service }, { "address", endpoint_.toString() },
        { "zone", options_.zone }, { "version", "v1" }, { "concurrency", slotCount }, { "state", "ready" },
        { "warmup_left_ms", options_.warmUpLeft.count() }, { "sequence", 1 }, { "born", born_ } };
    records_.put("servers/" + id(), entry.dump());
    record_.write("server " + id() + " enrolled at " + endpoint_.toString());
}

bool Server::holdsOpen(const Base::Ipv4Endpoint& caller) const
{
    const auto found = flows_.find(caller);
    return found != flows_.end() && found->second.isOpen && !found->second.isEnded;
}

void Server::acceptConnections()
{
    for (;;) {
        const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        ::close(connection);
    }
}

void Server::receive()
{
    std::array<uint8_t, datagramBytes> buffer {};
    for (;;) {
        const auto count = ::recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < static_cast<ssize_t>(serverNumberBytes))
            return;
        const auto bytes = std::span(buffer).first(static_cast<std::size_t>(count));
        const auto number = readNumber(bytes.first(serverNumberBytes));
        if (number != 0 && number != options_.number)
            continue;
        const auto packet = FlowPacket::read(bytes.subspan(serverNumberBytes));
        if (packet && packet->isChecksumValid)
            handlePacket(*packet);
    }
}

void Server::send(const FlowPacket& packet) const
{
    sendDatagram(socket_, { .address = packet.to.address, .port = options_.callerPort }, packet.write());
}

void Server::handleFirstPacket(const FlowPacket& packet)
{
    auto& flow = flows_[packet.from];
    if (flow.ownSequence == 0 || flow.callerSequence != packet.sequence) {
        flow = { .callerSequence = packet.sequence,
            .ownSequence = static_cast<uint32_t>(random_.below(0xFFFF'FFFE)) + 1,
            .takenAt = record_.milliseconds(),
            .route = packet.to };
        record_.write("server " + id() + " takes the opening packet of " + packet.from.toString());
    }
    flow.echo = packet.echo;
    send({ .from = packet.to,
        .to = packet.from,
        .sequence = flow.ownSequence,
        .acknowledged = packet.sequence + 1,
        .echo = flow.echo,
        .isSyn = true,
        .isAck = true });
}

void Server::handlePacket(const FlowPacket& packet)
{
    if (packet.isSyn) {
        handleFirstPacket(packet);
        return;
    }
    const auto found = flows_.find(packet.from);
    const bool isHeld = found != flows_.end() && packet.acknowledged - found->second.ownSequence - 1 < 0x4000'0000;
    if (!isHeld) {
        if (!packet.isReset)
            send({ .from = packet.to, .to = packet.from, .sequence = packet.acknowledged, .isReset = true });
        return;
    }
    auto& flow = found->second;
    flow.echo = packet.echo;
    if (!flow.isOpen) {
        flow.isOpen = true;
        openings_.push_back({ .caller = packet.from, .takenAt = flow.takenAt });
        record_.write("server " + id() + " has the end of the handshake of " + packet.from.toString());
    }
    if (packet.isReset) {
        flow.isEnded = true;
        return;
    }
    if (!packet.data.empty())
        handleRequest(flow, packet);
    if (!packet.isFin)
        return;
    flow.isEnded = true;
    // The response that is still due carries the FIN.
    if (flow.isRunning)
        return;
    send({ .from = flow.route,
        .to = packet.from,
        .sequence = flow.nextSequence,
        .acknowledged = packet.sequence + 1,
        .echo = flow.echo,
        .isAck = true,
        .isFin = true });
}

void Server::handleRequest(Flow& flow, const FlowPacket& packet)
{
    const auto end = packet.sequence + static_cast<uint32_t>(packet.data.size());
    if (flow.requestEnd != 0 && static_cast<int32_t>(end - flow.requestEnd) <= 0) {
        if (!flow.isRunning)
            respond(packet.from, flow);
        return;
    }
    if (flow.isRunning)
        return;
    flow.requestEnd = end;
    if (flow.nextSequence == 0)
        flow.nextSequence = flow.ownSequence + 1;
    const auto request = requestId(packet.data);
    if (busySlots_ >= slotCount && queue_.size() >= queueLimit) {
        setResponse(flow, responseText("503 Service Unavailable\r\nX-Not-Executed: 1", request, 0));
        record_.write("server " + id() + " rejects " + request + " without running it");
        respond(packet.from, flow);
        return;
    }
    flow.isRunning = true;
    const Job job { .caller = packet.from, .request = request };
    if (busySlots_ < slotCount)
        begin(job);
    else
        queue_.push_back(job);
}

void Server::begin(const Job& job)
{
    ++busySlots_;
    ++runs_[job.request];
    record_.write("server " + id() + " runs " + job.request);
    loop_.after(options_.workTime, [this, job] { finish(job); });
}

void Server::finish(const Job& job)
{
    --busySlots_;
    if (!queue_.empty()) {
        const auto next = queue_.front();
        queue_.pop_front();
        begin(next);
    }
    auto& flow = flows_[job.caller];
    flow.isRunning = false;
    setResponse(flow, responseText("200 OK\r\nX-Server-Seal: " + id(), job.request, responseBytes));
    respond(job.caller, flow);
}

void Server::setResponse(Flow& flow, const std::string& response)
{
    flow.response = response;
    flow.responseSequence = flow.nextSequence;
    flow.nextSequence += static_cast<uint32_t>(response.size());
}

void Server::respond(const Base::Ipv4Endpoint& caller, Flow& flow)
{
    send({ .from = flow.route,
        .to = caller,
        .sequence = flow.responseSequence,
        .acknowledged = flow.requestEnd + (flow.isEnded ? 1 : 0),
        .echo = flow.echo,
        .isAck = true,
        .isFin = flow.isEnded,
        .data = flow.response });
}

Caller::Caller(StandIn::EventLoop& loop, Record& record, const std::vector<std::unique_ptr<EntryVm>>& entryVms,
    const std::vector<std::unique_ptr<Server>>& servers, Options options)
    : loop_(loop)
    , record_(record)
    , entryVms_(entryVms)
    , servers_(servers)
    , options_(std::move(options))
    , random_(options_.seed)
{
    socket_ = Peer::bindUdp({ .address = options_.address, .port = options_.port }, false).value();
    loop_.watch(socket_, [this] { receive(); });
    loop_.every(tickInterval, [this] { tick(); });
    scheduleNext();
}

Caller::~Caller()
{
    loop_.unwatch(socket_);
    ::close(socket_);
}

void Caller::scheduleNext()
{
    // Between half and one and a half of the mean interval.
    constexpr uint64_t steps = 1000;
    const double factor = 0.5 + static_cast<double>(random_.below(steps)) / steps;
    const std::chrono::duration<double> pause(factor / options_.requestsPerSecond);
    loop_.after(std::chrono::duration_cast<Base::nanoseconds>(pause), [this] {
        if (isStopping_)
            return;
        startAttempt(options_.address.toString() + "-" + std::to_string(++started_), 0);
        scheduleNext();
    });
}

void Caller::startAttempt(const std::string& request, unsigned attempt)
{
    ++lastPort_;
    const Base::Ipv4Endpoint self { .address = options_.address, .port = lastPort_ };
    Flow flow { .first = { .from = self,
                    .to = options_.route,
                    .sequence = static_cast<uint32_t>(random_.below(0xFFFF'FFFF)),
                    .isSyn = true },
        .request = request,
        .attempt = attempt,
        .startedAt = loop_.now(),
        .requestsLeft = options_.requestsPerFlow };
    outcomes_.try_emplace(requestId(requestText(flow)), Outcome { .sentAt = record_.milliseconds() });
    record_.write("caller " + self.toString() + " opens a flow for " + request);
    flows_[lastPort_] = flow;
    sendTimes_[self] = record_.milliseconds();
    send(flow.first);
}

const EntryVm* Caller::route(const FlowPacket& packet) const
{
    std::vector<const EntryVm*> all;
    std::vector<const EntryVm*> own;
    std::vector<const EntryVm*> others;
    for (const auto& vm : entryVms_) {
        const bool isOwnZone = vm->options().zone == options_.zone;
        if (isOwnZone)
            all.push_back(vm.get());
        if (vm->isInRotation())
            (isOwnZone ? own : others).push_back(vm.get());
    }
    const auto& candidates = own.empty() ? others : own.size() * 2 < all.size() ? all : own;
    const EntryVm* best = nullptr;
    uint64_t bestRank = 0;
    for (const auto* vm : candidates) {
        const auto rank = Base::mix(
            Base::mix(packet.from.packed(), packet.to.packed()), static_cast<uint64_t>(vm->options().address.value));
        if (best == nullptr || rank > bestRank) {
            best = vm;
            bestRank = rank;
        }
    }
    return best;
}

void Caller::send(const FlowPacket& packet)
{
    const auto* vm = route(packet);
    if (vm == nullptr)
        return;
    if (packet.isSyn)
        record_.write("router sends copy " + std::to_string(packet.acknowledged) + " of the first packet of "
            + packet.from.toString() + " to " + vm->options().name);
    sendDatagram(socket_, { .address = vm->options().address, .port = vm->options().dataPort }, packet.write());
}

void Caller::tick()
{
    std::vector<std::pair<uint16_t, std::string>> ended;
    for (auto& [port, flow] : flows_) {
        const auto age = loop_.now() - flow.startedAt;
        if (flow.isOpen) {
            if (age >= requestTimeout) {
                ended.emplace_back(port, "no answer within the deadline");
            } else if (loop_.now() >= flow.retransmitAt) {
                sendRequest(flow);
            }
        } else if (age >= attemptTimeout) {
            ended.emplace_back(port, "no handshake");
        } else if (flow.copies < copyTimes.size() && age >= copyTimes[flow.copies]) {
            ++flow.copies;
            auto copy = flow.first;
            copy.acknowledged = flow.copies;
            send(copy);
        }
    }
    for (const auto& [port, reason] : ended)
        endAttempt(port, reason, !flows_[port].isOpen || !options_.isUnsafe);
}

std::string Caller::requestText(const Flow& flow) const
{
    const bool isLast = flow.requestsLeft == 1;
    return "POST /claim HTTP/1.1\r\nX-Request-Id: " + flow.request
        + (isLast ? "" : "-" + std::to_string(flow.requestsLeft)) + "\r\nContent-Length: 0\r\n\r\n";
}

void Caller::sendRequest(Flow& flow)
{
    flow.retransmitAt = loop_.now() + flow.interval;
    flow.interval = std::min(flow.interval * 2, longestInterval);
    send({ .from = flow.first.from,
        .to = flow.first.to,
        .sequence = flow.sequence,
        .acknowledged = flow.acknowledged,
        .echo = flow.echo,
        .isAck = true,
        .isFin = options_.isHalfClosing && flow.requestsLeft == 1,
        .data = requestText(flow) });
}

void Caller::receive()
{
    std::array<uint8_t, datagramBytes> buffer {};
    for (;;) {
        const auto count = ::recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count <= 0)
            return;
        const auto packet = FlowPacket::read(std::span(buffer).first(static_cast<std::size_t>(count)));
        if (packet)
            handlePacket(*packet);
    }
}

void Caller::handlePacket(const FlowPacket& packet)
{
    const auto found = flows_.find(packet.to.port);
    if (found == flows_.end() || (!packet.isChecksumValid && !packet.hasZeroChecksum))
        return;
    auto& flow = found->second;
    if (packet.isReset) {
        handleReset(packet.to.port, flow, packet);
        return;
    }
    flow.echo = packet.echo;
    if (packet.isSyn && !flow.isOpen) {
        flow.isOpen = true;
        flow.sequence = flow.first.sequence + 1;
        flow.acknowledged = packet.sequence + 1;
        sendRequest(flow);
        return;
    }
    // The start of another server's handshake, or of the same once more.
    if (packet.isSyn || packet.data.empty())
        return;
    if (packet.sequence != flow.acknowledged || requestId(packet.data) != requestId(requestText(flow)))
        return;
    handleResponse(packet.to.port, flow, packet);
}

void Caller::handleResponse(uint16_t port, Flow& flow, const FlowPacket& packet)
{
    constexpr std::size_t statusOffset = 9;
    constexpr std::size_t statusLength = 3;
    const auto status = packet.data.substr(statusOffset, statusLength);
    record_.write("caller " + flow.first.from.toString() + " gets " + status + " for " + requestId(packet.data));
    flow.sequence += static_cast<uint32_t>(requestText(flow).size());
    flow.acknowledged += static_cast<uint32_t>(packet.data.size());
    const bool isServed = status == "200";
    if (isServed) {
        outcomes_[requestId(packet.data)].isServed = true;
        ++served_;
    }
    if (isServed && flow.requestsLeft > 1) {
        --flow.requestsLeft;
        flow.interval = firstInterval;
        flow.startedAt = loop_.now();
        outcomes_.try_emplace(requestId(requestText(flow)), Outcome { .sentAt = record_.milliseconds() });
        sendRequest(flow);
        return;
    }
    const bool isClosed = options_.isHalfClosing && flow.requestsLeft == 1;
    send({ .from = flow.first.from,
        .to = flow.first.to,
        .sequence = flow.sequence + (isClosed ? 1 : 0),
        .acknowledged = flow.acknowledged + (packet.isFin ? 1 : 0),
        .echo = flow.echo,
        .isAck = true,
        .isFin = !isClosed });
    if (!isServed) {
        endAttempt(port, "rejected without being run", true);
        return;
    }
    flows_.erase(port);
}

void Caller::handleReset(uint16_t port, Flow& flow, const FlowPacket& packet)
{
    const auto self = flow.first.from;
    if (packet.hasZeroChecksum) {
        const auto holder = std::ranges::find_if(servers_, [&](const auto& server) { return server->holdsOpen(self); });
        const auto distance = packet.sequence - flow.acknowledged;
        const bool isInWindow = distance <= resetWindow || -distance <= resetWindow;
        record_.write("caller " + self.toString() + " gets a reset of the system's own, sequence "
            + std::to_string(packet.sequence) + (flow.isOpen && !isInWindow ? ", outside the window" : "")
            + (holder != servers_.end() ? ", while " + (*holder)->id() + " holds the flow open" : ""));
        if (holder != servers_.end())
            foreignResets_.push_back({ .caller = self, .request = flow.request, .server = (*holder)->id() });
        // On an open flow such a packet is none that the system may send; the flow goes on.
        if (flow.isOpen && !isInWindow)
            return;
    }
    endAttempt(port, "reset", !flow.isOpen || !options_.isUnsafe);
}

void Caller::endAttempt(uint16_t port, const std::string& reason, bool mayRetry)
{
    const auto flow = flows_[port];
    flows_.erase(port);
    record_.write("attempt " + flow.first.from.toString() + " for " + flow.request + " ends: " + reason);
    if (mayRetry && flow.attempt < options_.retries) {
        startAttempt(flow.request, flow.attempt + 1);
        return;
    }
    ++failed_;
    record_.write("request " + flow.request + " fails");
}

}
