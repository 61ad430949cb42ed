// A connection to an engine: one exchange at a time, then idle until the next.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "engine/exchange.h"
#include "engine/options.h"
#include "net/stream.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

class Connection;

class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  // The exchange is over, or an idle connection is; where not `reusable` the connection is closed. It must
  // not be destroyed from within this call.
  virtual void onFree(Connection& connection, bool reusable) = 0;
  // The engine has said something, or it was given up on without a word: no connection, no answer, a reset.
  virtual void onHeard(Connection& connection, bool sound) = 0;
  // How a request fared on a connection that had been kept for so long: whether any answer came.
  virtual void onReused(Connection& connection, Micros rested, bool dead) = 0;
};

class Connection final : private net::StreamEvents, private http1::MessageEvents {
 public:
  Connection(net::Loop& loop, const Options& options, const Poco::Net::SocketAddress& to, EndpointId endpoint,
             ConnectionOwner& owner);

  // `limit`: the exchange fails with timedOut after it; 0: none. `redial`: a refused connection is tried once
  // more before it is told.
  void run(std::unique_ptr<Exchange> exchange, RequestWriter request, Micros limit, bool redial = false);
  // Ends the exchange; nothing of it is told any more.
  void abandon();
  // Waits idle, and closes itself after the idle time-out.
  void rest();
  void pause(bool paused) { stream_->pauseReading(paused); }
  // Bytes that wait unasked for would be taken for the next answer.
  bool usable() const { return !parser_.midway() && stream_->quiet(); }
  EndpointId endpoint() const { return endpoint_; }
  routing::DeliveryState deliveryState() const;
  // Since the latest answer; 0 before the first.
  Micros rested() const { return restedAt_ == 0 ? 0 : loop_.now() - restedAt_; }

  // The attempt that it carries, for its owner's books.
  std::optional<routing::AttemptId> attempt;

 private:
  void onConnected() override;
  void write();
  void onBytes(std::string_view bytes) override;
  void onClosed(net::CloseCause cause) override;
  void onHead(const http1::Head& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;
  void fail(Outcome outcome, const std::string& text, bool kept = false);
  void failHere(const std::string& text);
  void free(bool reusable);

  void dial();

  net::Loop& loop_;
  const Options& options_;
  Poco::Net::SocketAddress to_;
  EndpointId endpoint_;
  ConnectionOwner& owner_;
  timing::Alarm timer_;
  http1::MessageParser parser_;
  std::unique_ptr<Exchange> exchange_;
  std::unique_ptr<Exchange> muted_;  // maybe in the middle of a call
  RequestWriter request_;            // until connected
  bool answered_ = false;
  bool heard_ = false;  // anything since the exchange began
  bool keepAlive_ = false;
  bool over_ = false;  // the exchange said all within this piece of bytes
  bool redial_ = false;
  Micros restedAt_ = 0;
  Micros reusedAfter_ = -1;  // how long it had rested before the exchange; negative: told, or a new one
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<net::Stream> stream_;
};

}  // namespace garnethook::engine
