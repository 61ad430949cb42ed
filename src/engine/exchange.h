/// @file
/// Interface between a connection and the handler of one request and its response.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http1/message.h"
#include "policy/routing_policy.h"

namespace garnethook::engine {

/// Creates the text of a request at the time it is written, since the connection may be established late and
/// the request may state the remaining time. Returns nullopt if the request must not be sent any more; the
/// exchange then fails with Outcome::connectFailed.
using RequestWriter = std::function<std::optional<std::string>(Micros now)>;

/// Returns a writer for a request whose text does not depend on the time of writing.
inline RequestWriter fixedRequest(std::string text) {
  return [text = std::move(text)](Micros) { return text; };
}

/// Why a response will never be complete.
struct ExchangeFailure {
  Outcome outcome = Outcome::error;  ///< How the exchange failed.
  std::string text;                  ///< Description of the failure, for the log.
  /// Whether the connection was reused and broke before any response byte; that concerns the connection and
  /// is not evidence against the engine.
  bool reusedConnection = false;
  /// Whether any byte of a response was received; without one, the request may never have arrived.
  bool anyBytesReceived = false;
};

/// Handles the response to one request. Exactly one of onEnd, onDropped, onFailed and onNotSent is called,
/// and no other method after it, unless the exchange was detached.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// The head of the response. @return false if the rest is not needed; the connection is closed
  virtual bool onHead(const http1::Head& head) = 0;
  /// Bytes of the body. @return false if the rest is not needed; the connection is closed
  virtual bool onBody(std::string_view bytes) = 0;
  /// A trailer field of the response.
  virtual void onTrailer(const http1::Field& /*field*/) {}
  /// Whether the content received so far is a complete response. Asked when the HTTP framing of the response
  /// is complete, which is no proof of it. If it is not, the engine may still be working on the request, so
  /// the connection is closed before onEnd().
  virtual bool isComplete() const { return true; }
  /// The HTTP framing of the response is complete.
  virtual void onEnd() = 0;
  /// The connection has been closed because onHead or onBody returned false.
  virtual void onDropped() {}
  /// The response will never be complete.
  virtual void onFailed(const ExchangeFailure& failure) = 0;
  /// No byte was sent because of a local failure, which is not evidence against the engine.
  /// @param text the reason, for the log
  virtual void onNotSent(const std::string& text) = 0;
  /// The result is no longer needed: the exchange must not report anything from now on. May be called from
  /// within any of the methods above.
  virtual void detach() = 0;
};

}  // namespace garnethook::engine
