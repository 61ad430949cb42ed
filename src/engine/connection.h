/// @file
/// One connection to an endpoint: one exchange at a time, idle in between.
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

/// Owns connections and is notified of what happens to them.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  /// The exchange is over, or an idle connection ended.
  /// @param connection which one; must not be destroyed from within this call
  /// @param isReusable false: the connection is closed
  virtual void onFinished(Connection& connection, bool isReusable) = 0;
  /// The endpoint has sent something, or was given up on: no connection, no response, or a reset.
  virtual void onResponsiveness(Connection& connection, bool isResponsive) = 0;
  /// How a request on a reused connection fared.
  /// @param connection which one
  /// @param idleTime microseconds for which it had been idle
  /// @param wasDead it broke without any response
  virtual void onReuseOutcome(Connection& connection, Micros idleTime, bool wasDead) = 0;
};

/// A connection to an endpoint. Starts to connect when it is constructed; lives on the loop's thread.
class Connection final : private net::StreamEvents, private http1::MessageEvents {
 public:
  /// @param loop runs everything
  /// @param options timeouts and limits; must outlive the connection's last event
  /// @param address of the endpoint
  /// @param endpoint whose connection it is
  /// @param owner is notified; must outlive the connection's last event
  Connection(net::Loop& loop, const Options& options, const Poco::Net::SocketAddress& address,
             EndpointId endpoint, ConnectionOwner& owner);

  /// Starts an exchange; none may be under way.
  /// @param exchange handles the response
  /// @param request makes the request's text once the connection is established
  /// @param timeout the exchange fails with timedOut after these microseconds; 0: never
  /// @param retryIfRefused a refused connection is tried once more before the exchange fails
  void start(std::unique_ptr<Exchange> exchange, RequestWriter request, Micros timeout,
             bool retryIfRefused = false);
  /// Ends the exchange and the connection; nothing of the exchange is reported any more.
  void cancel();
  /// The connection stays open without an exchange, and ends itself after the idle timeout.
  void parkIdle();
  /// Whether the idle connection may carry an exchange: unsolicited bytes would be taken for the response.
  bool isReusable() const { return !parser_.hasPartialInput() && stream_->quiet(); }
  /// Whose connection it is.
  EndpointId endpoint() const { return endpoint_; }
  /// How far the request has got.
  routing::DeliveryState deliveryState() const;
  /// Microseconds since the connection became idle; 0 before it ever was.
  Micros idleTime() const { return idleSince_ == 0 ? 0 : loop_.now() - idleSince_; }

  /// The attempt that it carries, for its owner's bookkeeping.
  std::optional<routing::AttemptId> attempt;

 private:
  void connect();
  void onConnected() override { sendRequest(); }
  void sendRequest();
  void onBytes(std::string_view bytes) override;
  void onClosed(net::CloseCause cause) override;
  void onClosedBeforeConnected(net::CloseCause cause);
  void onHead(const http1::Head& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;
  void dropExchange();
  void retryConnect();
  void reportReuse(bool wasDead);
  void fail(Outcome outcome, const std::string& text, bool reusedConnection = false);
  void failNotSent(const std::string& text);
  void finish(bool isReusable);

  net::Loop& loop_;
  const Options& options_;
  Poco::Net::SocketAddress address_;
  EndpointId endpoint_;
  ConnectionOwner& owner_;
  timing::Alarm timer_;  // of the exchange, or of the idle timeout
  http1::MessageParser parser_;
  std::unique_ptr<Exchange> exchange_;
  std::unique_ptr<Exchange> cancelledExchange_;  // may be in the middle of a call
  RequestWriter request_;                        // until it is written
  bool hasReceivedBytes_ = false;                // since the exchange started
  bool hasResponseHead_ = false;                 // of the exchange
  bool keepAlive_ = false;
  bool isExchangeOver_ = false;  // within the bytes that are being parsed
  bool retryIfRefused_ = false;
  Micros idleSince_ = 0;
  // How long the connection had been idle before the exchange, until the outcome of the reuse is reported.
  std::optional<Micros> idleBeforeReuse_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<net::Stream> stream_;
};

}  // namespace garnethook::engine
