/// @file
/// One client connection. Processes its requests one at a time, in the order of arrival, writes their
/// responses, and closes the connection.
///
/// Every request that was read gets a response, also while the router is draining; the last response
/// announces the close. A connection that is closed between requests is only shut down for sending: a request
/// that crosses the FIN stays unread, so its client can conclude that it was not processed.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/message.h"
#include "net/stream.h"
#include "platform/http_frontend/http_frontend.h"
#include "platform/http_frontend/lingering_close.h"
#include "platform/http_frontend/persistence.h"
#include "platform/http_frontend/pipeline_overflow.h"
#include "platform/http_frontend/pipelined_input.h"
#include "platform/http_frontend/request_body.h"
#include "platform/http_frontend/response_writer.h"

namespace garnethook::platform {

/// One client connection. Used only on the event loop's thread.
class HttpFrontend::Connection final : public net::StreamEvents,
                                       public http1::MessageEvents,
                                       public routing::Client {
 public:
  /// @param owner the frontend, which must outlive the connection's last event
  /// @param socket the accepted connection
  /// @param connectedSince earliest time at which the connection may have been established
  Connection(HttpFrontend& owner, const Poco::Net::StreamSocket& socket, Micros connectedSince);
  ~Connection() override = default;

  /// The connection's current activity, for ConnectionPolicy.
  ConnectionPolicy::Activity activity() const;
  /// When its latest response was completed, or when it was accepted.
  Micros lastResponseAt() const { return lastResponseAt_; }
  /// Whether there is no unread input and the client has not closed; makes a system call.
  bool isQuiet() const { return stream_.quiet(); }
  /// Shuts down sending: sends pending bytes, then FIN, and waits a bounded time for the client to close.
  /// With Inbound::read, further input is read and discarded, since a close with unread input would reset the
  /// connection and discard a response that the client has not read; with Inbound::leave, it stays unread.
  void lingeringClose(net::Stream::Inbound inbound, CloseReason reason);
  /// Closes immediately and discards unsent bytes.
  void close(CloseReason reason);
  /// Closes after the last outstanding response, or now if the connection is idle.
  /// @param includeUnused also closes a connection that has not received a request yet
  void drain(bool includeUnused);

 private:
  enum class State {
    open,       // accepts requests
    lingering,  // shut down for sending; waits for the client to close
    closed      // the socket is closed
  };

  // Input
  void onBytes(std::string_view bytes) override;
  void onClosed(net::CloseCause) override { close(CloseReason::clientClosed); }
  void bufferInput(std::string_view bytes);
  void startOverflow(std::string_view bytes);
  void rejectOverflowingRequest();
  std::size_t parseInput(std::string_view bytes, const net::Arrival& arrival);
  bool reserveHeadMemory();
  void rejectForLackOfMemory();
  bool hasMoreInput() const;
  void postServeNextRequest();
  void serveNextRequest();
  void waitUntilResponsesAreRead();

  // Requests
  void onHead(const http1::Head& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;
  void dispatch(std::string body);
  Micros requestArrivedAt() const;
  void openRequest(routing::Request request);
  void closeRequest();
  void cancelRequest();
  void startRequestTimer();
  void onRequestTimeout();

  // Responses
  bool isCancelled() const override { return stream_.peerGone(); }
  void onTokens(const routing::Tokens& tokens) override;
  void onCompletion(const routing::Completion& completion) override;
  void respond(int status, std::string_view text, Micros retryAfter);
  void reject(int status, std::string_view text);
  void onResponseComplete();
  void closeUnlessClientReads();
  void onDrained() override;
  void pauseEngineAtLimit();
  void resumeEngine();
  void onUnreadTimeout();
  void onIdleTimeout();

  // Close
  void reportClose(CloseReason reason);
  void startLingerTimer();

  HttpFrontend& owner_;
  State state_ = State::open;
  Persistence persistence_;
  LingeringClose lingeringClose_;
  http1::MessageParser parser_;
  timing::Alarm timer_;
  PipelinedInput pipelinedInput_;
  PipelineOverflow overflow_;
  // The request that is being received or answered.
  http1::Head head_;
  ByteReservation unsentBytes_;
  timing::Alarm unreadAlarm_;  // runs while the engine is paused
  bool isEnginePaused_ = false;
  ByteReservation headBytes_;
  RequestBody body_;  // while it is being received
  ByteReservation openRequestBytes_;
  std::string traceId_;
  std::optional<RequestId> requestId_;
  bool isRequestOpen_ = false;  // passed to the router, which has not completed it yet
  Micros lastResponseAt_;       // initially when the connection was accepted
  net::Arrival inputArrival_;   // of the bytes being parsed
  bool isParsing_ = false;
  bool hasResponded_ = false;  // at least one response was completed
  bool serveNextPosted_ = false;
  bool isOverflowTimed_ = false;   // the request timeout runs for a request that is not stored
  bool timeoutRechecked_ = false;  // the request timeout was extended once to read pending bytes
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Stream stream_;
  ResponseWriter responses_;
};

}  // namespace garnethook::platform
