/// @file
/// Base class of the exchanges that carry attempts, independent of the engine's protocol.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "engine/exchange.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

/// An exchange that carries one attempt. Reports the attempt's result exactly once, unless it is detached
/// first.
class AttemptExchange : public Exchange {
 public:
  void onFailed(const ExchangeFailure& failure) override {
    result_.reusedConnection = failure.reusedConnection;
    result_.anyBytesReceived = failure.anyBytesReceived;
    finish(failure.outcome, failure.text);
  }
  void onNotSent(const std::string& text) override {
    result_.anyBytesReceived = false;
    finish(Outcome::rejected, text);
  }
  void onDropped() override {
    if (dropReason_) finish(dropReason_->outcome, dropReason_->text);
  }
  void detach() override { isFinished_ = true; }

 protected:
  /// @param events notified of tokens and of the result; must outlive the exchange
  /// @param id the attempt
  AttemptExchange(routing::EngineClientEvents& events, routing::AttemptId id) : events_(events), id_(id) {}

  /// Returns whether nothing more is to be read: the result is known, or the exchange has been detached.
  bool isFinished() const { return isFinished_ || dropReason_.has_value(); }
  /// Gives up the rest of the response. The result is reported once the connection is closed, as the engine
  /// may still be working on the attempt, beside which no other one may begin.
  void drop(Outcome outcome, std::string text) {
    if (!isFinished()) dropReason_ = DropReason{outcome, std::move(text)};
  }
  /// The result collected so far; finish() adds the outcome and the text.
  routing::AttemptResult& result() { return result_; }
  /// The result collected so far, for reading.
  const routing::AttemptResult& result() const { return result_; }
  /// Forwards generated tokens to the router.
  void reportTokens(std::string_view text, std::uint32_t count, std::span<const std::uint32_t> ids) {
    events_.onTokens(id_, text, count, ids);
  }
  /// Tells the router that the engine is still writing the response, though no further token is complete.
  void reportProgress() { events_.onStreamProgress(id_); }
  /// Reports result() with the given outcome and text.
  void finish(Outcome outcome, std::string text) {
    result_.outcome = outcome;
    result_.text = std::move(text);
    finish(result_);
  }
  /// Reports the given result in place of result().
  void finish(const routing::AttemptResult& result) {
    if (!std::exchange(isFinished_, true)) events_.onAttemptEnded(id_, result);
  }

 private:
  routing::EngineClientEvents& events_;
  routing::AttemptId id_;
  routing::AttemptResult result_;
  bool isFinished_ = false;
  struct DropReason {
    Outcome outcome = Outcome::error;
    std::string text;
  };
  std::optional<DropReason> dropReason_;
};

}  // namespace garnethook::engine
