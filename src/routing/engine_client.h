/// The router's interface to engines: attempts, probes and releases of KV reservations, and their events.
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

/// Returns the name of an attempt's outcome in logs.
std::string_view name(Outcome outcome);

/// Identifies an attempt of a request.
struct AttemptId {
  RequestId request;  ///< The request.
  int number = 0;     ///< Number among the attempts of the request, from 0.
  /// Orders by request, then by number.
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// The part of a request's processing that an attempt runs at its engine.
enum class Phase {
  prefill,  ///< Processes the prompt and leaves its KV state reserved for a decode attempt.
  decode,   ///< Fetches that state and generates the response.
  combined  ///< Runs prefill and decode at one engine.
};
/// Returns the name of a phase in logs.
std::string_view name(Phase phase);

/// Parameters of an attempt. Views and pointers are valid during EngineClient::begin() only.
struct AttemptSpec {
  AttemptId attempt;                  ///< The attempt.
  EndpointId endpoint;                ///< The endpoint to send it to.
  Phase phase = Phase::combined;      ///< The phase to run.
  const Request* request = nullptr;   ///< The request.
  std::string_view traceId;           ///< Same for all attempts of the request, unique among all routers.
  std::string_view kvTransferParams;  ///< Decode: KV transfer parameters from the prefill, as JSON text.
  bool nonRepeatable = false;         ///< It must not be sent again once it was possibly executed.
  /// It has to use a new connection, which is less likely to be dead than a reused one.
  bool requiresNewConnection = false;
  Micros timeout = 0;  ///< How long the router waits for the start of the response, in microseconds.
  /// Latest time on the monotonic clock to write a retry that engines would execute a second time if it
  /// arrived later; 0: no limit.
  Micros sendBy = 0;
};

/// The last event of a streamed response.
enum class LastEvent {
  none,   ///< No event arrived.
  data,   ///< An event that further ones should follow.
  marker  ///< The event that marks the end of the response.
};
/// Returns the name of a last event in logs.
std::string_view name(LastEvent event);

/// What arrived of a response, for the log.
struct ResponseSummary {
  int status = 0;                         ///< HTTP status; 0 if no head arrived.
  std::uint64_t bodyBytes = 0;            ///< Bytes of the body.
  std::uint64_t events = 0;               ///< Complete events of a stream.
  LastEvent lastEvent = LastEvent::none;  ///< The last of these events.
};

/// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::error;    ///< The outcome.
  double cachedTokens = 0;             ///< Prompt tokens found in the prefix cache.
  bool kvStateMissing = false;         ///< There was no KV state to fetch.
  bool reusedConnection = false;       ///< A reused connection broke before any byte of a response.
  bool badRequest = false;             ///< Nothing ran, and no engine would accept the request.
  bool anyBytesReceived = true;        ///< False: no byte came in return, so it may never have arrived.
  std::optional<LoadReport> report{};  ///< The engine's load, if it reports one.
  std::string kvTransferParams{};      ///< Completed prefill: KV transfer parameters, as JSON text.
  FinishReason finishReason = FinishReason::stop;  ///< Completed: why the response ended.
  std::uint32_t promptTokens = 0;                  ///< Prompt tokens counted by the engine; 0: not reported.
  std::uint32_t outputTokens = 0;                  ///< Output tokens counted by the engine; 0: not reported.
  std::string text{};                              ///< Error message of the engine or the connection.
  ResponseSummary response{};                      ///< What arrived of the response.
};

/// Receives the events of the engines, on the router's thread.
class EngineClientEvents {
 public:
  virtual ~EngineClientEvents() = default;
  /// `count` tokens of the response arrived; `ids` may be empty. The views are valid only during the call.
  virtual void onTokens(AttemptId attempt, std::string_view text, std::uint32_t count,
                        std::span<const std::uint32_t> ids) = 0;
  /// The engine is still writing the response: part of an event arrived, or a comment.
  virtual void onStreamProgress(AttemptId /*attempt*/) {}
  /// The attempt ended; no further event of it follows.
  virtual void onAttemptEnded(AttemptId attempt, const AttemptResult& result) = 0;
  /// A probe ended; see EngineClient::probe().
  virtual void onProbeEnded(EndpointId endpoint, bool ok, const std::optional<LoadReport>& report) = 0;
  /// A release call ended; see EngineClient::release(). `ok`: an endpoint confirmed the call.
  virtual void onReleaseEnded(const ReleaseCall& call, bool ok) = 0;
};

/// Confirmed delivery progress of an attempt in flight.
enum class DeliveryState {
  undelivered,  ///< Not fully written, or on a connection that is not established yet.
  written,      ///< Fully written on a connection, new or reused, that has been silent since and may be dead.
  confirmed     ///< The connection has received bytes since.
};
/// Returns the name of a delivery state in logs.
std::string_view name(DeliveryState state);

/// Sends attempts to engines. Events follow the call that causes them; they are never raised within it.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  /// Starts an attempt.
  virtual void begin(const AttemptSpec& spec) = 0;
  /// Ends the attempt locally and immediately; no event of it follows.
  virtual void cancel(AttemptId attempt) = 0;
  /// Stops reading the response of an attempt, so that flow control stops its engine, or goes on.
  virtual void pauseReading(AttemptId /*attempt*/, bool /*paused*/) {}
  /// Returns the delivery progress of an attempt in flight.
  virtual DeliveryState deliveryState(AttemptId attempt) const = 0;
  /// Requests that a prefill engine release its reservations for the request. Succeeds immediately if engines
  /// do not support release calls.
  virtual void release(const ReleaseCall& call, const std::string& traceId) = 0;
  /// Whether engines support release calls.
  virtual bool canRelease() const { return true; }
  /// Returns when data was last received from the endpoint, on the monotonic clock; 0: never, none: unknown.
  virtual std::optional<Micros> lastReceivedAt(EndpointId /*endpoint*/) const { return std::nullopt; }
  /// Queries an endpoint's health and load.
  virtual void probe(EndpointId endpoint) = 0;
};

}  // namespace garnethook::routing
