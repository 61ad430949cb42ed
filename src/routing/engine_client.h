/// The engines as the router sees them: attempts, probes and KV cache releases, and their events.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "policy/routing_policy.h"
#include "routing/completion.h"
#include "routing/release_call.h"
#include "routing/request.h"

namespace garnethook::routing {

/// The name of an attempt's outcome in logs.
std::string_view name(Outcome outcome);

/// One attempt of one request.
struct AttemptId {
  RequestId request;  ///< The request.
  int number = 0;     ///< Number of the attempt among those of the request, from 0.
  /// By request, then by number.
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// What an attempt does at its engine.
enum class Phase {
  prefill,  ///< Reads the prompt and leaves its KV cache state reserved for a decode attempt.
  decode,   ///< Fetches that state and generates the answer.
  combined  ///< Does both.
};
/// The name of a phase in logs.
std::string_view name(Phase phase);

/// An attempt that is to be made. Views and pointers are valid during EngineClient::begin only.
struct AttemptSpec {
  AttemptId attempt;                  ///< Which attempt.
  EndpointId endpoint;                ///< Where it is made.
  Phase phase = Phase::combined;      ///< What it does.
  const Request* request = nullptr;   ///< The request.
  std::string_view traceId;           ///< The same for all attempts of the request, unique among all routers.
  std::string_view kvTransferParams;  ///< Decode: what the prefill returned for the transfer, as JSON text.
  bool nonRepeatable = false;         ///< It must not be sent again once it may have run.
  bool requiresNewConnection = false;  ///< On a new connection, so that it is known whether it arrives.
  Micros timeout = 0;  ///< How long the router waits for the first sign of it, in microseconds.
  /// A repeat that engines would run as a second piece of work when it arrives later has to be written by
  /// this time of the monotonic clock; 0: at any time.
  Micros sendBy = 0;
};

/// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::error;    ///< What became of it.
  double cachedTokens = 0;             ///< Prompt tokens found in the prefix cache.
  bool kvStateMissing = false;         ///< There was no KV cache state to fetch.
  bool reusedConnection = false;       ///< A kept connection broke before any byte of a response.
  bool badRequest = false;             ///< Nothing ran, and no engine would accept it.
  bool leftRouter = true;              ///< False: no byte of it left this router.
  std::optional<LoadReport> report{};  ///< The engine's load, where it reports one.
  std::string kvTransferParams{};      ///< Of a completed prefill: JSON text for the decode attempt.
  FinishReason finishReason = FinishReason::stop;  ///< Completed: why the answer ended.
  std::uint32_t promptTokens = 0;                  ///< As the engine counts them; 0: not reported.
  std::uint32_t outputTokens = 0;                  ///< As the engine counts them; 0: not reported.
  std::string text{};                              ///< What the engine or the connection said of a failure.
};

/// Events of the engines, on the router's thread.
class EngineClientEvents {
 public:
  virtual ~EngineClientEvents() = default;
  /// `count` tokens of the answer; `ids` may be empty. The views are valid during the call.
  virtual void onTokens(AttemptId attempt, std::string_view text, std::uint32_t count,
                        std::span<const std::uint32_t> ids) = 0;
  /// The attempt ended; no event of it follows.
  virtual void onAttemptEnded(AttemptId attempt, const AttemptResult& result) = 0;
  /// Answers EngineClient::probe.
  virtual void onProbeEnded(EndpointId endpoint, bool ok, const std::optional<LoadReport>& report) = 0;
  /// Answers EngineClient::release. `ok`: an endpoint has taken the call.
  virtual void onReleaseEnded(const ReleaseCall& call, bool ok) = 0;
  /// Answers EngineClient::checkLiveness.
  virtual void onLivenessChecked(AttemptId /*attempt*/, bool /*alive*/) {}
};

/// How far the request of an attempt in flight has got for certain.
enum class DeliveryState {
  undelivered,  ///< Not written as a whole, or on a connection that is not established yet.
  written,    ///< Written as a whole, but on a kept connection that has been silent since and may be dead, or
              ///< the peer's system has not acknowledged all of it.
  connected,  ///< On a connection established for it that has been silent since: it may have broken.
  confirmed   ///< The connection has received bytes since.
};

/// Makes attempts at engines. Events come after the call that they answer, never from within it.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  /// Begins an attempt.
  virtual void begin(const AttemptSpec& spec) = 0;
  /// Ends the attempt at this side at once; no event of it follows.
  virtual void cancel(AttemptId attempt) = 0;
  /// How far an attempt in flight has got.
  virtual DeliveryState deliveryState(AttemptId attempt) const = 0;
  /// Asks a prefill engine to release what it reserves for the request. Succeeds at once where engines have
  /// no such call.
  virtual void release(const ReleaseCall& call, const std::string& traceId) = 0;
  /// Whether engines have a call that releases reservations.
  virtual bool canRelease() const { return true; }
  /// When anything came from the endpoint last, on the monotonic clock; 0: nothing yet. None where that is
  /// not known.
  virtual std::optional<Micros> lastReceivedAt(EndpointId /*endpoint*/) const { return std::nullopt; }
  /// Asks an endpoint for its health and load.
  virtual void probe(EndpointId endpoint) = 0;
  /// Whether checkLiveness() is possible.
  virtual bool canCheckLiveness() const { return false; }
  /// Checks on another connection, within a short time, whether the attempt's engine is alive.
  virtual void checkLiveness(AttemptId /*attempt*/, EndpointId /*endpoint*/) {}
};

}  // namespace garnethook::routing
