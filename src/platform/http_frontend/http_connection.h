/// @file
/// One client connection: its requests, one at a time and in the order in which they arrive, their responses,
/// and its end.
///
/// Every request that was read gets a response, also while the router drains; the last response announces the
/// end. A connection that ends between requests is only shut down for sending: a request that crosses the FIN
/// stays unread, so its client knows that it was not processed.
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
#include "platform/http_frontend/pipelined_input.h"
#include "platform/http_frontend/response_writer.h"

namespace garnethook::platform {

/// One client connection. Lives on the loop's thread.
class HttpFrontend::Connection final : public net::StreamEvents,
                                       public http1::MessageEvents,
                                       public routing::Client {
 public:
  /// @param owner the frontend, which must outlive the connection's last event
  /// @param socket the accepted connection
  /// @param acceptDelay microseconds that it may have waited in the accept queue, with its first request
  Connection(HttpFrontend& owner, const Poco::Net::StreamSocket& socket, Micros acceptDelay);
  ~Connection() override = default;

  /// What the connection is doing, for ConnectionPolicy.
  ConnectionPolicy::Activity activity() const;
  /// When it was accepted or had its latest response.
  Micros lastResponseAt() const { return lastResponseAt_; }
  /// Whether nothing waits unread and the client has not closed; asks the system.
  bool isQuiet() const { return stream_.quiet(); }
  /// Shuts this side down: what is pending is sent, then FIN; afterwards waits for the client to close,
  /// within bounds. With Inbound::read, further input is read and thrown away, so that no reset takes away a
  /// response that the client has not read; with Inbound::leave it stays unread.
  void lingeringClose(net::Stream::Inbound inbound, CloseReason reason);
  /// Closes at once, whatever is still to be sent.
  void close(CloseReason reason);
  /// Ends after the last response that is due, or now if the connection is idle.
  /// @param includeUnused a connection without any request so far ends too
  void drain(bool includeUnused);

 private:
  enum class State {
    open,       // takes requests
    lingering,  // shut down for sending; waits for the client to close
    closed      // the socket is closed
  };

  // Input.
  void onBytes(std::string_view bytes) override;
  void onClosed(net::CloseCause) override { close(CloseReason::clientClosed); }
  void bufferInput(std::string_view bytes);
  std::size_t parseInput(std::string_view bytes, Micros arrivedAt);
  bool hasMoreInput() const;
  void postServeNextRequest();
  void serveNextRequest();
  void waitUntilResponsesAreRead();

  // Requests.
  void onHead(const http1::Head& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;
  void dispatch(std::string body, std::size_t bodyBytes);
  void openRequest(routing::Request request, std::size_t bodyBytes);
  void closeRequest();
  void cancelRequest();
  void releaseBody();
  void startRequestTimer();
  void onRequestTimeout();

  // Responses.
  bool isCancelled() const override { return stream_.peerGone(); }
  void onTokens(const routing::Tokens& tokens) override;
  void onCompletion(const routing::Completion& completion) override;
  void respond(int status, std::string_view text, Micros retryAfter);
  void reject(int status, std::string_view text);
  void onResponseComplete();
  void closeUnlessClientReads();
  void onIdleTimeout();

  // End.
  void reportClose(CloseReason reason);
  void startLingerTimer();

  HttpFrontend& owner_;
  State state_ = State::open;
  Persistence persistence_;
  LingeringClose lingeringClose_;
  http1::MessageParser parser_;
  timing::Alarm timer_;
  PipelinedInput pipelinedInput_;
  // The request that is being received or answered.
  http1::Head head_;
  std::string body_;
  ByteReservation bodyReservation_;
  std::string traceId_;
  std::optional<RequestId> requestId_;
  bool isRequestOpen_ = false;  // the router has been given the request and owes its completion
  Micros lastResponseAt_;       // or when the connection was accepted
  Micros acceptDelay_;          // at most; 0 once its first bytes were read
  Micros inputArrivedAt_ = 0;   // of the bytes that are being parsed
  bool isParsing_ = false;
  bool hasResponded_ = false;  // at least one request has had its complete response
  bool serveNextPosted_ = false;
  bool timeoutRechecked_ = false;  // unread bytes have had their chance after the request timeout
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Stream stream_;
  ResponseWriter responses_;
};

}  // namespace garnethook::platform
