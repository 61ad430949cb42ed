// The interface of garnethook's decision module: settings, events, actions and the class RoutingPolicy.
// Times are integer microseconds on a clock passed in with each event; ids are opaque numbers.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace garnethook {

using Micros = std::int64_t;

template <class Tag>
struct Id {
  std::uint64_t value = 0;
  friend auto operator<=>(const Id&, const Id&) = default;
};
using RequestId = Id<struct RequestTag>;
using EndpointId = Id<struct EndpointTag>;
using PrefixKey = Id<struct PrefixTag>;  // 0: the request carries none
using TimerId = Id<struct TimerTag>;

// ---- settings -------------------------------------------------------------------------------------

enum class Role { prefill, decode, combined };
enum class Idempotency { idempotent, idempotentWithKey, nonIdempotent };
// Which endpoints drop repeats of a request with an idempotency key.
enum class DeduplicationScope { fleet, zone, cell };
enum class Discovery { push, poll };

struct RequestClass {
  Micros ttftObjective = 0;              // first token wanted within this time of the arrival ...
  Micros ttftObjectivePerKiloToken = 0;  // ... and this much more for each 1,000 prompt tokens
  Micros deadline = 0;
  Micros timePerOutputTokenObjective = 0;  // wanted mean time between tokens
  double priorityWeight = 1;
  double lateValueShare = 0;
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::fleet;  // keyed only
  Micros deduplicationWindow = 0;  // keyed only: how long a first try is remembered
};

struct EndpointKind {
  Role role = Role::combined;
  double memoryTokens = 0;  // 0: not told
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<EndpointKind> kinds;
  std::size_t zones = 1;
  std::size_t ownZone = 0;
  std::size_t routers = 1;
  std::optional<std::size_t> self;  // this router's number among them, from 0; none: not told
  Discovery discovery = Discovery::push;
  int maxAttempts = 1;
  bool canCancel = false;
  bool canProbe = false;
  bool decodeEndpointsPrefill = false;  // a writer that gets no state reads the prompt itself
  bool canMigrateStreams = false;
  bool passesRetryAfter = false;  // Refuse::retryAfter reaches the clients ...
  Micros maxRetryAfter = 0;       // ... which observe no more than this; 0: no bound told
  Micros kvReleaseTimeout = 0;    // 0: no limit told
  Micros answerSlack = 0;         // a final answer this long after the deadline still counts
  Micros pollInterval = 0;        // discovery by asking: the longest silence allowed
  Micros connectTimeout = 0;
  double warmUpMinCapacity = 1;  // a fresh server does at least this share of its work ...
  Micros warmUpDuration = 0;     // ... and all of it after this time
  double overloadMultiple = 0;   // 0: no such rule
  Micros overloadWindow = 0;
};

// ---- events ---------------------------------------------------------------------------------------

enum class EndpointState { running, draining, removed };

struct EndpointEntry {
  EndpointId id;
  std::optional<std::size_t> zone;  // index; none: a zone that the settings don't know
  std::optional<std::size_t> kind;
  std::uint64_t cell = 0;
  EndpointState state = EndpointState::running;
  Micros startedAt = 0;  // 0: long ago
  double weight = 1;
  std::uint64_t tokeniser = 0;  // which of a request's counts is this server's own; 0: none told
  double promptFactor = 1;      // without one of those: its count over RequestArrived::promptTokens
};

struct EndpointUpdate {
  enum class Kind { delta, snapshot, staleCopy, failure };
  Kind kind = Kind::snapshot;
  std::vector<EndpointEntry> entries;
};

struct LoadReport {
  std::optional<double> memoryShare;       // share of memory held
  std::optional<double> queuedKiloTokens;  // thousands of prompt tokens waiting to be read or fetched
  std::optional<double> queuedRequests;
};

// A prompt by the tokeniser of some servers.
struct PromptCount {
  std::uint64_t tokeniser = 0;
  double promptTokens = 0;
  double sharedPrefixTokens = 0;
};

struct RequestArrived {
  RequestId id;
  std::optional<std::size_t> requestClass;  // index; none: a class that the settings don't know
  Micros remaining = 0;                     // until the client gives up
  PrefixKey session;
  PrefixKey sharedPrefix;
  double promptTokens = 0;
  double sharedPrefixTokens = 0;  // the part of them in the shared beginning
  double maxOutput = 0;
  Micros expectedOutput = 0;        // rough length of the answer as time at tokenAim a token; 0: not told
  std::vector<PromptCount> counts;  // where servers count differently; see EndpointEntry::tokeniser
};

// The counts of a request that is not answered yet, by the tokenisers that servers have now.
struct PromptCounted {
  RequestId id;
  std::vector<PromptCount> counts;
};

struct StreamStarted {
  RequestId id;
  int attempt = 0;
};

enum class Outcome {
  completed,
  prefillDone,
  error,
  rejected,
  timedOut,
  connectFailed,
  connectionReset,
  cancelled,
  notSent
};

struct AttemptEnded {
  RequestId id;
  int attempt = 0;
  EndpointId endpoint;
  Outcome outcome = Outcome::completed;
  bool requestEnded = false;    // the request has ended, by this or earlier
  double cachedTokens = 0;      // prompt tokens found kept (readDone, served)
  bool kvStateMissing = false;  // with full: there was no state to fetch
  bool reusedConnection =
      false;  // with reset: an old connection broke without a sign; the server may be well
  bool reachedEndpoint =
      true;  // it had reached its server; if not, the time of what is held has run on meanwhile
  std::optional<LoadReport> report;
};

struct RequestCancelled {
  RequestId id;
};

struct TimerFired {
  TimerId id;
};

struct ProbeEnded {
  EndpointId endpoint;
  bool ok = false;
  std::optional<LoadReport> report;
};

using Event = std::variant<EndpointUpdate, RequestArrived, StreamStarted, AttemptEnded, RequestCancelled,
                           TimerFired, ProbeEnded, PromptCounted>;

// ---- actions --------------------------------------------------------------------------------------

struct Send {
  RequestId id;
  EndpointId endpoint;
  Micros timeout = 0;  // 0: until the client gives up
};
struct Cancel {
  RequestId id;
  int attempt = 0;
};
struct Reject {
  RequestId id;
  Micros retryAfter = 0;  // when the client had better come back; 0: not told
};
struct Fail {
  RequestId id;
};
struct Release {
  RequestId id;
};
struct SetTimer {
  TimerId id;
  Micros delay = 0;
};
struct Probe {
  EndpointId endpoint;
};
struct Subscribe {};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Cancel, Reject, Fail, Release, SetTimer, Probe, Subscribe, Log>;

// ---- the module -----------------------------------------------------------------------------------

class RoutingPolicy {
 public:
  // Throws std::invalid_argument, naming the setting, when the settings can't be worked with.
  RoutingPolicy(const Settings& settings, std::uint64_t seed);
  RoutingPolicy(RoutingPolicy&&) noexcept;
  RoutingPolicy& operator=(RoutingPolicy&&) noexcept;
  ~RoutingPolicy();

  // Appends to `actions` what is to be done about the event. `now` never goes back.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace garnethook
