// The exchanges: an attempt of the router's, and a release or probe.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "engine/completions.h"
#include "engine/exchange.h"
#include "engine/options.h"
#include "http1/event_stream.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

// Read: a JSON answer. Write and whole: a stream of events. Tells its result once.
class AttemptExchange final : public Exchange {
 public:
  AttemptExchange(routing::EngineClientEvents& events, routing::AttemptId id, routing::Phase phase,
                  const Options& options);
  bool onHead(const http1::Head& head) override;
  bool onBody(std::string_view bytes) override;
  void onEnd() override;
  void onFailed(Outcome outcome, const std::string& text, bool kept) override {
    result_.reusedConnection = kept;
    finish(outcome, text);
  }
  void onNotSent(const std::string& text) override {
    result_.leftRouter = false;
    finish(Outcome::rejected, text);
  }
  void mute() override { told_ = true; }

 private:
  void onEvent(const http1::EventStreamParser::Event& event);
  void finish(Outcome outcome, const std::string& text);
  void tell(const routing::AttemptResult& result);

  routing::EngineClientEvents& events_;
  routing::AttemptId id_;
  routing::Phase phase_;
  const Options& options_;
  http1::EventStreamParser parser_;
  routing::AttemptResult result_;
  std::string body_;
  int status_ = 0;
  bool streamed_ = false;
  bool finishSeen_ = false;
  bool told_ = false;
};

// Only the status counts; 0: there was none.
class ControlExchange final : public Exchange {
 public:
  using Done = std::function<void(int status, const std::optional<LoadReport>& report)>;
  explicit ControlExchange(Done done) : done_(std::move(done)) {}
  bool onHead(const http1::Head& head) override;
  bool onBody(std::string_view bytes) override;
  void onEnd() override { tell(status_); }
  void onFailed(Outcome, const std::string&, bool) override { tell(0); }
  void onNotSent(const std::string&) override { tell(0); }
  void mute() override { told_ = true; }

 private:
  void tell(int status) {
    if (!std::exchange(told_, true)) done_(status, report_);
  }
  Done done_;
  bool told_ = false;
  int status_ = 0;
  std::size_t seen_ = 0;
  std::optional<LoadReport> report_;
};

// A whole body of bounded size; status 0 and no body where there was none.
class DocumentExchange final : public Exchange {
 public:
  static constexpr std::size_t kMost = 256u << 10;
  using Done = std::function<void(int status, const std::string& body)>;
  explicit DocumentExchange(Done done) : done_(std::move(done)) {}
  bool onHead(const http1::Head& head) override {
    status_ = head.status;
    return true;
  }
  bool onBody(std::string_view bytes) override {
    if (body_.size() + bytes.size() <= kMost) {
      body_ += bytes;
      return true;
    }
    status_ = 0;
    body_.clear();
    onEnd();
    return false;
  }
  void onEnd() override {
    if (!std::exchange(told_, true)) done_(status_, body_);
  }
  void onFailed(Outcome, const std::string&, bool) override {
    status_ = 0;
    body_.clear();
    onEnd();
  }
  void onNotSent(const std::string& text) override { onFailed(Outcome::connectFailed, text, false); }
  void mute() override { told_ = true; }

 private:
  Done done_;
  bool told_ = false;
  int status_ = 0;
  std::string body_;
};

}  // namespace garnethook::engine
