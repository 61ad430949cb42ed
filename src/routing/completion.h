/// Data that a client receives: the tokens of the response, and one completion.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// Consecutive tokens of a response. The views are valid only during the call that passes them.
struct Tokens {
  std::uint32_t index = 0;             ///< Position of the first token in the response.
  std::uint32_t count = 0;             ///< Number of tokens.
  std::string_view text;               ///< Their text.
  std::span<const std::uint32_t> ids;  ///< Their ids; empty if the engine reports none.
};

/// Why a complete response ended.
enum class FinishReason {
  stop,   ///< The model or a stop text ended it.
  length  ///< It reached the limit of output tokens.
};

/// Token counts of a request.
struct Usage {
  std::uint32_t promptTokens = 0;  ///< Prompt tokens as the engine counts them; 0: not reported.
  std::uint32_t cachedTokens = 0;  ///< Prompt tokens found in the engine's prefix cache.
  std::uint32_t outputTokens = 0;  ///< Tokens of the response.
  std::uint32_t attempts = 0;      ///< Number of attempts.
};

/// How a request ended.
enum class Disposition {
  completed,  ///< The whole response was sent.
  rejected,   ///< Nothing ran, or it can safely run again: the client may retry the request.
  failed      ///< It was possibly executed, and there is no complete response.
};

/// Why a request was not completed.
enum class FailureReason {
  none,             ///< It was completed.
  overloaded,       ///< The policy rejected it: no endpoint is expected to respond in time.
  noEndpoint,       ///< The policy rejected it: no endpoint is running.
  tooManyRequests,  ///< The router's limit of pending requests was exceeded.
  shuttingDown,     ///< The router is shutting down.
  deadline,         ///< There was no complete response before the client's deadline.
  attemptsFailed,   ///< Attempts failed, and no further attempt is allowed or left.
  streamBroken,     ///< The response started and its connection broke.
  streamStalled,    ///< The response started and no more tokens arrived.
  badRequest,       ///< The engine reported that the request itself is invalid.
  slowClient,       ///< The client reads too slowly, and too much data is buffered for it.
};
/// Returns the name of a reason in logs.
std::string_view name(FailureReason reason);

/// The final result of a request; each request has at most one.
struct Completion {
  Disposition disposition = Disposition::failed;      ///< How it ended.
  FailureReason failureReason = FailureReason::none;  ///< Why it was not completed.
  std::string text{};                                 ///< Message for the client's user.
  Micros retryAfter = 0;  ///< Rejected: delay before a retry, in microseconds; 0: not specified.
  FinishReason finishReason = FinishReason::stop;  ///< Completed: why the response ended.
  Usage usage{};                                   ///< Token counts.
};

/// Receives the response to a request; owned by a frontend.
class Client {
 public:
  virtual ~Client() = default;
  /// Receives the next tokens of the response.
  virtual void onTokens(const Tokens& tokens) = 0;
  /// Receives the completion; no call follows, and the router does not use the client afterwards.
  virtual void onCompletion(const Completion& completion) = 0;
  /// Whether the client has disconnected or cancelled, even if its frontend has not been notified yet.
  /// Checked before each attempt, so that none starts for a client whose close event is still queued in the
  /// same event loop iteration.
  virtual bool isCancelled() const { return false; }
};

}  // namespace garnethook::routing
