// What is asked of an engine on one connection, and what is made of its answer.
#pragma once

#include <string>
#include <string_view>

#include "brain.h"
#include "http1/message.h"

namespace garnethook::engine {

class Exchange {
 public:
  virtual ~Exchange() = default;
  // False from either: enough is known, the connection may be given up.
  virtual bool onHead(const http1::Head& head) = 0;
  virtual bool onBody(std::string_view octets) = 0;
  // The answer is whole.
  virtual void onEnd() = 0;
  // It never will be. `kept`: the connection had been used before and broke without a sign, which tells of
  // that connection and not of the engine.
  virtual void onFailed(Outcome outcome, const std::string& text, bool kept) = 0;
  // Nobody wants to know any more. May come from within one of the calls above.
  virtual void mute() = 0;
};

}  // namespace garnethook::engine
