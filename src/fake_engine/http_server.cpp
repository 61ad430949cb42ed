#include "fake_engine/http_server.h"

#include <deque>
#include <utility>

namespace garnethook::fake_engine {
namespace {

std::string headText(int status, const http1::Fields& fields) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\n";
  for (const auto& field : fields) text += field.name + ": " + field.value + "\r\n";
  return text;
}

std::string chunk(std::string_view bytes) {
  char size[20];
  const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return std::string(size, static_cast<std::size_t>(length)).append(bytes).append("\r\n");
}

}  // namespace

class HttpServer::Connection final : public net::StreamEvents,
                                     public http1::MessageEvents,
                                     public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& owner, Poco::Net::StreamSocket socket)
      : owner_(&owner),
        host_(socket.peerAddress().host().toString()),
        parser_(http1::MessageParser::Kind::request, {}, *this),
        trickleTimer_(owner.loop_),
        stream_(owner.loop_, std::move(socket), *this) {}

  void unblock() {
    if (blockedInput_.empty() && blockedOutput_.empty()) return;
    stream_.send(std::exchange(blockedOutput_, {}));
    const std::string bytes = std::exchange(blockedInput_, {});
    if (!bytes.empty()) onBytes(bytes);
  }
  void end(bool abort) {
    if (owner_ == nullptr) return;
    stream_.close(abort);
    detach();
  }

 private:
  class Reply final : public HttpReply {
   public:
    explicit Reply(std::weak_ptr<Connection> connection) : connection_(std::move(connection)) {}
    void send(int status, const http1::Fields& fields, std::string_view body) override {
      write(headText(status, fields) + "content-length: " + std::to_string(body.size()) + "\r\n\r\n" +
            std::string(body));
      done();
    }
    void begin(int status, const http1::Fields& fields) override {
      write(headText(status, fields) + "transfer-encoding: chunked\r\n\r\n");
    }
    void piece(std::string_view bytes) override { write(chunk(bytes)); }
    void end() override {
      write("0\r\n\r\n");
      done();
    }
    void cut() override {
      const auto connection = connection_.lock();
      onDisconnect = nullptr;
      if (connection) connection->end(true);
    }
    bool open() const override {
      return !finished_ && !connection_.expired() && !connection_.lock()->closed_;
    }
    void notifyDisconnect() {
      finished_ = true;
      if (onDisconnect) std::exchange(onDisconnect, nullptr)();
    }

   private:
    void write(const std::string& bytes) {
      if (const auto connection = connection_.lock(); connection && !finished_) connection->write(bytes);
    }
    void done() {
      finished_ = true;
      onDisconnect = nullptr;
      if (const auto connection = connection_.lock()) connection->next();
    }
    std::weak_ptr<Connection> connection_;
    bool finished_ = false;
  };

  bool isBlocked() const { return owner_ != nullptr && owner_->blocksHost && owner_->blocksHost(host_); }

  void onBytes(std::string_view bytes) override {
    if (isBlocked()) {
      if (blockedInput_.size() < (16u << 20)) blockedInput_.append(bytes);
      return;
    }
    const auto self = shared_from_this();
    if (reply_)
      pipelined_.append(bytes);
    else if (!parser_.receive(bytes))
      end(true);
  }
  void onClosed(net::CloseCause) override {
    const auto self = shared_from_this();
    detach();
  }
  void detach() {
    if (std::exchange(closed_, true)) return;
    const auto reply = std::exchange(reply_, nullptr);
    if (reply) reply->notifyDisconnect();
    if (HttpServer* owner = std::exchange(owner_, nullptr)) {
      auto& loop = owner->loop_;
      const auto at = owner->connections_.find(this);
      if (at == owner->connections_.end()) return;
      loop.post([connection = at->second] {});
      owner->connections_.erase(at);
    }
  }
  void onHead(const http1::Head& head) override { request_ = {head, {}}; }
  void onBody(std::string_view bytes) override { request_.body.append(bytes); }
  void onEnd() override {
    reply_ = std::make_shared<Reply>(weak_from_this());
    owner_->handler_(std::exchange(request_, {}), reply_);
  }
  void next() {
    reply_ = nullptr;
    if (!pipelined_.empty() && owner_ != nullptr)
      owner_->loop_.post([connection = shared_from_this()] {
        if (!connection->reply_ && !connection->closed_)
          connection->onBytes(std::exchange(connection->pipelined_, {}));
      });
  }
  void write(const std::string& bytes) {
    if (owner_ == nullptr) return;
    if (isBlocked()) {
      blockedOutput_.append(bytes);
    } else if (owner_->trickle > 0 || !trickleBuffer_.empty()) {
      trickleBuffer_.append(bytes);
      if (!trickleTimer_.running()) sendTrickle();
    } else {
      stream_.send(bytes);
    }
  }
  void sendTrickle() {
    if (trickleBuffer_.empty() || owner_ == nullptr) return;
    const std::size_t length = owner_->trickle > 0 ? 1 : trickleBuffer_.size();
    stream_.send(std::string_view(trickleBuffer_).substr(0, length));
    trickleBuffer_.erase(0, length);
    trickleTimer_.start(std::max<net::Micros>(owner_->trickle, 1000), [this] { sendTrickle(); });
  }

  HttpServer* owner_;
  std::string host_;
  http1::MessageParser parser_;
  HttpRequest request_;
  std::shared_ptr<Reply> reply_;
  std::string pipelined_;  // bytes received after the request that is being answered
  std::string blockedInput_;
  std::string blockedOutput_;
  std::string trickleBuffer_;
  bool closed_ = false;
  timing::Alarm trickleTimer_;
  net::Stream stream_;
};

HttpServer::HttpServer(net::Loop& loop, const Poco::Net::SocketAddress& address, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {
  listener_ = std::make_unique<net::Listener>(loop, address, [this](Poco::Net::StreamSocket socket) {
    auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_[connection.get()] = connection;
  });
}

HttpServer::~HttpServer() { shutDown(); }

void HttpServer::shutDown() {
  if (listener_) listener_->abort();
  const auto connections = connections_;
  for (const auto& [connection, shared] : connections) shared->end(true);
}

void HttpServer::unblock() {
  const auto connections = connections_;
  for (const auto& [connection, shared] : connections) shared->unblock();
}

}  // namespace garnethook::fake_engine
