/// What a client receives: pieces of the answer, and one completion.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// A piece of an answer. The views are valid during the call that passes it.
struct Tokens {
  std::uint32_t index = 0;             ///< Position of the first token in the answer.
  std::uint32_t count = 0;             ///< Number of tokens.
  std::string_view text;               ///< Their text.
  std::span<const std::uint32_t> ids;  ///< Their ids; empty where the engine reports none.
};

/// Why a complete answer ended.
enum class FinishReason {
  stop,   ///< The model or a stop text ended it.
  length  ///< The limit of output tokens was reached.
};

/// Token counts of a request.
struct Usage {
  std::uint32_t promptTokens = 0;  ///< Prompt tokens as the engine counts them; 0: not reported.
  std::uint32_t cachedTokens = 0;  ///< Prompt tokens found in the engine's prefix cache.
  std::uint32_t outputTokens = 0;  ///< Tokens of the answer.
  std::uint32_t attempts = 0;      ///< Attempts that were made.
};

/// How a request ended.
enum class Disposition {
  completed,  ///< The whole answer was sent.
  rejected,   ///< Nothing ran, or what ran may safely run again: the client may repeat it.
  failed      ///< It may have run, and there is no whole answer.
};

/// Why a request was not completed.
enum class FailureReason {
  none,             ///< It was completed.
  overloaded,       ///< The policy rejected it: no endpoint is expected to answer in time.
  noEndpoint,       ///< The policy rejected it: no endpoint is running.
  tooManyRequests,  ///< The router's own limit of pending requests.
  shuttingDown,     ///< The router is shutting down.
  deadline,         ///< No answer before the client's deadline.
  attemptsFailed,   ///< Attempts failed, and another one is not allowed or not left.
  streamBroken,     ///< The answer began and its connection broke.
  streamStalled,    ///< The answer began and no more tokens came.
  badRequest,       ///< The engine reports that the request itself is invalid.
  slowClient,       ///< The client reads too slowly for what waits for it.
};
/// The name of a reason in logs.
std::string_view name(FailureReason reason);

/// The one final answer to a request.
struct Completion {
  Disposition disposition = Disposition::failed;      ///< How it ended.
  FailureReason failureReason = FailureReason::none;  ///< Why it was not completed.
  std::string text{};                                 ///< For the client's user.
  Micros retryAfter = 0;  ///< Rejected: when to retry, in microseconds; 0: not given.
  FinishReason finishReason = FinishReason::stop;  ///< Completed: why the answer ended.
  Usage usage{};                                   ///< Token counts.
};

/// The client's end of a request, owned by a frontend.
class Client {
 public:
  virtual ~Client() = default;
  /// The next piece of the answer.
  virtual void onTokens(const Tokens& tokens) = 0;
  /// The one final answer; no call follows, and the router does not use the client afterwards.
  virtual void onCompletion(const Completion& completion) = 0;
  /// Whether the client has gone, even where its frontend has not been notified yet. Checked before each
  /// attempt, so that none begins for a client whose close is queued behind other events of the same loop
  /// turn.
  virtual bool isCancelled() const { return false; }
};

}  // namespace garnethook::routing
