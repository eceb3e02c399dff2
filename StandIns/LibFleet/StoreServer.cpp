#include <LibFleet/StoreServer.h>

#include <LibPeer/Sockets.h>
#include <boost/beast/http.hpp>
#include <openssl/evp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

    namespace http = boost::beast::http;
    using Json = nlohmann::json;

    constexpr std::size_t itemsPerPage = 50;
    constexpr Base::milliseconds minimumResponseDelay { 2 };

    std::string encodeBase64(const std::string& bytes)
    {
        std::string text(((bytes.size() + 2) / 3) * 4 + 1, '\0');
        text.resize(static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
        return text;
    }

    std::string decodeBase64(std::string text)
    {
        std::string bytes((text.size() / 4) * 3, '\0');
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        while (!text.empty() && text.back() == '=') {
            text.pop_back();
            bytes.pop_back();
        }
        return bytes;
    }

    /// Returns the percent-decoded value of a query parameter, or an empty string if it is missing.
    std::string queryParameter(const std::string& target, const std::string& name)
    {
        const auto begin = target.find(name + "=");
        if (begin == std::string::npos)
            return {};
        const auto text = target.substr(begin + name.size() + 1, target.find('&', begin) - begin - name.size() - 1);
        std::string value;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] != '%') {
                value += text[index];
                continue;
            }
            value += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        }
        return value;
    }

    uint64_t parseNumberAfter(const std::string& target, const std::string& path)
    {
        return std::strtoull(target.c_str() + path.size(), nullptr, 10);
    }

}

StoreServer::StoreServer(EventLoop& loop, RecordStore& records, Base::Ipv4Address address)
    : loop_(loop)
    , records_(records)
    , listener_(Peer::listenTcp({ .address = address, .port = 0 }).value())
    , endpoint_(Peer::localEndpoint(listener_))
{
    loop_.watch(listener_, [this] { accept(); });
}

StoreServer::~StoreServer()
{
    while (!connections_.empty())
        close(connections_.begin()->first);
    loop_.unwatch(listener_);
    ::close(listener_);
}

void StoreServer::setFault(const StoreFault& fault)
{
    fault_ = fault;
    // Closes all connections: requests left without a response, and all watches, end with them.
    while (!connections_.empty())
        close(connections_.begin()->first);
}

void StoreServer::accept()
{
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0)
        return;
    connections_[socket];
    loop_.watch(socket, [this, socket] { receive(socket); });
}

void StoreServer::close(int socket)
{
    if (fault_.resetsConnections) {
        const linger reset { .l_onoff = 1, .l_linger = 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    loop_.unwatch(socket);
    connections_.erase(socket);
    ::close(socket);
}

void StoreServer::receive(int socket)
{
    std::array<char, 16384> buffer {};
    const auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (count <= 0 || fault_.resetsConnections) {
        if (count != -1 || errno != EAGAIN)
            close(socket);
        return;
    }
    auto& connection = connections_[socket];
    connection.received.append(buffer.data(), static_cast<std::size_t>(count));
    while (connections_.contains(socket) && handleNext(socket, connection)) { }
}

bool StoreServer::handleNext(int socket, Connection& connection)
{
    if (connection.received.empty())
        return false;
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    const auto consumed = parser.put(boost::asio::buffer(connection.received), error);
    if (error || !parser.is_done())
        return false;
    connection.received.erase(0, consumed);
    const auto& request = parser.get();
    ++callCount_;
    handle(socket, connection, std::string(request.method_string()), std::string(request.target()), request.body());
    return true;
}

Json StoreServer::itemJson(const RecordStore::Item& item) const
{
    if (item.isDeletion)
        return { { "key", item.key }, { "revision", item.revision }, { "tombstone", true } };
    return { { "key", item.key }, { "value", encodeBase64(item.value) }, { "revision", item.revision },
        { "created_rev", item.createdRevision }, { "lease", item.lease } };
}

void StoreServer::handle(
    int socket, Connection& connection, const std::string& method, const std::string& target, const std::string& body)
{
    if (fault_.isUnresponsive)
        return;
    if (fault_.isUnavailable) {
        respond(socket, 503, Json::object());
        return;
    }
    const std::string keepAlivePath = "/eelgrasshatch/kv-keep/";
    const std::string revokePath = "/eelgrasshatch/kv-lease-end/";
    if (target.starts_with("/eelgrasshatch/kv-range")) {
        bool hasMore = false;
        Json items = Json::array();
        for (const auto& item :
            records_.range(queryParameter(target, "prefix"), queryParameter(target, "after"), itemsPerPage, hasMore))
            items.push_back(itemJson(item));
        respond(socket, 200, { { "items", items }, { "more_pages", hasMore }, { "current_rev", records_.revision() } });
    } else if (target.starts_with("/eelgrasshatch/kv-watch")) {
        const auto wait = Base::milliseconds(std::stoll(queryParameter(target, "wait_ms")));
        connection.watch = Watch { .prefix = queryParameter(target, "prefix"),
            .after = std::stoull(queryParameter(target, "after")),
            .deadline = loop_.now() + wait };
        completeWatches();
    } else if (target.starts_with("/eelgrasshatch/kv-txn") && method == "POST") {
        handleWrite(socket, Json::parse(body));
    } else if (target == "/eelgrasshatch/kv-lease") {
        const auto lifetime = Base::milliseconds(Json::parse(body).at("ttl_ms").get<int64_t>());
        const auto lease = records_.grantLease(loop_.now(), lifetime);
        if (!fault_.dropsWriteResponses)
            respond(socket, 200, { { "lease", lease }, { "ttl_ms", lifetime.count() } });
    } else if (target.starts_with(keepAlivePath)) {
        const auto lifetime = records_.renewLease(loop_.now(), parseNumberAfter(target, keepAlivePath));
        respond(socket, lifetime ? 200 : 404, { { "ttl_ms", lifetime ? lifetime->count() : 0 } });
    } else if (target.starts_with(revokePath)) {
        records_.revokeLease(parseNumberAfter(target, revokePath));
        respond(socket, 200, Json::object());
    } else {
        respond(socket, 404, Json::object());
    }
}

void StoreServer::handleWrite(int socket, const Json& body)
{
    for (const auto& row : body.at("expected_rev")) {
        const auto* item = records_.find(row.at("key"));
        const uint64_t current = item != nullptr ? item->revision : 0;
        if (current != row.at("revision").get<uint64_t>()) {
            respond(socket, 412, { { "items", Json::array() } });
            return;
        }
    }
    for (const auto& row : body.at("puts")) {
        const auto lease = row.at("lease").get<uint64_t>();
        if (lease != 0 && !records_.hasLease(lease)) {
            respond(socket, 404, Json::object());
            return;
        }
        records_.put(row.at("key"), decodeBase64(row.at("value")), lease);
    }
    if (!fault_.dropsWriteResponses)
        respond(socket, 200, { { "revision", records_.revision() } });
}

void StoreServer::completeWatches()
{
    if (fault_.isUnresponsive || fault_.isUnavailable)
        return;
    std::vector<int> sockets;
    for (const auto& [socket, connection] : connections_) {
        if (connection.watch)
            sockets.push_back(socket);
    }
    for (const int socket : sockets) {
        auto& connection = connections_[socket];
        const auto changes = records_.changesAfter(connection.watch->prefix, connection.watch->after);
        if (changes && changes->empty() && loop_.now() < connection.watch->deadline)
            continue;
        connection.watch.reset();
        Json events = Json::array();
        if (changes) {
            for (const auto& item : *changes)
                events.push_back(itemJson(item));
        }
        respond(socket, changes ? 200 : 410, { { "events", events }, { "current_rev", records_.revision() } });
    }
}

void StoreServer::respond(int socket, unsigned status, const Json& body)
{
    const auto text = body.dump();
    const auto era = fault_.statedEra.value_or(std::to_string(records_.era()));
    const auto message = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n"
        + (era.empty() ? "" : "Store-Era: " + era + "\r\n") + "Content-Length: " + std::to_string(text.size())
        + "\r\n\r\n" + text;
    loop_.after(std::max(minimumResponseDelay, fault_.delay), [this, socket, message] {
        if (!connections_.contains(socket))
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

}
