#include "platform/engine/relay_exchange.h"

#include <algorithm>
#include <array>
#include <utility>

#include "deployment_config/field_reader.h"
#include "engine/event_stream_state.h"

namespace garnethook::platform {
namespace {

// Whether the text starts with the lower-case prefix, ignoring case.
bool startsWithIgnoringCase(std::string_view text, std::string_view prefix) {
  if (text.size() < prefix.size()) return false;
  for (std::size_t i = 0; i < prefix.size(); ++i)
    if ((text[i] | 0x20) != (prefix[i] | 0x20)) return false;
  return true;
}

}  // namespace

RelayExchange::RelayExchange(routing::EngineClientEvents& events, routing::AttemptId id, routing::Phase phase,
                             const deployment_config::ReportMeanings& meanings)
    : AttemptExchange(events, id),
      phase_(phase),
      meanings_(meanings),
      parser_(kMaxEventBytes, [this](const http1::EventStreamParser::Event& event) { onEvent(event); }) {
  parser_.onComment([this](std::string_view text) { onComment(text); });
}

bool RelayExchange::onHead(const http1::Head& head) {
  result().response.status = head.status;
  kind_ = classifyResponse(head, phase_);
  hasFraming_ = http1::find(head.fields, "transfer-encoding") || http1::find(head.fields, "content-length");
  if (const auto loadField = http1::find(head.fields, "endpoint-load-metrics"))
    result().report = parseLoadReport(*loadField, meanings_);
  return true;
}

bool RelayExchange::onBody(std::string_view bytes) {
  if (isFinished()) return false;
  result().response.bodyBytes += bytes.size();
  if (kind_ == ResponseKind::stream) return onStreamBytes(bytes);
  if (body_.size() + bytes.size() > kMaxBodyBytes) {
    drop(Outcome::error, "the answer is too large");
    return false;
  }
  body_.append(bytes);
  return true;
}

bool RelayExchange::onStreamBytes(std::string_view bytes) {
  const bool isValid = parser_.receive(bytes);
  if (pendingEvents_ > 0) {
    const auto completedEvents = std::exchange(pendingEvents_, 0);
    result().response.events += completedEvents;
    const std::string text = std::exchange(pendingText_, {});
    reportTokens(text, completedEvents, {});
  }
  reportProgressOfPart();
  if (!isValid) drop(Outcome::error, "an event of the answer is too large");
  if (hasEventAfterEnd_) drop(Outcome::connectionReset, "an event followed the end of the stream");
  return !isFinished();
}

// Reports bytes that complete no event. Nothing is awaited after the end marker.
void RelayExchange::reportProgressOfPart() {
  const bool hasComment = std::exchange(hasNewComment_, false);
  if (isFinished() || result().response.lastEvent == routing::LastEvent::marker) return;
  if (hasComment || engine::isEventUnderWay(parser_)) reportProgress();
}

void RelayExchange::onEvent(const http1::EventStreamParser::Event& event) {
  if (result().response.lastEvent == routing::LastEvent::marker) hasEventAfterEnd_ = true;
  if (hasEventAfterEnd_) return;
  if (!event.type.empty()) pendingText_.append("event: ").append(event.type).append("\n");
  std::string_view data = event.data;
  while (true) {
    const auto lineEnd = data.find('\n');
    pendingText_.append("data: ").append(data.substr(0, lineEnd)).append("\n");
    if (lineEnd == std::string_view::npos) break;
    data.remove_prefix(lineEnd + 1);
  }
  pendingText_.append("\n");
  ++pendingEvents_;
  result().response.lastEvent =
      event.data == engine::kEndMarker ? routing::LastEvent::marker : routing::LastEvent::data;
  if (event.data.find("\"usage\"") != std::string::npos)
    if (const double cached = parseCachedTokens(event.data); cached > 0) result().cachedTokens = cached;
}

// Lines of an event stream have the form of trailer fields.
void RelayExchange::onTrailer(const http1::Field& field) {
  constexpr std::array<std::string_view, 4> kEventStreamFields{"data", "event", "id", "retry"};
  if (std::find(kEventStreamFields.begin(), kEventStreamFields.end(), field.name) != kEventStreamFields.end())
    hasEventAfterEnd_ = true;
}

// Engines send load reports as comments of the event stream.
void RelayExchange::onComment(std::string_view text) {
  hasNewComment_ = true;
  constexpr std::string_view kName = "endpoint-load-metrics:";
  while (text.starts_with(' ')) text.remove_prefix(1);
  if (!startsWithIgnoringCase(text, kName)) return;
  if (const auto report = parseLoadReport(text.substr(kName.size()), meanings_)) result().report = report;
}

void RelayExchange::onEnd() {
  if (isFinished()) return;
  const std::string status = "status " + std::to_string(result().response.status);
  switch (kind_) {
    case ResponseKind::prefillDone:
      result().cachedTokens = parseCachedTokens(body_);
      return finish(Outcome::prefillDone, {});
    case ResponseKind::stream: return finishStream();
    case ResponseKind::kvStateMissing:
      result().kvStateMissing = true;
      return finish(Outcome::rejected, status + ", no state");
    case ResponseKind::rejected: return finish(Outcome::rejected, status + ", never ran");
    case ResponseKind::failed: return finish(Outcome::error, status);
  }
}

void RelayExchange::finishStream() {
  if (result().response.events == 0) return finish(Outcome::error, "a stream without events");
  if (!isStreamComplete()) return finish(Outcome::connectionReset, "the stream was cut short");
  finish(Outcome::completed, {});
}

bool RelayExchange::isStreamComplete() const {
  return hasFraming_ && !parser_.endedMidEvent() && !hasEventAfterEnd_ &&
         result().response.lastEvent == routing::LastEvent::marker;
}

}  // namespace garnethook::platform
