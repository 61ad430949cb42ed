// What the router core, the fronts and the engine client tell each other: plain values.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::routing {

// What a client asks for, whatever the front it came by.
struct Request {
  std::size_t requestClass = 0;  // index into the settings' classes
  Micros remaining = 0;          // until the client's deadline
  std::string session;           // empty: none
  std::string sharedPrefixKey;   // key of the shared beginning; empty: none
  double promptTokens = 0;
  double sharedPrefixTokens = 0;
  std::vector<PromptCount> counts;            // by the tokenisers of engines, where they are known
  bool estimated = false;                     // promptTokens is a guess by the text's length
  std::size_t sharedPrefixBytes = 0;          // of the prompt: the shared beginning
  bool specialTokens = false;                 // special tokens' text in the prompt is meant as such
  std::shared_ptr<const std::string> prompt;  // or
  std::vector<std::uint32_t> promptIds;       // token ids
  std::uint32_t maxOutput = 0;
  std::vector<std::string> stop;
  std::optional<double> temperature;
  std::optional<std::uint64_t> seed;
  std::string model;
  // Where engines get the client's own request as it came, in place of one made for them:
  std::string traceId;  // empty: the router makes one
  std::string target;   // path and query
  std::string fields;   // further header fields for engines, each a line with its CRLF
  std::shared_ptr<const std::string> body;
};

// A piece of an answer. The views hold for the call that they come with.
struct Tokens {
  std::uint32_t index = 0;  // of the first token in the answer
  std::uint32_t count = 0;
  std::string_view text;
  std::span<const std::uint32_t> ids;  // empty where the engine tells none
};

enum class FinishReason { stop, length };

struct Usage {
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t outputTokens = 0;
  std::uint32_t attempts = 0;
};

enum class Disposition { completed, rejected, failed };

// Why a request was not served.
enum class FailureReason {
  none,
  overloaded,       // the decision module refused: no hope of an answer in time
  noEndpoint,       // and there was none that might have served
  tooManyRequests,  // the router's own bound on open requests
  shuttingDown,     // the router is going down
  deadline,         // no answer before the client's deadline
  attemptsFailed,   // attempts failed, and another was not allowed or not left
  streamBroken,     // the answer began and broke off
  streamStalled,    // the answer began and went quiet
  badRequest,       // the engine says that the request itself is at fault
  slowClient,       // the client reads too slowly for what waits for it
};
std::string_view name(FailureReason cause);

struct Completion {
  Disposition disposition = Disposition::failed;
  FailureReason failureReason = FailureReason::none;
  std::string text{};
  Micros retryAfter = 0;  // refused: when to come back; 0: not told
  FinishReason reason = FinishReason::stop;
  Usage usage{};
};

std::string_view name(Outcome outcome);
// What the module said, with the names of servers in place of the numbers that it knows them by.
std::string withNames(std::string_view said, const std::function<std::string(EndpointId)>& nameOf);

// The client's end of a request, owned by a front.
class Client {
 public:
  virtual ~Client() = default;
  virtual void onTokens(const Tokens& tokens) = 0;
  // The one final answer; nothing comes after it and the router forgets the client.
  virtual void onCompletion(const Completion& ending) = 0;
  // Whether the client has gone, also where its front was not told so yet. Asked before each attempt, so that
  // none begins for a client whose close waits behind other events of the same turn.
  virtual bool isCancelled() const { return false; }
};

// ---- engines ----

struct AttemptId {
  RequestId request;
  int number = 0;
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

enum class Phase { prefill, decode, combined };
std::string_view name(Phase phase);

// One attempt to be made at an engine. Views hold during Engines::begin only.
struct AttemptSpec {
  AttemptId attempt;
  EndpointId endpoint;
  Phase phase = Phase::combined;
  const Request* request = nullptr;
  std::string_view traceId;            // the same for all attempts of the request, unique among all routers
  std::string_view kvTransferParams;   // write: what the read returned for the fetch, as JSON text
  bool nonRepeatable = false;          // can't be sent again once it may have run
  bool requiresNewConnection = false;  // on a new connection: it has to be known whether it arrives
  Micros timeout = 0;                  // the router waits so long for the first sign
  // A repeat that a later arrival would make a second piece of work must be written by then; 0: any time.
  Micros sendBy = 0;
};

struct AttemptResult {
  Outcome outcome = Outcome::error;
  double cachedTokens = 0;
  bool kvStateMissing = false;
  bool reusedConnection = false;  // the connection was an old one and broke without a sign
  bool badRequest = false;        // nothing ran, and no engine would take it
  bool leftRouter = true;         // false: nothing of it left this router
  std::optional<LoadReport> report{};
  std::string kvTransferParams{};  // readDone
  FinishReason reason = FinishReason::stop;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;  // as the engine counts them
  std::string text{};              // what the engine or the connection said of a failure
};

class EngineClientEvents {
 public:
  virtual ~EngineClientEvents() = default;
  virtual void onTokens(AttemptId attempt, std::string_view text, std::uint32_t count,
                        std::span<const std::uint32_t> ids) = 0;
  virtual void onAttemptEnded(AttemptId attempt, const AttemptResult& result) = 0;
  virtual void onProbeEnded(EndpointId endpoint, bool ok, const std::optional<LoadReport>& report) = 0;
  virtual void onReleaseEnded(EndpointId endpoint, RequestId request, bool ok) = 0;
  // Answers Engines::confirm.
  virtual void onLivenessChecked(AttemptId /*attempt*/, bool /*alive*/) {}
};

// How far the request of an attempt that is out has got for certain.
enum class DeliveryState {
  undelivered,  // not written whole, or on a connection that is not up yet
  written,    // whole, on a connection kept from before that has given no sign since, and may be dead; or the
              // engine's system has not acknowledged all of it
  connected,  // on a connection that came up for it and has given no sign since: it may have fallen silent
  confirmed   // the connection has given a sign since
};

// The engines as the router core sees them. Events come later than the call that they answer.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  virtual void begin(const AttemptSpec& order) = 0;
  // Ends the attempt at this side at once; no event of it comes after.
  virtual void cancel(AttemptId attempt) = 0;
  virtual DeliveryState deliveryState(AttemptId attempt) const = 0;
  // Asks a reader to let go of what it holds for the work. Where engines don't know how, done at once.
  virtual void release(EndpointId endpoint, RequestId request, const std::string& traceId) = 0;
  virtual void probe(EndpointId endpoint) = 0;
  // Whether engines can be asked for a sign of life beside an attempt.
  virtual bool canCheckLiveness() const { return false; }
  // Asks the attempt's engine for a sign of life on another connection, within a short time.
  virtual void checkLiveness(AttemptId /*attempt*/, EndpointId /*server*/) {}
};

}  // namespace garnethook::routing
