#pragma once

// The platform's store: range reads, watches, transactions and leases over HTTP/1.1, answers in 4 ms, 20 s of history.

#include "Loop.h"
#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>

namespace Review {

class Store {
public:
    using Json = nlohmann::json;

    /// The store answers at several addresses, one for each machine, so that single machines can be cut off from it.
    Store(Loop& loop, const std::vector<uint32_t>& addresses)
        : loop_(loop)
    {
        for (const auto address : addresses) {
            Front front;
            front.endpoint = { .address = address, .port = findFreePort({ address }) };
            front.listener = bindSocket(SOCK_STREAM, front.endpoint);
            ::listen(front.listener, backlog);
            fronts_.push_back(front);
        }
        for (std::size_t index = 0; index < fronts_.size(); ++index)
            loop_.watch(fronts_[index].listener, [this, index] { accept(index); });
        loop_.every(Ms(20), [this] {
            expireLeases();
            answerWatches();
        });
    }

    const Endpoint& endpoint(std::size_t machine) const { return fronts_[machine].endpoint; }

    /// Cuts a machine off from the store without a reset: its connections go silent, and new ones hang.
    void cutOff(std::size_t machine)
    {
        constexpr int connectionsThatFillTheQueue = 3;
        auto& front = fronts_[machine];
        front.isCutOff = true;
        loop_.unwatch(front.listener);
        for (const auto& [socket, connection] : connections_) {
            if (connection.machine == machine)
                loop_.unwatch(socket);
        }
        ::listen(front.listener, 0);
        const auto native = front.endpoint.native();
        for (int count = 0; count < connectionsThatFillTheQueue; ++count) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::connect(socket, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
            front.fillers.push_back(socket);
        }
    }
    /// Whether the machine waits for changes.
    bool isWatchedBy(std::size_t machine) const
    {
        return std::any_of(connections_.begin(), connections_.end(),
            [machine](const auto& entry) { return entry.second.machine == machine && entry.second.watch.has_value(); });
    }

    /// While the store is down it resets every connection.
    void setDown(bool isDown)
    {
        isDown_ = isDown;
        while (isDown && !connections_.empty())
            close(connections_.begin()->first);
    }
    bool isDown() const { return isDown_; }

    /// Writes by the operator and by targets; the return is the acknowledgement.
    void put(const std::string& key, const Json& value) { putText(key, value.dump(), 0); }
    void remove(const std::string& key)
    {
        if (items_.erase(key) == 0)
            return;
        record({ .key = key, .value = {}, .revision = ++revision_, .isTombstone = true });
    }
    bool contains(const std::string& key) const { return items_.contains(key); }

private:
    struct Item {
        std::string key;
        std::string value;
        uint64_t revision { 0 };
        uint64_t createdRevision { 0 };
        uint64_t lease { 0 };
        bool isTombstone { false };
        Clock::time_point at;
    };
    struct Front {
        Endpoint endpoint;
        int listener { -1 };
        bool isCutOff { false };
        std::vector<int> fillers;
    };
    struct Watch {
        std::string prefix;
        uint64_t after { 0 };
        Clock::time_point until;
    };
    struct Connection {
        uint64_t number { 0 };
        std::size_t machine { 0 };
        std::string received;
        std::optional<Watch> watch;
    };
    struct Lease {
        Ms lifetime { 0 };
        Clock::time_point expiresAt;
    };

    static std::string encodeBase64(const std::string& bytes)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t index = 0; index < bytes.size(); index += 3) {
            const auto count = std::min<std::size_t>(3, bytes.size() - index);
            uint32_t group = 0;
            for (std::size_t part = 0; part < 3; ++part)
                group = (group << 8) | (part < count ? static_cast<uint8_t>(bytes[index + part]) : 0U);
            for (std::size_t part = 0; part < 4; ++part)
                text += part <= count ? digits[(group >> (18 - 6 * part)) & 63] : '=';
        }
        return text;
    }

    static std::string decodeBase64(const std::string& text)
    {
        const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string bytes;
        uint32_t group = 0;
        int bits = 0;
        for (const char digit : text) {
            const auto value = digits.find(digit);
            if (value == std::string::npos)
                break;
            group = (group << 6) | static_cast<uint32_t>(value);
            bits += 6;
            if (bits < 8)
                continue;
            bits -= 8;
            bytes += static_cast<char>((group >> bits) & 255);
        }
        return bytes;
    }

    static std::string queryParameter(const std::string& target, const std::string& name)
    {
        auto begin = target.find("?" + name + "=");
        if (begin == std::string::npos)
            begin = target.find("&" + name + "=");
        if (begin == std::string::npos)
            return {};
        begin += name.size() + 2;
        const auto text = target.substr(begin, target.find('&', begin) - begin);
        std::string value;
        for (std::size_t index = 0; index < text.size(); ++index) {
            const bool isEscape = text[index] == '%' && index + 2 < text.size();
            value += isEscape ? static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16)) : text[index];
            index += isEscape ? 2 : 0;
        }
        return value;
    }

    static Json toJson(const Item& item)
    {
        if (item.isTombstone)
            return { { "key", item.key }, { "revision", item.revision }, { "tombstone", true } };
        return { { "key", item.key }, { "value", encodeBase64(item.value) }, { "revision", item.revision },
            { "created_rev", item.createdRevision }, { "lease", item.lease } };
    }

    void putText(const std::string& key, const std::string& value, uint64_t lease)
    {
        auto& item = items_[key];
        ++revision_;
        const auto created = item.createdRevision != 0 ? item.createdRevision : revision_;
        item = { .key = key, .value = value, .revision = revision_, .createdRevision = created, .lease = lease };
        record(item);
    }

    void record(Item item)
    {
        constexpr std::chrono::seconds historyTime { 20 };
        item.at = Clock::now();
        history_.push_back(std::move(item));
        while (history_.front().at + historyTime < Clock::now()) {
            historyStart_ = history_.front().revision;
            history_.pop_front();
        }
        answerWatches();
    }

    void expireLeases()
    {
        std::vector<uint64_t> expired;
        for (const auto& [id, lease] : leases_) {
            if (lease.expiresAt <= Clock::now())
                expired.push_back(id);
        }
        for (const auto id : expired)
            endLease(id);
    }

    void endLease(uint64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_) {
            if (item.lease == id)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            remove(key);
    }

    void accept(std::size_t machine)
    {
        const int socket = ::accept4(fronts_[machine].listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            return;
        connections_[socket] = { .number = ++nextConnection_, .machine = machine, .received = {}, .watch = {} };
        if (isDown_) {
            close(socket);
            return;
        }
        loop_.watch(socket, [this, socket] { receive(socket); });
    }

    void close(int socket)
    {
        const linger reset { .l_onoff = isDown_ ? 1 : 0, .l_linger = 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        loop_.unwatch(socket);
        connections_.erase(socket);
        ::close(socket);
    }

    void receive(int socket)
    {
        std::string buffer(16384, '\0');
        const auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            if (count == 0 || errno != EAGAIN)
                close(socket);
            return;
        }
        auto& received = connections_[socket].received;
        received.append(buffer.data(), static_cast<std::size_t>(count));
        const auto headEnd = received.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        std::size_t bodyBytes = 0;
        const auto length = received.find("Content-Length: ");
        if (length != std::string::npos && length < headEnd)
            bodyBytes = std::stoul(received.substr(length + 16));
        if (received.size() < headEnd + 4 + bodyBytes)
            return;
        const auto methodEnd = received.find(' ');
        const auto method = received.substr(0, methodEnd);
        const auto target = received.substr(methodEnd + 1, received.find(' ', methodEnd + 1) - methodEnd - 1);
        const auto body = received.substr(headEnd + 4, bodyBytes);
        received.erase(0, headEnd + 4 + bodyBytes);
        handle(socket, method, target, body);
    }

    void handle(int socket, const std::string& method, const std::string& target, const std::string& body)
    {
        const std::string keep = "/eelgrasshatch/kv-keep/";
        const std::string end = "/eelgrasshatch/kv-lease-end/";
        if (target.starts_with("/eelgrasshatch/kv-range"))
            readRange(socket, queryParameter(target, "prefix"), queryParameter(target, "after"));
        else if (target.starts_with("/eelgrasshatch/kv-watch"))
            startWatch(socket, target);
        else if (target == "/eelgrasshatch/kv-txn" && method == "POST")
            transact(socket, Json::parse(body));
        else if (target == "/eelgrasshatch/kv-lease" && method == "POST")
            grantLease(socket, Ms(Json::parse(body).at("ttl_ms").get<int64_t>()));
        else if (target.starts_with(keep))
            keepLease(socket, std::stoull(target.substr(keep.size())));
        else if (target.starts_with(end)) {
            endLease(std::stoull(target.substr(end.size())));
            respond(socket, 200, Json::object());
        } else {
            respond(socket, 404, Json::object());
        }
    }

    void readRange(int socket, const std::string& prefix, const std::string& after)
    {
        constexpr std::size_t pageItems = 500;
        Json items = Json::array();
        bool hasMore = false;
        for (auto entry = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
             entry != items_.end() && entry->first.starts_with(prefix); ++entry) {
            hasMore = items.size() == pageItems;
            if (hasMore)
                break;
            items.push_back(toJson(entry->second));
        }
        respond(socket, 200, { { "items", items }, { "more_pages", hasMore }, { "current_rev", revision_ } });
    }

    void startWatch(int socket, const std::string& target)
    {
        connections_[socket].watch = Watch { .prefix = queryParameter(target, "prefix"),
            .after = std::stoull(queryParameter(target, "after")),
            .until = Clock::now() + Ms(std::stoll(queryParameter(target, "wait_ms"))) };
        answerWatches();
    }

    void answerWatches()
    {
        for (auto& [socket, connection] : connections_) {
            if (!connection.watch || fronts_[connection.machine].isCutOff)
                continue;
            const auto watch = *connection.watch;
            if (watch.after < historyStart_) {
                connection.watch.reset();
                respond(socket, 410, Json::object());
                continue;
            }
            Json events = Json::array();
            for (const auto& item : history_) {
                if (item.revision > watch.after && item.key.starts_with(watch.prefix))
                    events.push_back(toJson(item));
            }
            if (events.empty() && Clock::now() < watch.until)
                continue;
            connection.watch.reset();
            respond(socket, 200, { { "events", events }, { "current_rev", revision_ } });
        }
    }

    void transact(int socket, const Json& body)
    {
        for (const auto& row : body.at("expected_rev")) {
            const auto found = items_.find(row.at("key").get<std::string>());
            const uint64_t current = found != items_.end() ? found->second.revision : 0;
            if (current != row.at("revision").get<uint64_t>()) {
                respond(socket, 412, { { "items", Json::array() } });
                return;
            }
        }
        for (const auto& row : body.at("puts")) {
            const auto lease = row.at("lease").get<uint64_t>();
            if (lease != 0 && !leases_.contains(lease)) {
                respond(socket, 404, Json::object());
                return;
            }
        }
        for (const auto& row : body.at("puts"))
            putText(row.at("key").get<std::string>(), decodeBase64(row.at("value").get<std::string>()),
                row.at("lease").get<uint64_t>());
        for (const auto& key : body.at("remove"))
            remove(key.get<std::string>());
        respond(socket, 200, { { "revision", revision_ } });
    }

    void grantLease(int socket, Ms lifetime)
    {
        leases_[++nextLease_] = { .lifetime = lifetime, .expiresAt = Clock::now() + lifetime };
        respond(socket, 200, { { "lease", nextLease_ }, { "ttl_ms", lifetime.count() } });
    }

    void keepLease(int socket, uint64_t id)
    {
        const auto found = leases_.find(id);
        if (found == leases_.end()) {
            respond(socket, 404, Json::object());
            return;
        }
        found->second.expiresAt = Clock::now() + found->second.lifetime;
        respond(socket, 200, { { "ttl_ms", found->second.lifetime.count() } });
    }

    void respond(int socket, int status, const Json& body)
    {
        constexpr Ms answerTime { 4 };
        const auto text = body.dump();
        auto message = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(text.size()) + "\r\n\r\n" + text;
        loop_.after(answerTime, [this, socket, number = connections_[socket].number, message = std::move(message)] {
            const auto found = connections_.find(socket);
            if (found == connections_.end() || found->second.number != number
                || fronts_[found->second.machine].isCutOff)
                return;
            std::size_t sent = 0;
            while (sent < message.size()) {
                const auto count = ::send(socket, message.data() + sent, message.size() - sent, MSG_NOSIGNAL);
                if (count < 0 && errno != EAGAIN)
                    return;
                sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            }
        });
    }

    static constexpr int backlog = 64;

    Loop& loop_;
    std::vector<Front> fronts_;
    bool isDown_ { false };
    std::map<std::string, Item> items_;
    std::deque<Item> history_;
    uint64_t historyStart_ { 0 };
    uint64_t revision_ { 1 };
    std::map<uint64_t, Lease> leases_;
    uint64_t nextLease_ { 1000 };
    std::map<int, Connection> connections_;
    uint64_t nextConnection_ { 0 };
};

}
