// What is asked of an engine on one connection, and what is made of its answer.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http1/message.h"
#include "policy/routing_policy.h"

namespace garnethook::engine {

// Makes the text of a request in the moment in which it is written, as a connection may come up late: it may
// tell how much time is left. Nothing: it must not be sent any more, and the exchange fails as never begun.
using RequestWriter = std::function<std::optional<std::string>(Micros now)>;
inline RequestWriter fixedRequest(std::string text) {
  return [text = std::move(text)](Micros) { return text; };
}

class Exchange {
 public:
  virtual ~Exchange() = default;
  // False from either: enough is known, the connection may be given up.
  virtual bool onHead(const http1::Head& head) = 0;
  virtual bool onBody(std::string_view bytes) = 0;
  // The answer is whole.
  virtual void onEnd() = 0;
  // It never will be. `kept`: the connection had been used before and broke without a sign, which tells of
  // that connection and not of the engine.
  virtual void onFailed(Outcome outcome, const std::string& text, bool kept) = 0;
  // Nothing of it left this machine, for a reason of this machine's own: no word on the engine.
  virtual void onNotSent(const std::string& text) = 0;
  // Nobody wants to know any more. May come from within one of the calls above.
  virtual void mute() = 0;
};

}  // namespace garnethook::engine
