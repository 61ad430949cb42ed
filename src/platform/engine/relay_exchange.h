/// @file
/// The exchange of one attempt in the platform's protocol.
#pragma once

#include <cstdint>
#include <string>

#include "engine/attempt_exchange.h"
#include "http1/event_stream.h"
#include "platform/engine/protocol.h"

namespace garnethook::platform {

/// Carries one attempt: the short response to a prefill, or a stream whose events are passed on unchanged as
/// they arrive.
class RelayExchange final : public engine::AttemptExchange {
 public:
  /// Longest event in bytes.
  static constexpr std::size_t kMaxEventBytes = std::size_t{64} * 1024;
  /// Longest response that is not streamed, in bytes.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

  /// @param events notified of tokens and of the result; must outlive the exchange
  /// @param id the attempt
  /// @param phase decides which form of response is expected
  /// @param meanings what the values of load reports mean; must outlive the exchange
  RelayExchange(routing::EngineClientEvents& events, routing::AttemptId id, routing::Phase phase,
                const deployment_config::ReportMeanings& meanings);
  bool onHead(const http1::Head& head) override;
  bool onBody(std::string_view bytes) override;
  void onEnd() override;

 private:
  bool onStreamBytes(std::string_view bytes);
  void onEvent(const http1::EventStreamParser::Event& event);
  void onComment(std::string_view text);
  void finishStream();

  routing::Phase phase_;
  const deployment_config::ReportMeanings& meanings_;
  http1::EventStreamParser parser_;
  ResponseKind kind_ = ResponseKind::failed;
  int status_ = 0;
  bool hasFraming_ = false;  // a response that ends with its connection may have been cut short
  std::string body_;
  // The complete events of the bytes that are being parsed, as they are passed on to the client.
  std::string pendingText_;
  std::uint32_t pendingEvents_ = 0;
  std::uint64_t eventCount_ = 0;
};

}  // namespace garnethook::platform
