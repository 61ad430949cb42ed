/// Forwards responses to clients and monitors those that have started.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "routing/attempt_runner.h"
#include "routing/stream_guard.h"

namespace garnethook::routing {

/// Forwards tokens from attempts to clients.
class TokenRelay {
 public:
  /// All arguments must outlive this object, except `deps`, which is copied.
  TokenRelay(const RouterContext& context, const AttemptRunner::Dependencies& deps, AttemptRunner& attempts,
             const StreamGuard& guard)
      : context_(context), deps_(deps), attempts_(attempts), guard_(guard) {}
  /// Handles tokens of an attempt; see EngineClientEvents::onTokens().
  void onTokens(AttemptId id, std::string_view text, std::uint32_t count, std::span<const std::uint32_t> ids);

  /// Stops reading the response to a request, or goes on; see Router::pauseResponse().
  void pause(ActiveRequest& active, bool paused);
  /// Handles progress of an attempt; see EngineClientEvents::onStreamProgress().
  void onStreamProgress(AttemptId id);

 private:
  ActiveRequest* findPendingInFlight(AttemptId id);
  ActiveRequest* startStream(AttemptId id, ActiveRequest& active);
  void checkStream(RequestId id);
  void endStream(ActiveRequest& active, Completion completion, Outcome outcome);

  const RouterContext& context_;
  AttemptRunner::Dependencies deps_;
  AttemptRunner& attempts_;
  const StreamGuard& guard_;
};

}  // namespace garnethook::routing
