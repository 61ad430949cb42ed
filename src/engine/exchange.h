/// @file
/// One request to an engine and its response, as a connection sees them.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http1/message.h"
#include "policy/routing_policy.h"

namespace garnethook::engine {

/// Makes the text of a request at the moment at which it is written, since the connection may be established
/// late and the request may say how much time is left. Nothing: the request must not be sent any more, and
/// the exchange fails as never sent.
using RequestWriter = std::function<std::optional<std::string>(Micros now)>;

/// A request whose text does not depend on the time at which it is written.
inline RequestWriter fixedRequest(std::string text) {
  return [text = std::move(text)](Micros) { return text; };
}

/// Handles the response to one request. Exactly one of onEnd, onFailed and onNotSent is called, unless onHead
/// or onBody returned false or the exchange was detached; nothing is called after it.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// The head of the response. @return false: enough is known, the connection may be closed
  virtual bool onHead(const http1::Head& head) = 0;
  /// Bytes of the body. @return false: enough is known, the connection may be closed
  virtual bool onBody(std::string_view bytes) = 0;
  /// The response is complete.
  virtual void onEnd() = 0;
  /// The response will never be complete.
  /// @param outcome how it failed
  /// @param text what happened, for the log
  /// @param reusedConnection the connection had been used before and broke without a sign, which says
  /// something
  ///     about that connection and nothing about the engine
  virtual void onFailed(Outcome outcome, const std::string& text, bool reusedConnection) = 0;
  /// Nothing left this machine, for a reason of its own, which says nothing about the engine.
  /// @param text the reason, for the log
  virtual void onNotSent(const std::string& text) = 0;
  /// The result is not wanted any more: nothing is reported from now on. May be called from within any of the
  /// calls above.
  virtual void detach() = 0;
};

}  // namespace garnethook::engine
