// The exchange of one attempt: a read's short answer, or a stream whose events are handed on as they come.
#pragma once

#include <string>
#include <utility>

#include "engine/exchange.h"
#include "http1/event_stream.h"
#include "platform/engine/protocol.h"
#include "routing/engine_client.h"

namespace garnethook::platform {

class RelayExchange final : public engine::Exchange {
 public:
  static constexpr std::size_t kEventBytes = 64 * 1024;
  static constexpr std::size_t kAnswerBytes = 64 * 1024;

  RelayExchange(routing::EngineClientEvents& events, routing::AttemptId id, routing::Phase phase,
                const deployment_config::ReportMeanings& meanings);
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
  void finish(Outcome outcome, std::string text);

  routing::EngineClientEvents& events_;
  routing::AttemptId id_;
  routing::Phase phase_;
  const deployment_config::ReportMeanings& meanings_;
  http1::EventStreamParser parser_;
  routing::AttemptResult result_;
  Verdict verdict_ = Verdict::failed;
  int status_ = 0;
  bool framed_ = false;  // the answer tells its own end; one that ends with its connection may be cut short
  std::string body_;
  std::string piece_;  // the whole events of this turn, as they go on to the client
  std::uint32_t pieces_ = 0;
  std::uint64_t seen_ = 0;
  bool told_ = false;
};

}  // namespace garnethook::platform
