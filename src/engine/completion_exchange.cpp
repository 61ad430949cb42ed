#include "engine/completion_exchange.h"

#include <utility>

#include "engine/event_stream_state.h"

namespace garnethook::engine {
namespace {

constexpr std::size_t kMaxErrorResponseBytes = std::size_t{64} * 1024;
// Limits how much of an unexpected content type is quoted in the error text.
constexpr std::size_t kMaxQuotedTypeBytes = 60;

}  // namespace

CompletionExchange::CompletionExchange(routing::EngineClientEvents& events, routing::AttemptId id,
                                       routing::Phase phase, const Options& options)
    : AttemptExchange(events, id),
      phase_(phase),
      options_(options),
      parser_(options.eventBytes, [this](const http1::EventStreamParser::Event& event) { onEvent(event); }) {
  parser_.onComment([this](std::string_view) { hasNewComment_ = true; });
}

bool CompletionExchange::onHead(const http1::Head& head) {
  result().response.status = status_ = head.status;
  if (const auto loadMetrics = http1::find(head.fields, "endpoint-load-metrics"))
    result().report = parseLoadMetrics(*loadMetrics);
  const auto contentType = http1::find(head.fields, "content-type").value_or("");
  isStreamed_ = status_ == 200 && phase_ != routing::Phase::prefill;
  if (!isStreamed_ || contentType.starts_with("text/event-stream")) return true;
  drop(Outcome::error, "an event stream was asked for, not \"" +
                           std::string(contentType.substr(0, kMaxQuotedTypeBytes)) + "\"");
  return false;
}

bool CompletionExchange::onBody(std::string_view bytes) {
  result().response.bodyBytes += bytes.size();
  if (isStreamed_) {
    if (!parser_.receive(bytes)) drop(Outcome::error, "an event of the answer is too large");
    if (!isFinished() && (isEventUnderWay(parser_) || std::exchange(hasNewComment_, false))) reportProgress();
    return !isFinished();
  }
  const std::size_t maxBodyBytes = status_ == 200 ? options_.responseBytes : kMaxErrorResponseBytes;
  if (body_.size() + bytes.size() > maxBodyBytes) {
    if (status_ == 200) drop(Outcome::error, "the answer is too large");
    return false;
  }
  body_.append(bytes);
  return true;
}

void CompletionExchange::onEnd() {
  if (isFinished()) return;
  if (status_ != 200) return finishErrorResponse();
  if (!isStreamed_) return finishPrefill();
  finish(Outcome::connectionReset, "the answer ended before its end");
}

// The status of an error response counts, however long its text is.
void CompletionExchange::onDropped() {
  AttemptExchange::onDropped();
  if (!isFinished()) finishErrorResponse();
}

void CompletionExchange::finishErrorResponse() {
  auto errorResult = parseErrorResponse(status_, body_);
  errorResult.report = result().report;
  finish(errorResult);
}

void CompletionExchange::finishPrefill() {
  const auto response = parsePrefillResponse(body_);
  if (!response) return finish(Outcome::error, std::string(message(response.error())));
  result().kvTransferParams = response->kvTransferParams;
  result().cachedTokens = response->cachedTokens;
  result().promptTokens = response->promptTokens;
  finish(Outcome::prefillDone, {});
}

void CompletionExchange::onEvent(const http1::EventStreamParser::Event& event) {
  if (isFinished()) return;
  ++result().response.events;
  const bool isEndMarker = event.data == kEndMarker;
  result().response.lastEvent = isEndMarker ? routing::LastEvent::marker : routing::LastEvent::data;
  if (isEndMarker && hasFinishReason_) return finish(Outcome::completed, {});
  if (isEndMarker) return drop(Outcome::connectionReset, "the answer ended without a finish reason");
  const auto chunk = parseChunk(event.data);
  if (!chunk) return drop(Outcome::error, std::string(message(chunk.error())));
  if (!chunk->engineError.empty()) return drop(Outcome::error, chunk->engineError);
  if (chunk->promptTokens) result().promptTokens = *chunk->promptTokens;
  if (chunk->outputTokens) result().outputTokens = *chunk->outputTokens;
  if (chunk->cachedTokens) result().cachedTokens = *chunk->cachedTokens;
  if (chunk->finishReason) {
    result().finishReason = *chunk->finishReason;
    hasFinishReason_ = true;
  }
  if (chunk->tokens > 0) reportTokens(chunk->text, chunk->tokens, chunk->tokenIds);
}

}  // namespace garnethook::engine
