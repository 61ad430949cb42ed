/// @file
/// Exchange of one attempt over the OpenAI-compatible completions protocol.
#pragma once

#include <string>

#include "engine/attempt_exchange.h"
#include "engine/completions.h"
#include "engine/options.h"
#include "http1/event_stream.h"

namespace garnethook::engine {

/// Carries one attempt. Expects a JSON response to a prefill, and an event stream for decode and combined
/// attempts.
class CompletionExchange final : public AttemptExchange {
 public:
  /// @param events notified of tokens and of the result; must outlive the exchange
  /// @param id the attempt
  /// @param phase determines the expected form of the response
  /// @param options size limits; must outlive the exchange
  CompletionExchange(routing::EngineClientEvents& events, routing::AttemptId id, routing::Phase phase,
                     const Options& options);
  bool onHead(const http1::Head& head) override;
  bool onBody(std::string_view bytes) override;
  bool isComplete() const override { return !isStreamed_; }  // a stream ends with its end marker, in onBody()
  void onEnd() override;
  void onDropped() override;

 private:
  void onEvent(const http1::EventStreamParser::Event& event);
  void finishErrorResponse();
  void finishPrefill();

  routing::Phase phase_;
  const Options& options_;
  http1::EventStreamParser parser_;
  std::string body_;
  int status_ = 0;
  bool isStreamed_ = false;
  bool hasNewComment_ = false;    // since progress was last reported
  bool hasFinishReason_ = false;  // an event carried a finish_reason
};

}  // namespace garnethook::engine
