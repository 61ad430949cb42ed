#include "engine/attempt.h"

#include <utility>

namespace garnethook::engine {
namespace {

constexpr std::size_t kErrorBytes = 64 * 1024;

}  // namespace

AttemptExchange::AttemptExchange(routing::EngineClientEvents& events, routing::AttemptId id,
                                 routing::Phase phase, const Options& options)
    : events_(events),
      id_(id),
      phase_(phase),
      options_(options),
      parser_(options.eventBytes, [this](const http1::EventStreamParser::Event& e) { onEvent(e); }) {}

bool AttemptExchange::onHead(const http1::Head& head) {
  status_ = head.status;
  if (const auto load = http1::find(head.fields, "endpoint-load-metrics")) result_.report = parseLoad(*load);
  const auto type = http1::find(head.fields, "content-type").value_or("");
  streamed_ = status_ == 200 && phase_ != routing::Phase::prefill;
  if (!streamed_ || type.starts_with("text/event-stream")) return true;
  finish(Outcome::error, "an event stream was asked for, not \"" + std::string(type.substr(0, 60)) + "\"");
  return false;
}

bool AttemptExchange::onBody(std::string_view bytes) {
  if (streamed_) {
    if (!parser_.receive(bytes)) finish(Outcome::error, "an event of the answer is too large");
    return !told_;
  }
  const std::size_t most = status_ == 200 ? options_.answerBytes : kErrorBytes;
  if (body_.size() + bytes.size() > most) {
    if (status_ == 200)
      finish(Outcome::error, "the answer is too large");
    else
      onEnd();
    return false;
  }
  body_.append(bytes);
  return true;
}

void AttemptExchange::onEnd() {
  if (told_) return;
  if (status_ != 200) {
    auto failed = failedAnswer(status_, body_);
    failed.report = result_.report;
    return tell(failed);
  }
  if (streamed_)
    return finishSeen_ ? finish(Outcome::completed, {})
                       : finish(Outcome::connectionReset, "the answer ended before its end");
  std::string error;
  const auto read = parseReadAnswer(body_, error);
  if (!read) return finish(Outcome::error, error);
  result_.kvTransferParams = read->kvTransferParams;
  result_.cachedTokens = read->cachedTokens;
  result_.promptTokens = read->promptTokens;
  finish(Outcome::prefillDone, {});
}

void AttemptExchange::onEvent(const http1::EventStreamParser::Event& event) {
  if (told_) return;
  if (event.data == "[DONE]") return finish(Outcome::completed, {});
  std::string error;
  const auto chunk = parseChunk(event.data, error);
  if (!chunk) return finish(Outcome::error, error);
  if (!chunk->error.empty()) return finish(Outcome::error, chunk->error);
  if (chunk->promptTokens) result_.promptTokens = *chunk->promptTokens;
  if (chunk->outputTokens) result_.outputTokens = *chunk->outputTokens;
  if (chunk->cachedTokens) result_.cachedTokens = *chunk->cachedTokens;
  if (chunk->finish) {
    result_.finishReason = *chunk->finish;
    finishSeen_ = true;
  }
  if (chunk->tokens > 0 && !told_) events_.onTokens(id_, chunk->text, chunk->tokens, chunk->ids);
}

void AttemptExchange::finish(Outcome outcome, const std::string& text) {
  result_.outcome = outcome;
  result_.text = text;
  tell(result_);
}

void AttemptExchange::tell(const routing::AttemptResult& result) {
  if (!std::exchange(told_, true)) events_.onAttemptEnded(id_, result);
}

bool ControlExchange::onHead(const http1::Head& head) {
  status_ = head.status;
  if (const auto load = http1::find(head.fields, "endpoint-load-metrics")) report_ = parseLoad(*load);
  return true;
}

bool ControlExchange::onBody(std::string_view bytes) {
  if ((seen_ += bytes.size()) <= kErrorBytes) return true;
  tell(0);
  return false;
}

}  // namespace garnethook::engine
