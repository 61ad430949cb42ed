// The interface of garnethook's decision module: settings, events, actions and the class Brain.
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
using ServerId = Id<struct ServerTag>;
using PrefixKey = Id<struct PrefixTag>;  // 0: the request carries none
using TimerId = Id<struct TimerTag>;

// ---- settings -------------------------------------------------------------------------------------

enum class Role { reader, writer, both };
enum class Effect { safe, keyed, unsafe };
enum class RepeatScope { everywhere, zone, cell };  // which servers drop a keyed request's repeats
enum class Discovery { push, ask };

struct RequestClass {
  Micros aim = 0;              // first token wanted within this time of the arrival ...
  Micros aimPerKiloToken = 0;  // ... and this much more for each 1,000 prompt tokens
  Micros deadline = 0;
  Micros tokenAim = 0;  // wanted mean time between tokens
  double worth = 1;
  double lateShare = 0;
  Effect effect = Effect::safe;
  RepeatScope scope = RepeatScope::everywhere;  // keyed only
  Micros repeatWindow = 0;                      // keyed only: how long a first try is remembered
};

struct ServerKind {
  Role role = Role::both;
  double memoryTokens = 0;  // 0: not told
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<ServerKind> kinds;
  std::size_t zones = 1;
  std::size_t ownZone = 0;
  std::size_t routers = 1;
  std::optional<std::size_t> self;  // this router's number among them, from 0; none: not told
  Discovery discovery = Discovery::push;
  int maxAttempts = 1;
  bool mayCancel = false;
  bool mayProbe = false;
  bool writersRead = false;  // a writer that gets no state reads the prompt itself
  bool mayMoveStreams = false;
  bool passesRetryAfter = false;  // Refuse::retryAfter reaches the clients ...
  Micros maxRetryAfter = 0;       // ... which observe no more than this; 0: no bound told
  Micros releaseWithin = 0;       // 0: no limit told
  Micros answerSlack = 0;         // a final answer this long after the deadline still counts
  Micros askWithin = 0;           // discovery by asking: the longest silence allowed
  Micros connectTimeout = 0;
  double coldFrom = 1;      // a fresh server does at least this share of its work ...
  Micros warmWithin = 0;    // ... and all of it after this time
  double fallMultiple = 0;  // 0: no such rule
  Micros fallAfter = 0;
};

// ---- events ---------------------------------------------------------------------------------------

enum class ServerState { running, draining, gone };

struct ServerEntry {
  ServerId id;
  std::optional<std::size_t> zone;  // index; none: a zone that the settings don't know
  std::optional<std::size_t> kind;
  std::uint64_t cell = 0;
  ServerState state = ServerState::running;
  Micros startedAt = 0;  // 0: long ago
  double weight = 1;
  std::uint64_t tokeniser = 0;  // which of a request's counts is this server's own; 0: none told
  double promptFactor = 1;      // without one of those: its count over RequestArrived::promptTokens
};

struct ServerList {
  enum class Kind { changes, complete, remembered, failed };
  Kind kind = Kind::complete;
  std::vector<ServerEntry> entries;
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
  double sharedTokens = 0;
};

struct RequestArrived {
  RequestId id;
  std::optional<std::size_t> requestClass;  // index; none: a class that the settings don't know
  Micros remaining = 0;                     // until the client gives up
  PrefixKey session;
  PrefixKey sharedBeginning;
  double promptTokens = 0;
  double sharedTokens = 0;  // the part of them in the shared beginning
  double maxOutput = 0;
  Micros expectedOutput = 0;        // rough length of the answer as time at tokenAim a token; 0: not told
  std::vector<PromptCount> counts;  // where servers count differently; see ServerEntry::tokeniser
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

enum class Outcome { served, readDone, error, full, timedOut, connectFailed, reset, cancelled, notSent };

struct AttemptEnded {
  RequestId id;
  int attempt = 0;
  ServerId server;
  Outcome outcome = Outcome::served;
  bool last = false;            // the request has ended, by this or earlier
  double foundTokens = 0;       // prompt tokens found kept (readDone, served)
  bool stateMissing = false;    // with full: there was no state to fetch
  bool keptConnection = false;  // with reset: an old connection broke without a sign; the server may be well
  bool arrived = true;  // it had reached its server; if not, the time of what is held has run on meanwhile
  std::optional<LoadReport> report;
};

struct RequestGone {
  RequestId id;
};

struct TimerFired {
  TimerId id;
};

struct ProbeEnded {
  ServerId server;
  bool ok = false;
  std::optional<LoadReport> report;
};

using Event = std::variant<ServerList, RequestArrived, StreamStarted, AttemptEnded, RequestGone, TimerFired,
                           ProbeEnded, PromptCounted>;

// ---- actions --------------------------------------------------------------------------------------

struct Send {
  RequestId id;
  ServerId server;
  Micros timeout = 0;  // 0: until the client gives up
};
struct Cancel {
  RequestId id;
  int attempt = 0;
};
struct Refuse {
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
  ServerId server;
};
struct Subscribe {};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Cancel, Refuse, Fail, Release, SetTimer, Probe, Subscribe, Log>;

// ---- the module -----------------------------------------------------------------------------------

class Brain {
 public:
  // Throws std::invalid_argument, naming the setting, when the settings can't be worked with.
  Brain(const Settings& settings, std::uint64_t seed);
  Brain(Brain&&) noexcept;
  Brain& operator=(Brain&&) noexcept;
  ~Brain();

  // Appends to `actions` what is to be done about the event. `now` never goes back.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace garnethook
