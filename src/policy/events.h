/// @file
/// Events that the routing policy handles.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "policy/ids.h"

namespace garnethook {

/// State of an endpoint in the endpoint list.
enum class EndpointState {
  running,   ///< Accepts requests.
  draining,  ///< Completes its open requests; accepts no new ones.
  removed    ///< No longer exists.
};

/// An entry of the endpoint list.
struct EndpointEntry {
  EndpointId id;                                 ///< Endpoint identifier.
  std::optional<std::size_t> zone;               ///< Zone index; none: zone not in the settings.
  std::optional<std::size_t> kind;               ///< Kind index; none: kind not in the settings.
  std::uint64_t cell = 0;                        ///< Group of endpoints connected by a fast network.
  EndpointState state = EndpointState::running;  ///< State in the endpoint list.
  Micros startedAt = 0;                          ///< Start time; 0: long ago.
  double weight = 1;                             ///< Relative capacity.
  std::uint64_t tokeniser = 0;                   ///< Selects the PromptCount that applies to it; 0: unknown.
  /// Ratio of its token counts to RequestArrived::promptTokens; used if a request has no count by its
  /// tokeniser.
  double promptFactor = 1;
};

/// An update of the endpoint list.
struct EndpointUpdate {
  /// Type of update.
  enum class Kind {
    delta,      ///< Only the entries that changed.
    snapshot,   ///< The complete list.
    staleCopy,  ///< The complete list as of an earlier time.
    failure     ///< Discovery failed; there are no entries.
  };
  Kind kind = Kind::snapshot;          ///< Type of update.
  std::vector<EndpointEntry> entries;  ///< Entries of the endpoint list.
};

/// Load reported by an endpoint; each value may be missing.
struct LoadReport {
  std::optional<double> memoryShare;       ///< Share of its KV cache capacity in use.
  std::optional<double> queuedKiloTokens;  ///< Thousands of prompt tokens queued for prefill or transfer.
  std::optional<double> queuedRequests;    ///< Number of queued requests.
};

/// Token counts of a prompt by one tokeniser.
struct PromptCount {
  std::uint64_t tokeniser = 0;    ///< Tokeniser, see EndpointEntry::tokeniser.
  double promptTokens = 0;        ///< Token count of the prompt.
  double sharedPrefixTokens = 0;  ///< Token count of its shared prefix.
};

/// A request arrived.
struct RequestArrived {
  RequestId id;                             ///< Request identifier.
  std::optional<std::size_t> requestClass;  ///< Class index; none: class not in the settings.
  Micros remaining = 0;                     ///< Time until the client gives up.
  PrefixKey session;                        ///< Session that it belongs to.
  PrefixKey sharedPrefix;                   ///< Prefix that it shares with other requests.
  double promptTokens = 0;                  ///< Token count of the prompt.
  double sharedPrefixTokens = 0;            ///< Token count of the shared prefix.
  double maxOutput = 0;                     ///< Largest number of output tokens.
  /// Estimated duration of the answer at the class's objective of the time per output token; 0: unknown.
  Micros expectedOutput = 0;
  std::vector<PromptCount> counts;  ///< Counts by tokeniser, see EndpointEntry::tokeniser.
};

/// New token counts of an open request, by the current tokenisers of the endpoints.
struct PromptCounted {
  RequestId id;                     ///< The request.
  std::vector<PromptCount> counts;  ///< Its counts by tokeniser.
};

/// The first token of an attempt arrived.
struct StreamStarted {
  RequestId id;     ///< The request.
  int attempt = 0;  ///< Number of the attempt, from 0.
};

/// How an attempt ended.
enum class Outcome {
  completed,        ///< The answer is complete.
  prefillDone,      ///< The prefill is complete; the endpoint holds the KV state.
  error,            ///< The endpoint responded with an error.
  rejected,         ///< The endpoint had no capacity.
  timedOut,         ///< The attempt's timeout expired.
  connectFailed,    ///< No connection could be established.
  connectionReset,  ///< The connection was reset.
  cancelled,        ///< The policy or the client cancelled the attempt.
  notSent           ///< The router did not send the attempt.
};

/// An attempt ended.
struct AttemptEnded {
  RequestId id;                          ///< The request.
  int attempt = 0;                       ///< Number of the attempt, from 0.
  EndpointId endpoint;                   ///< Endpoint that it was sent to.
  Outcome outcome = Outcome::completed;  ///< How it ended.
  bool requestEnded = false;             ///< Whether the request has ended, with this attempt or earlier.
  double cachedTokens = 0;      ///< Prompt tokens found in the prefix cache (prefillDone, completed).
  bool kvStateMissing = false;  ///< With rejected: the KV state to fetch was missing.
  /// With connectionReset: a reused connection was reset before any response; the endpoint may be healthy.
  bool reusedConnection = false;
  /// Whether it reached the endpoint; if not, the release timeout of its KV state was not restarted.
  bool reachedEndpoint = true;
  std::optional<LoadReport> report;  ///< Load reported with the response, if any.
};

/// The client cancelled a request.
struct RequestCancelled {
  RequestId id;  ///< The request.
};

/// A timer of the policy fired.
struct TimerFired {
  TimerId id;  ///< The timer.
};

/// A probe succeeded or failed.
struct ProbeEnded {
  EndpointId endpoint;               ///< The probed endpoint.
  bool ok = false;                   ///< Whether the probe succeeded.
  std::optional<LoadReport> report;  ///< Load reported with the response, if any.
};

/// Any event.
using Event = std::variant<EndpointUpdate, RequestArrived, StreamStarted, AttemptEnded, RequestCancelled,
                           TimerFired, ProbeEnded, PromptCounted>;

}  // namespace garnethook
