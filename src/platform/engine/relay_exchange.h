/// @file
/// HTTP exchange of one attempt in the platform's protocol.
#pragma once

#include <cstdint>
#include <string>

#include "engine/attempt_exchange.h"
#include "http1/event_stream.h"
#include "platform/engine/protocol.h"

namespace garnethook::platform {

/// Handles the response to one attempt: the short response to a prefill, or an event stream whose events are
/// forwarded unchanged as they arrive.
///
/// A stream is complete only if its last event is the end marker and its framing ends after it. Neither is
/// enough: engines were seen to end the framing in the middle of a response, and a stream may break off after
/// the marker.
class RelayExchange final : public engine::AttemptExchange {
 public:
  /// Maximum size of an event, in bytes.
  static constexpr std::size_t kMaxEventBytes = std::size_t{64} * 1024;
  /// Maximum size of a response body that is not streamed, in bytes.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

  /// @param events receives the tokens and the result; must outlive the exchange
  /// @param id id of the attempt
  /// @param phase determines the expected form of the response
  /// @param meanings interpretation of the values in load reports; must outlive the exchange
  RelayExchange(routing::EngineClientEvents& events, routing::AttemptId id, routing::Phase phase,
                const deployment_config::ReportMeanings& meanings);
  bool onHead(const http1::Head& head) override;
  bool onBody(std::string_view bytes) override;
  void onTrailer(const http1::Field& field) override;
  bool isComplete() const override { return kind_ != ResponseKind::stream || isStreamComplete(); }
  void onEnd() override;

 private:
  bool onStreamBytes(std::string_view bytes);
  void onEvent(const http1::EventStreamParser::Event& event);
  void onComment(std::string_view text);
  void reportProgressOfPart();
  void finishStream();
  bool isStreamComplete() const;

  routing::Phase phase_;
  const deployment_config::ReportMeanings& meanings_;
  http1::EventStreamParser parser_;
  ResponseKind kind_ = ResponseKind::failed;
  bool hasFraming_ = false;  // a body that is delimited only by the end of the connection may be truncated
  bool hasEventAfterEnd_ = false;  // an event, or part of one, followed the end marker
  std::string body_;
  // Complete events in the bytes being parsed, in the form in which they are forwarded to the client.
  std::string pendingText_;
  bool hasNewComment_ = false;  // in these bytes
  std::uint32_t pendingEvents_ = 0;
};

}  // namespace garnethook::platform
