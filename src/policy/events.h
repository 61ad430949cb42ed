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
  running,   ///< Takes requests.
  draining,  ///< Finishes what it has; takes nothing new.
  removed    ///< Gone.
};

/// One endpoint of the endpoint list.
struct EndpointEntry {
  EndpointId id;                                 ///< Its identifier.
  std::optional<std::size_t> zone;               ///< Zone index; none: a zone that the settings don't list.
  std::optional<std::size_t> kind;               ///< Kind index; none: a kind that the settings don't list.
  std::uint64_t cell = 0;                        ///< Group of endpoints with a fast network between them.
  EndpointState state = EndpointState::running;  ///< Whether it takes requests.
  Micros startedAt = 0;                          ///< When it started; 0: long ago.
  double weight = 1;                             ///< Its relative capacity.
  std::uint64_t tokeniser = 0;                   ///< Which of a request's counts is its own; 0: unknown.
  /// Its count of tokens over RequestArrived::promptTokens, where no count of its own tokeniser is known.
  double promptFactor = 1;
};

/// An update of the endpoint list.
struct EndpointUpdate {
  /// What the entries are.
  enum class Kind {
    delta,      ///< Only what changed.
    snapshot,   ///< The whole list.
    staleCopy,  ///< The whole list as it once was.
    failure     ///< Discovery failed; there are no entries.
  };
  Kind kind = Kind::snapshot;          ///< What the entries are.
  std::vector<EndpointEntry> entries;  ///< Endpoints.
};

/// What an endpoint reports of its load; each value may be missing.
struct LoadReport {
  std::optional<double> memoryShare;       ///< Share of its KV cache capacity in use.
  std::optional<double> queuedKiloTokens;  ///< Thousands of prompt tokens that wait for prefill or transfer.
  std::optional<double> queuedRequests;    ///< Requests that wait.
};

/// The size of a prompt by the tokeniser of some endpoints.
struct PromptCount {
  std::uint64_t tokeniser = 0;    ///< Which tokeniser, see EndpointEntry::tokeniser.
  double promptTokens = 0;        ///< Tokens of the prompt.
  double sharedPrefixTokens = 0;  ///< Tokens of its shared prefix.
};

/// A request arrived.
struct RequestArrived {
  RequestId id;                             ///< Its identifier.
  std::optional<std::size_t> requestClass;  ///< Class index; none: a class that the settings don't list.
  Micros remaining = 0;                     ///< Time until the client gives up.
  PrefixKey session;                        ///< Its session.
  PrefixKey sharedPrefix;                   ///< The prefix that it shares with other requests.
  double promptTokens = 0;                  ///< Tokens of the prompt.
  double sharedPrefixTokens = 0;            ///< Those of them in the shared prefix.
  double maxOutput = 0;                     ///< Largest number of output tokens.
  /// Rough length of the answer as time at the class's time per output token; 0: unknown.
  Micros expectedOutput = 0;
  std::vector<PromptCount> counts;  ///< Counts by the endpoints' tokenisers, see EndpointEntry::tokeniser.
};

/// The counts of a request that is not answered yet, by the tokenisers that endpoints have now.
struct PromptCounted {
  RequestId id;                     ///< The request.
  std::vector<PromptCount> counts;  ///< Its counts.
};

/// An attempt gave its first token.
struct StreamStarted {
  RequestId id;     ///< The request.
  int attempt = 0;  ///< Number of the attempt, from 0.
};

/// How an attempt ended.
enum class Outcome {
  completed,        ///< The answer is complete.
  prefillDone,      ///< The prefill is complete; its KV state is at the endpoint.
  error,            ///< The endpoint answered with an error.
  rejected,         ///< The endpoint had no room.
  timedOut,         ///< The attempt's timeout passed.
  connectFailed,    ///< No connection could be made.
  connectionReset,  ///< The connection broke.
  cancelled,        ///< The policy or the client cancelled it.
  notSent           ///< It never left the router.
};

/// An attempt ended.
struct AttemptEnded {
  RequestId id;                          ///< The request.
  int attempt = 0;                       ///< Number of the attempt, from 0.
  EndpointId endpoint;                   ///< Where it was sent.
  Outcome outcome = Outcome::completed;  ///< How it ended.
  bool requestEnded = false;             ///< The request has ended, by this attempt or earlier.
  double cachedTokens = 0;               ///< Prompt tokens found cached (prefillDone, completed).
  bool kvStateMissing = false;           ///< With rejected: there was no KV state to fetch.
  /// With connectionReset: a connection kept from before broke without any sign; the endpoint may be well.
  bool reusedConnection = false;
  /// It reached its endpoint; if not, the release timeout of its KV state has run on meanwhile.
  bool reachedEndpoint = true;
  std::optional<LoadReport> report;  ///< Load that the endpoint reported with the answer.
};

/// The client cancelled a request.
struct RequestCancelled {
  RequestId id;  ///< The request.
};

/// A timer of the policy fired.
struct TimerFired {
  TimerId id;  ///< The timer.
};

/// A probe was answered, or failed.
struct ProbeEnded {
  EndpointId endpoint;               ///< The endpoint.
  bool ok = false;                   ///< It answered.
  std::optional<LoadReport> report;  ///< Load that it reported.
};

/// Any event.
using Event = std::variant<EndpointUpdate, RequestArrived, StreamStarted, AttemptEnded, RequestCancelled,
                           TimerFired, ProbeEnded, PromptCounted>;

}  // namespace garnethook
