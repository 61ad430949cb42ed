#include "grpc_frontend/grpc_server.h"

#include <algorithm>
#include <utility>

#include "grpc_frontend/generate_call.h"

namespace garnethook::grpc_frontend {
namespace {

using http2::StreamId;

http2::Headers initialHeaders() {
  return {{":status", "200"}, {"content-type", "application/grpc"}, {"grpc-accept-encoding", "identity"}};
}

}  // namespace

class GrpcServer::Connection final : public net::StreamEvents, public http2::ConnectionEvents {
 public:
  Connection(GrpcServer& owner, const Poco::Net::StreamSocket& socket, Micros connectedSince)
      : owner_(owner),
        codec_(http2::Side::server, owner.options_.http2, *this),
        timer_(owner.loop_),
        netStream_(owner.loop_, socket, *this, connectedSince) {
    timer_.start(owner_.options_.prefaceTimeout, [this] { closeGracefully(); });
    flush();
  }

  void drain() {
    codec_.goAway(http2::ErrorCode::noError, "the router is going down");
    flush();
    if (calls_.empty()) closeGracefully();
  }
  void closeGracefully() {
    if (std::exchange(closed_, true)) return;
    if (!codec_.hasFailed() && !codec_.goingAway()) codec_.goAway(http2::ErrorCode::noError);
    flush();
    // Output that the socket has not accepted yet is sent as long as the peer reads it within closeTimeout.
    netStream_.send(codec_.output());
    netStream_.closeAfterSending(owner_.options_.closeTimeout);
    cancelCalls();
    owner_.onConnectionClosed(*this);
  }
  std::size_t streams() const { return calls_.size(); }

 private:
  // A call and its response side.
  struct CallStream final : CallOutput {
    CallStream(Connection& parent, StreamId streamId)
        : connection(parent),
          id(streamId),
          reader(parent.owner_.options_.maxMessageBytes),
          deadlineAlarm(parent.owner_.loop_) {}
    void sendMessage(std::string_view bytes) override {
      if (finished) return;
      sendInitialHeaders();
      std::string framed;
      grpc::frame(bytes, framed);
      connection.codec_.sendData(id, framed, false);
      connection.scheduleFlush();
    }
    void finish(const grpc::Status& status, std::string_view details, bool discardQueued) override {
      if (std::exchange(finished, true)) return;
      auto trailers = grpc::trailers(status, details);
      if (!headersSent) {  // a Trailers-Only response
        auto trailersOnly = initialHeaders();
        trailersOnly.insert(trailersOnly.end(), trailers.begin(), trailers.end());
        trailers = std::move(trailersOnly);
      }
      if (discardQueued)
        connection.codec_.sendTrailersNow(id, trailers);
      else
        connection.codec_.sendHeaders(id, trailers, true);
      // A client that opens no flow-control window would never receive the status, which is queued after the
      // data.
      if (queuedBytes() > 0 && deadline > 0) {
        const Micros remaining = deadline - connection.owner_.loop_.now();
        const Micros margin = std::min(connection.owner_.options_.deadlineMargin, remaining / 4);
        deadlineAlarm.start(std::max<Micros>(0, remaining - margin), [this] { sendDeadlineExceeded(); });
      }
      connection.removeLater(id);
    }
    void sendDeadlineExceeded() {
      if (queuedBytes() == 0) return;
      connection.codec_.sendTrailersNow(
          id,
          grpc::trailers(
              {grpc::Code::deadlineExceeded, "failed: the answer was not read before the deadline", -1}, {}));
      connection.removeLater(id);
    }
    std::size_t queuedBytes() const override { return connection.codec_.queued(id); }
    void sendInitialHeaders() {
      if (!std::exchange(headersSent, true)) connection.codec_.sendHeaders(id, initialHeaders(), false);
    }
    Connection& connection;
    StreamId id;
    grpc::MessageReader reader;
    std::unique_ptr<Call> call;
    timing::Alarm deadlineAlarm;
    Micros deadline = 0;  // the client's; 0: none specified
    bool headersSent = false;
    bool finished = false;
    bool requestEnded = false;
  };

  void onBytes(std::string_view bytes) override {
    const bool valid = codec_.receive(owner_.loop_.now(),
                                      {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    if (!valid) return closeGracefully();
    if (!prefaceReceived_) {
      prefaceReceived_ = true;
      startIdleTimer();
    }
    flush();
  }
  void onDrained() override { flush(); }
  void onClosed(net::CloseCause) override {
    if (std::exchange(closed_, true)) return;
    cancelCalls();
    owner_.onConnectionClosed(*this);
  }

  void onHeaders(StreamId id, http2::Headers headers, bool trailers, bool endStream) override {
    if (trailers) {
      if (endStream) finishRequest(id);
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
    auto newStream = std::make_unique<CallStream>(*this, id);
    CallStream& stream = *newStream;
    calls_[id] = std::move(newStream);
    std::optional<Micros> timeout;
    if (const auto text = http2::find(headers, "grpc-timeout")) {
      timeout = grpc::parseTimeout(*text);
      if (!timeout) return stream.finish({grpc::Code::internal, "grpc-timeout: malformed", {}}, {}, false);
    }
    // The client's timeout began with the headers; the frames behind them may have arrived later.
    if (timeout) stream.deadline = netStream_.arrival().earliest + *timeout;
    if (const auto coding = http2::find(headers, "grpc-encoding"); coding && *coding != "identity")
      return stream.finish({grpc::Code::unimplemented, "grpc-encoding: only identity is taken", {}}, {},
                           false);
    stream.call = createCall(path, stream, timeout ? std::optional(stream.deadline) : std::nullopt);
    if (!stream.call)
      return stream.finish(
          {grpc::Code::unimplemented, "unknown method " + std::string(path.substr(0, 200)), {}}, {}, false);
    if (endStream) finishRequest(id);
  }

  std::unique_ptr<Call> createCall(std::string_view path, CallStream& responseOutput,
                                   std::optional<Micros> deadline) {
    const auto generate = [&](bool streaming) {
      return std::make_unique<GenerateCall>(streaming, owner_.router_, owner_.tokenCounter_,
                                            owner_.decoderOptions_, owner_.options_.maxQueuedResponseBytes,
                                            owner_.loop_, deadline, responseOutput);
    };
    if (path == "/garnethook.v1.Generation/Generate") return generate(true);
    if (path == "/garnethook.v1.Generation/GenerateOnce") return generate(false);
    if (path == "/grpc.health.v1.Health/Check") return makeHealthCheckCall(owner_.health_, responseOutput);
    if (path == "/grpc.health.v1.Health/Watch") return makeHealthWatchCall(owner_.health_, responseOutput);
    if (path == "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo" ||
        path == "/grpc.reflection.v1alpha.ServerReflection/ServerReflectionInfo")
      return makeReflectionCall(responseOutput);
    return nullptr;
  }

  void onData(StreamId id, std::span<const std::uint8_t> data, bool endStream) override {
    codec_.consumed(id, data.size());
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    CallStream& stream = *it->second;
    if (stream.finished) return;
    const auto status = stream.reader.receive({reinterpret_cast<const char*>(data.data()), data.size()},
                                              [&](std::string_view payload) {
                                                if (stream.call && !stream.finished)
                                                  stream.call->onMessage(payload);
                                              });
    if (status.code != grpc::Code::ok) return stream.finish(status, {}, false);
    if (endStream) finishRequest(id);
  }

  void finishRequest(StreamId id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second->finished || std::exchange(it->second->requestEnded, true)) return;
    CallStream& stream = *it->second;
    if (stream.reader.hasPartialInput())
      return stream.finish({grpc::Code::internal, "the request was cut inside a message", {}}, {}, false);
    stream.call->onRequestEnd();
  }

  void onReset(StreamId id, http2::ErrorCode) override {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    it->second->finished = true;
    if (it->second->call) it->second->call->onCancel();
    removeLater(id);
  }
  void onSent(StreamId id, std::size_t remaining) override {
    const auto it = calls_.find(id);
    if (remaining == 0 && it != calls_.end() && it->second->finished) removeLater(id);
  }
  void onGoAway(StreamId, http2::ErrorCode) override {}

  // Removes the call in the next flush: calls often finish while one of their own functions is running.
  void removeLater(StreamId id) {
    finishedCalls_.push_back(id);
    scheduleFlush();
  }

  // Sends the output of one loop iteration together.
  void scheduleFlush() {
    if (std::exchange(flushScheduled_, true)) return;
    owner_.loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) flush();
    });
  }

  void flush() {
    flushScheduled_ = false;
    for (const StreamId id : std::exchange(finishedCalls_, {}))
      if (codec_.queued(id) == 0) calls_.erase(id);  // otherwise its status is still queued
    if (closed_) return;
    while (!codec_.output().empty()) {
      const auto output = codec_.output();
      const std::size_t sentBytes = netStream_.trySend(output);
      codec_.sent(sentBytes);
      if (sentBytes < output.size()) break;
    }
    if (calls_.empty() && prefaceReceived_) {
      if (owner_.draining_ && codec_.output().empty())
        closeGracefully();
      else
        startIdleTimer();
    }
  }

  void startIdleTimer() {
    if (!timer_.running() || !idleTimerStarted_) {
      idleTimerStarted_ = true;
      timer_.start(owner_.options_.idleConnectionTimeout, [this] { closeGracefully(); });
    }
  }

  void cancelCalls() {
    auto calls = std::move(calls_);
    calls_.clear();
    for (auto& [id, callStream] : calls) {
      callStream->finished = true;
      if (callStream->call) callStream->call->onCancel();
    }
  }

  GrpcServer& owner_;
  http2::Connection codec_;
  std::unordered_map<StreamId, std::unique_ptr<CallStream>> calls_;
  std::vector<StreamId> finishedCalls_;
  timing::Alarm timer_;
  bool prefaceReceived_ = false;
  bool idleTimerStarted_ = false;
  bool closed_ = false;
  bool flushScheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Stream netStream_;
};

GrpcServer::GrpcServer(net::Loop& loop, const Poco::Net::SocketAddress& address, const GrpcOptions& options,
                       const RequestDecoderOptions& decoderOptions, routing::Router& router,
                       HealthState& health, PromptTokenCounter* tokenCounter)
    : loop_(loop),
      options_(options),
      decoderOptions_(decoderOptions),
      router_(router),
      health_(health),
      tokenCounter_(tokenCounter),
      listener_(loop, address, [this](const Poco::Net::StreamSocket& accepted) { accept(accepted); }) {}

GrpcServer::~GrpcServer() = default;

void GrpcServer::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= options_.maxConnections)
    return;  // the socket is closed when it goes out of scope
  auto connection = std::make_shared<Connection>(*this, socket, listener_.earliestConnect());
  connections_[connection.get()] = connection;
}

void GrpcServer::onConnectionClosed(Connection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  // Kept alive while the remaining output is sent; the stream closes itself after at most closeTimeout.
  loop_.after(options_.closeTimeout + 100'000, [keptConnection = std::move(it->second)] {});
  connections_.erase(it);
}

void GrpcServer::drain() {
  draining_ = true;
  // Those that the listener accepts while it closes serve what their clients have already sent.
  const auto openConnections = connections_;
  listener_.close();
  for (const auto& [key, shared] : openConnections) shared->drain();
}

void GrpcServer::close() {
  const auto openConnections = connections_;
  for (const auto& [key, shared] : openConnections) shared->closeGracefully();
}

std::size_t GrpcServer::streams() const {
  std::size_t total = 0;
  for (const auto& [key, shared] : connections_) total += shared->streams();
  return total;
}

}  // namespace garnethook::grpc_frontend
