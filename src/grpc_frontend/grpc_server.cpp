#include "grpc_frontend/grpc_server.h"

#include <algorithm>
#include <utility>

#include "grpc_frontend/generate_call.h"

namespace garnethook::grpc_frontend {
namespace {

using http2::StreamId;

http2::Headers responseHead() {
  return {{":status", "200"}, {"content-type", "application/grpc"}, {"grpc-accept-encoding", "identity"}};
}

}  // namespace

class GrpcServer::Connection final : public net::StreamEvents, public http2::ConnectionEvents {
 public:
  Connection(GrpcServer& owner, Poco::Net::StreamSocket socket)
      : owner_(owner),
        codec_(http2::Side::server, owner.options_.http2, *this),
        timer_(owner.loop_),
        stream_(owner.loop_, std::move(socket), *this) {
    timer_.start(owner_.options_.prefaceWithin, [this] { end(); });
    flush();
  }

  void drain() {
    codec_.goAway(http2::ErrorCode::noError, "the router is going down");
    flush();
    if (calls_.empty()) end();
  }
  void end() {
    if (std::exchange(ended_, true)) return;
    if (!codec_.hasFailed() && !codec_.goingAway()) codec_.goAway(http2::ErrorCode::noError);
    flush();
    // What the socket did not take yet goes out as far as the peer reads it within the limit.
    stream_.send(codec_.output());
    stream_.closeAfterSending(owner_.options_.closeWithin);
    dropCalls();
    owner_.closed(*this);
  }
  std::size_t streams() const { return calls_.size(); }

 private:
  // A call and its way out.
  struct Slot final : CallOutput {
    Slot(Connection& c, StreamId i)
        : connection(c), id(i), reader(c.owner_.options_.messageBytes), late(c.owner_.loop_) {}
    void message(std::string_view bytes) override {
      if (finished) return;
      head();
      std::string framed;
      grpc::frame(bytes, framed);
      connection.codec_.sendData(id, framed, false);
      connection.flushLater();
    }
    void finish(const grpc::Status& status, std::string_view details, bool now) override {
      if (std::exchange(finished, true)) return;
      auto trailers = grpc::trailers(status, details);
      if (!headSent) {  // trailers only
        auto both = responseHead();
        both.insert(both.end(), trailers.begin(), trailers.end());
        trailers = std::move(both);
      }
      if (now)
        connection.codec_.sendTrailersNow(id, trailers);
      else
        connection.codec_.sendHeaders(id, trailers, true);
      // A client that gives no window would never see the status behind the data.
      if (waiting() > 0 && deadline > 0) {
        const Micros left = deadline - connection.owner_.loop_.now();
        const Micros margin = std::min(connection.owner_.options_.deadlineMargin, left / 4);
        late.start(std::max<Micros>(0, left - margin), [this] { overtake(); });
      }
      connection.finishedLater(id);
    }
    void overtake() {
      if (waiting() == 0) return;
      connection.codec_.sendTrailersNow(
          id,
          grpc::trailers(
              {grpc::Code::deadlineExceeded, "failed: the answer was not read before the deadline", -1}, {}));
      connection.finishedLater(id);
    }
    std::size_t waiting() const override { return connection.codec_.queued(id); }
    void head() {
      if (!std::exchange(headSent, true)) connection.codec_.sendHeaders(id, responseHead(), false);
    }
    Connection& connection;
    StreamId id;
    grpc::MessageReader reader;
    std::unique_ptr<Call> call;
    timing::Alarm late;
    Micros deadline = 0;  // the client's; 0: none told
    bool headSent = false;
    bool finished = false;
    bool requestEnded = false;
  };

  void onBytes(std::string_view bytes) override {
    const bool good = codec_.receive(owner_.loop_.now(),
                                     {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    if (!good) return end();
    if (!prefaced_) {
      prefaced_ = true;
      idle();
    }
    flush();
  }
  void onDrained() override { flush(); }
  void onClosed(net::CloseCause) override {
    if (std::exchange(ended_, true)) return;
    dropCalls();
    owner_.closed(*this);
  }

  void onHeaders(StreamId id, http2::Headers headers, bool trailers, bool end) override {
    if (trailers) {
      if (end) endRequest(id);
      return;
    }
    const auto path = http2::find(headers, ":path").value_or("");
    const auto type = http2::find(headers, "content-type").value_or("");
    if (http2::find(headers, ":method") != "POST" || !type.starts_with("application/grpc") ||
        type.starts_with("application/grpc-web")) {
      codec_.sendHeaders(
          id, {{":status", type.starts_with("application/grpc") ? "405" : "415"}, {"content-length", "0"}},
          true);
      return;
    }
    timer_.stop();
    auto slot = std::make_unique<Slot>(*this, id);
    Slot& s = *slot;
    calls_[id] = std::move(slot);
    std::optional<Micros> timeout;
    if (const auto text = http2::find(headers, "grpc-timeout")) {
      timeout = grpc::parseTimeout(*text);
      if (!timeout) return s.finish({grpc::Code::internal, "grpc-timeout: malformed", {}}, {}, false);
    }
    if (timeout) s.deadline = owner_.loop_.now() + *timeout;
    if (const auto coding = http2::find(headers, "grpc-encoding"); coding && *coding != "identity")
      return s.finish({grpc::Code::unimplemented, "grpc-encoding: only identity is taken", {}}, {}, false);
    s.call = open(path, s, timeout);
    if (!s.call)
      return s.finish({grpc::Code::unimplemented, "unknown method " + std::string(path.substr(0, 200)), {}},
                      {}, false);
    if (end) endRequest(id);
  }

  std::unique_ptr<Call> open(std::string_view path, Slot& slot, std::optional<Micros> timeout) {
    const auto generate = [&](bool streamed) {
      return std::make_unique<GenerateCall>(streamed, owner_.router_, owner_.counting_, owner_.intake_,
                                            owner_.options_.waitingMost, timeout, slot);
    };
    if (path == "/garnethook.v1.Generation/Generate") return generate(true);
    if (path == "/garnethook.v1.Generation/GenerateOnce") return generate(false);
    if (path == "/grpc.health.v1.Health/Check") return healthCheck(owner_.health_, slot);
    if (path == "/grpc.health.v1.Health/Watch") return healthWatch(owner_.health_, slot);
    if (path == "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo" ||
        path == "/grpc.reflection.v1alpha.ServerReflection/ServerReflectionInfo")
      return reflection(slot);
    return nullptr;
  }

  void onData(StreamId id, std::span<const std::uint8_t> data, bool end) override {
    codec_.consumed(id, data.size());
    const auto at = calls_.find(id);
    if (at == calls_.end()) return;
    Slot& s = *at->second;
    if (s.finished) return;
    const auto status =
        s.reader.receive({reinterpret_cast<const char*>(data.data()), data.size()}, [&](std::string_view m) {
          if (s.call && !s.finished) s.call->onMessage(m);
        });
    if (status.code != grpc::Code::ok) return s.finish(status, {}, false);
    if (end) endRequest(id);
  }

  void endRequest(StreamId id) {
    const auto at = calls_.find(id);
    if (at == calls_.end() || at->second->finished || std::exchange(at->second->requestEnded, true)) return;
    Slot& s = *at->second;
    if (s.reader.hasPartialInput())
      return s.finish({grpc::Code::internal, "the request was cut inside a message", {}}, {}, false);
    s.call->onRequestEnd();
  }

  void onReset(StreamId id, http2::ErrorCode) override {
    const auto at = calls_.find(id);
    if (at == calls_.end()) return;
    at->second->finished = true;
    if (at->second->call) at->second->call->onGone();
    finishedLater(id);
  }
  void onSent(StreamId id, std::size_t left) override {
    const auto at = calls_.find(id);
    if (left == 0 && at != calls_.end() && at->second->finished) finishedLater(id);
  }
  void onGoAway(StreamId, http2::ErrorCode) override {}

  // A call often ends within its own call.
  void finishedLater(StreamId id) {
    done_.push_back(id);
    flushLater();
  }

  // Bytes of one turn of the loop go out together.
  void flushLater() {
    if (std::exchange(flushing_, true)) return;
    owner_.loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) flush();
    });
  }

  void flush() {
    flushing_ = false;
    for (const StreamId id : std::exchange(done_, {}))
      if (codec_.queued(id) == 0) calls_.erase(id);  // else its status still waits
    if (ended_) return;
    while (!codec_.output().empty()) {
      const auto output = codec_.output();
      const std::size_t n = stream_.trySend(output);
      codec_.sent(n);
      if (n < output.size()) break;
    }
    if (calls_.empty() && prefaced_) {
      if (owner_.draining_ && codec_.output().empty())
        end();
      else
        idle();
    }
  }

  void idle() {
    if (!timer_.running() || !prefacedTimer_) {
      prefacedTimer_ = true;
      timer_.start(owner_.options_.idleWithin, [this] { end(); });
    }
  }

  void dropCalls() {
    auto calls = std::move(calls_);
    calls_.clear();
    for (auto& [id, slot] : calls) {
      slot->finished = true;
      if (slot->call) slot->call->onGone();
    }
  }

  GrpcServer& owner_;
  http2::Connection codec_;
  std::unordered_map<StreamId, std::unique_ptr<Slot>> calls_;
  std::vector<StreamId> done_;
  timing::Alarm timer_;
  bool prefaced_ = false;
  bool prefacedTimer_ = false;
  bool ended_ = false;
  bool flushing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Stream stream_;
};

GrpcServer::GrpcServer(net::Loop& loop, const Poco::Net::SocketAddress& address, const GrpcOptions& options,
                       const IntakeOptions& intake, routing::Router& router, HealthState& health,
                       PromptCounting* counting)
    : loop_(loop),
      options_(options),
      intake_(intake),
      router_(router),
      health_(health),
      counting_(counting),
      listener_(loop, address, [this](Poco::Net::StreamSocket s) { accept(std::move(s)); }) {}

GrpcServer::~GrpcServer() = default;

void GrpcServer::accept(Poco::Net::StreamSocket socket) {
  if (draining_ || connections_.size() >= options_.connections) return;  // closed by going out of scope
  auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_[connection.get()] = connection;
}

void GrpcServer::closed(Connection& connection) {
  const auto at = connections_.find(&connection);
  if (at == connections_.end()) return;
  // Kept while the last bytes go out; its stream closes itself within the limit.
  loop_.after(options_.closeWithin + 100'000, [c = std::move(at->second)] {});
  connections_.erase(at);
}

void GrpcServer::drain() {
  draining_ = true;
  listener_.close();
  const auto all = connections_;
  for (const auto& [c, shared] : all) shared->drain();
}

void GrpcServer::close() {
  const auto all = connections_;
  for (const auto& [c, shared] : all) shared->end();
}

std::size_t GrpcServer::streams() const {
  std::size_t n = 0;
  for (const auto& [c, shared] : connections_) n += shared->streams();
  return n;
}

}  // namespace garnethook::grpc_frontend
