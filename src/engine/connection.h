/// @file
/// A connection to an endpoint that carries one exchange at a time and is idle between exchanges.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "engine/connection_close_reason.h"
#include "engine/exchange.h"
#include "engine/options.h"
#include "net/stream.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

class Connection;

/// Owns connections and receives their events.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  /// The exchange has ended, or an idle connection has been closed.
  /// @param connection the connection; must not be destroyed during this call
  /// @param closed why the connection is closed; none if it may carry another exchange
  virtual void onFinished(Connection& connection, std::optional<ConnectionCloseReason> closed) = 0;
  /// The endpoint has sent data, or did not respond: no connection, no response, or a reset.
  virtual void onResponsiveness(Connection& connection, bool isResponsive) = 0;
  /// Reports the outcome of a request on a reused connection.
  /// @param connection the connection
  /// @param idleTime microseconds for which the connection had been idle
  /// @param wasDead whether the connection broke without any response
  virtual void onReuseOutcome(Connection& connection, Micros idleTime, bool wasDead) = 0;
};

/// A connection to an endpoint. Starts connecting on construction. Must be used on the loop's thread.
class Connection final : private net::StreamEvents, private http1::MessageEvents {
 public:
  /// @param loop event loop that runs the connection
  /// @param options timeouts and limits; must outlive the connection's last event
  /// @param address address of the endpoint
  /// @param endpoint the endpoint that is connected to
  /// @param owner receives the connection's events; must outlive the connection's last event
  Connection(net::Loop& loop, const Options& options, const Poco::Net::SocketAddress& address,
             EndpointId endpoint, ConnectionOwner& owner);

  /// Starts an exchange; no other may be in progress.
  /// @param exchange handles the response
  /// @param request creates the request's text once the connection is established
  /// @param timeout microseconds after which the exchange fails with timedOut; 0: never
  /// @param retryIfRefused whether to retry a refused connection once before the exchange fails
  void start(std::unique_ptr<Exchange> exchange, RequestWriter request, Micros timeout,
             bool retryIfRefused = false);
  /// Detaches the exchange and closes the connection; the exchange reports nothing more.
  void cancel();
  /// Keeps the connection open without an exchange; it closes itself after the idle timeout.
  void markIdle();
  /// Stops reading the response, or goes on.
  void pauseReading(bool paused) { stream_->pauseReading(paused); }
  /// Returns whether the idle connection may carry another exchange. Unsolicited bytes or a close by the peer
  /// rule that out; such bytes would be taken for the response.
  bool isReusable() const { return !parser_.hasPartialInput() && stream_->quiet(); }
  /// The endpoint that this connection belongs to.
  EndpointId endpoint() const { return endpoint_; }
  /// Returns how far delivery of the request has progressed.
  routing::DeliveryState deliveryState() const;
  /// Microseconds since the connection last became idle; 0 if it never was.
  Micros idleTime() const { return idleSince_ == 0 ? 0 : loop_.now() - idleSince_; }

  /// What the log tells of the connection when it is closed.
  ClosedConnection describeClose(ConnectionCloseReason reason) const {
    return {endpoint_, reason, loop_.now() - openedAt_, exchangeCount_};
  }

  /// The attempt that the connection carries, maintained by its owner.
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
  void onTrailer(const http1::Field& field) override;
  void onEnd() override;
  void dropExchange();
  void retryConnect();
  void reportReuse(bool wasDead);
  ExchangeFailure describeFailure(Outcome outcome, std::string text, bool reusedConnection = false) const;
  void fail(const ExchangeFailure& failure, ConnectionCloseReason reason);
  void failNotSent(const std::string& text);
  void finishResponse(bool isInputValid);
  void close(ConnectionCloseReason reason);

  net::Loop& loop_;
  const Options& options_;
  Poco::Net::SocketAddress address_;
  EndpointId endpoint_;
  ConnectionOwner& owner_;
  timing::Alarm timer_;  // timeout of the exchange, or idle timeout
  http1::MessageParser parser_;
  std::unique_ptr<Exchange> exchange_;
  std::unique_ptr<Exchange> cancelledExchange_;  // kept alive, as one of its methods may be running
  RequestWriter request_;                        // empty once it is written
  bool hasReceivedBytes_ = false;                // since the exchange started
  bool hasResponseHead_ = false;                 // of the current exchange
  bool keepAlive_ = false;
  bool hasUnsolicitedHead_ = false;  // a response began that belongs to no request
  bool isExchangeOver_ = false;      // ended by the bytes that are being parsed
  bool isResponseDropped_ = false;   // the exchange did not want the rest of the response
  bool retryIfRefused_ = false;
  Micros openedAt_;
  Micros idleSince_ = 0;
  std::uint32_t exchangeCount_ = 0;
  // Idle time before the exchange; reset once the outcome of the reuse has been reported.
  std::optional<Micros> idleBeforeReuse_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<net::Stream> stream_;
};

}  // namespace garnethook::engine
