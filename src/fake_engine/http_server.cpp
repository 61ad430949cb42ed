#include "fake_engine/http_server.h"

#include <deque>
#include <utility>

namespace garnethook::fake_engine {
namespace {

std::string headText(int status, const http1::Fields& fields) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\n";
  for (const auto& f : fields) out += f.name + ": " + f.value + "\r\n";
  return out;
}

std::string chunk(std::string_view bytes) {
  char size[20];
  const int n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return std::string(size, static_cast<std::size_t>(n)).append(bytes).append("\r\n");
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
        trickle_(owner.loop_),
        stream_(owner.loop_, std::move(socket), *this) {}

  void thaw() {
    if (held_.empty() && heldOut_.empty()) return;
    stream_.send(std::exchange(heldOut_, {}));
    const std::string bytes = std::exchange(held_, {});
    if (!bytes.empty()) onBytes(bytes);
  }
  void end(bool abort) {
    if (owner_ == nullptr) return;
    stream_.close(abort);
    gone();
  }

 private:
  class Reply final : public HttpReply {
   public:
    explicit Reply(std::weak_ptr<Connection> c) : connection_(std::move(c)) {}
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
      const auto c = connection_.lock();
      onGone = nullptr;
      if (c) c->end(true);
    }
    bool open() const override { return !over_ && !connection_.expired() && !connection_.lock()->ended_; }
    void goneNow() {
      over_ = true;
      if (onGone) std::exchange(onGone, nullptr)();
    }

   private:
    void write(const std::string& bytes) {
      if (const auto c = connection_.lock(); c && !over_) c->write(bytes);
    }
    void done() {
      over_ = true;
      onGone = nullptr;
      if (const auto c = connection_.lock()) c->next();
    }
    std::weak_ptr<Connection> connection_;
    bool over_ = false;
  };

  bool isFrozen() const { return owner_ != nullptr && owner_->frozen && owner_->frozen(host_); }

  void onBytes(std::string_view bytes) override {
    if (isFrozen()) {
      if (held_.size() < (16u << 20)) held_.append(bytes);
      return;
    }
    const auto keep = shared_from_this();
    if (reply_)
      early_.append(bytes);
    else if (!parser_.receive(bytes))
      end(true);
  }
  void onClosed(net::CloseCause) override {
    const auto keep = shared_from_this();
    gone();
  }
  void gone() {
    if (std::exchange(ended_, true)) return;
    const auto reply = std::exchange(reply_, nullptr);
    if (reply) reply->goneNow();
    if (HttpServer* owner = std::exchange(owner_, nullptr)) {
      auto& loop = owner->loop_;
      const auto at = owner->connections_.find(this);
      if (at == owner->connections_.end()) return;
      loop.post([c = at->second] {});
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
    if (!early_.empty() && owner_ != nullptr)
      owner_->loop_.post([c = shared_from_this()] {
        if (!c->reply_ && !c->ended_) c->onBytes(std::exchange(c->early_, {}));
      });
  }
  void write(const std::string& bytes) {
    if (owner_ == nullptr) return;
    if (isFrozen()) {
      heldOut_.append(bytes);
    } else if (owner_->trickle > 0 || !slow_.empty()) {
      slow_.append(bytes);
      if (!trickle_.running()) drip();
    } else {
      stream_.send(bytes);
    }
  }
  void drip() {
    if (slow_.empty() || owner_ == nullptr) return;
    const std::size_t n = owner_->trickle > 0 ? 1 : slow_.size();
    stream_.send(std::string_view(slow_).substr(0, n));
    slow_.erase(0, n);
    trickle_.start(std::max<net::Micros>(owner_->trickle, 1000), [this] { drip(); });
  }

  HttpServer* owner_;
  std::string host_;
  http1::MessageParser parser_;
  HttpRequest request_;
  std::shared_ptr<Reply> reply_;
  std::string early_;  // bytes behind the request that is being answered
  std::string held_;
  std::string heldOut_;
  std::string slow_;
  bool ended_ = false;
  timing::Alarm trickle_;
  net::Stream stream_;
};

HttpServer::HttpServer(net::Loop& loop, const Poco::Net::SocketAddress& address, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {
  listener_ = std::make_unique<net::Listener>(loop, address, [this](Poco::Net::StreamSocket socket) {
    auto c = std::make_shared<Connection>(*this, std::move(socket));
    connections_[c.get()] = c;
  });
}

HttpServer::~HttpServer() { down(); }

void HttpServer::down() {
  if (listener_) listener_->close();
  const auto all = connections_;
  for (const auto& [c, shared] : all) shared->end(true);
}

void HttpServer::thaw() {
  const auto all = connections_;
  for (const auto& [c, shared] : all) shared->thaw();
}

}  // namespace garnethook::fake_engine
