/// @file
/// What the exchanges of attempts share, whatever protocol the engine speaks: how their result is reported.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "engine/exchange.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// An exchange that carries an attempt of the router. Reports the attempt's result once, unless it is
/// detached before.
class AttemptExchange : public Exchange {
 public:
  void onFailed(Outcome outcome, const std::string& text, bool reusedConnection) override {
    result_.reusedConnection = reusedConnection;
    finish(outcome, text);
  }
  void onNotSent(const std::string& text) override {
    result_.anyBytesSent = false;
    finish(Outcome::rejected, text);
  }
  void detach() override { isFinished_ = true; }

 protected:
  /// @param events notified of tokens and of the result; must outlive the exchange
  /// @param id the attempt
  AttemptExchange(routing::EngineClientEvents& events, routing::AttemptId id) : events_(events), id_(id) {}

  /// Whether the result has been reported, or is not wanted.
  bool isFinished() const { return isFinished_; }
  /// What is known of the result so far; finish() adds outcome and text.
  routing::AttemptResult& result() { return result_; }
  /// Passes tokens on to the router.
  void reportTokens(std::string_view text, std::uint32_t count, std::span<const std::uint32_t> ids) {
    events_.onTokens(id_, text, count, ids);
  }
  /// Reports the result.
  void finish(Outcome outcome, std::string text) {
    result_.outcome = outcome;
    result_.text = std::move(text);
    finish(result_);
  }
  /// Reports another result than result().
  void finish(const routing::AttemptResult& result) {
    if (!std::exchange(isFinished_, true)) events_.onAttemptEnded(id_, result);
  }

 private:
  routing::EngineClientEvents& events_;
  routing::AttemptId id_;
  routing::AttemptResult result_;
  bool isFinished_ = false;
};

}  // namespace garnethook::engine
