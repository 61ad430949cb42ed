/// Passes answers on to clients, and watches those that have begun.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "routing/attempt_runner.h"
#include "routing/stream_guard.h"

namespace garnethook::routing {

/// Relays tokens from attempts to clients.
class TokenRelay {
 public:
  /// All arguments are referred to, `parts` excepted.
  TokenRelay(const RouterContext& context, const AttemptRunner::Parts& parts, AttemptRunner& attempts,
             const StreamGuard& guard)
      : context_(context), parts_(parts), attempts_(attempts), guard_(guard) {}
  /// Tokens of an attempt, as EngineClientEvents::onTokens.
  void onTokens(AttemptId id, std::string_view text, std::uint32_t count, std::span<const std::uint32_t> ids);

 private:
  ActiveRequest* findReceiving(AttemptId id);
  ActiveRequest* startStream(AttemptId id, ActiveRequest& active);
  void checkStream(RequestId id);
  void endStream(ActiveRequest& active, Completion completion, Outcome outcome);

  const RouterContext& context_;
  AttemptRunner::Parts parts_;
  AttemptRunner& attempts_;
  const StreamGuard& guard_;
};

}  // namespace garnethook::routing
