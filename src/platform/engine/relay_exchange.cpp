#include "platform/engine/relay_exchange.h"

#include "deployment_config/field_reader.h"

namespace garnethook::platform {

RelayExchange::RelayExchange(routing::EngineClientEvents& events, routing::AttemptId id, routing::Phase phase,
                             const deployment_config::ReportMeanings& meanings)
    : events_(events),
      id_(id),
      phase_(phase),
      meanings_(meanings),
      parser_(kEventBytes, [this](const http1::EventStreamParser::Event& e) { onEvent(e); }) {
  parser_.onComment([this](std::string_view text) {
    constexpr std::string_view kName = "endpoint-load-metrics:";
    while (text.starts_with(' ')) text.remove_prefix(1);
    if (text.size() < kName.size()) return;
    for (std::size_t i = 0; i < kName.size(); ++i)
      if ((text[i] | 0x20) != (kName[i] | 0x20)) return;
    if (auto report = parseReport(text.substr(kName.size()), meanings_)) result_.report = report;
  });
}

bool RelayExchange::onHead(const http1::Head& head) {
  status_ = head.status;
  verdict_ = judge(head, phase_);
  framed_ = http1::find(head.fields, "transfer-encoding") || http1::find(head.fields, "content-length");
  if (const auto load = http1::find(head.fields, "endpoint-load-metrics"))
    result_.report = parseReport(*load, meanings_);
  return true;
}

bool RelayExchange::onBody(std::string_view bytes) {
  if (told_) return false;
  if (verdict_ == Verdict::stream) {
    const bool good = parser_.receive(bytes);
    if (pieces_ > 0) {
      const auto count = std::exchange(pieces_, 0);
      seen_ += count;
      const std::string piece = std::exchange(piece_, {});
      events_.onTokens(id_, piece, count, {});
    }
    if (!good) finish(Outcome::error, "an event of the answer is too large");
    return !told_;
  }
  if (body_.size() + bytes.size() > kAnswerBytes) {
    finish(Outcome::error, "the answer is too large");
    return false;
  }
  body_.append(bytes);
  return true;
}

void RelayExchange::onEvent(const http1::EventStreamParser::Event& event) {
  if (!event.type.empty()) piece_.append("event: ").append(event.type).append("\n");
  std::string_view data = event.data;
  while (true) {
    const auto end = data.find('\n');
    piece_.append("data: ").append(data.substr(0, end)).append("\n");
    if (end == std::string_view::npos) break;
    data.remove_prefix(end + 1);
  }
  piece_.append("\n");
  ++pieces_;
  if (event.data.find("\"usage\"") != std::string::npos)
    if (const double cached = cachedTokens(event.data); cached > 0) result_.cachedTokens = cached;
}

void RelayExchange::onEnd() {
  const std::string said = "status " + std::to_string(status_);
  switch (verdict_) {
    case Verdict::readDone:
      result_.cachedTokens = cachedTokens(body_);
      return finish(Outcome::prefillDone, {});
    case Verdict::stream:
      if (seen_ == 0) return finish(Outcome::error, "a stream without events");
      if (!framed_ || parser_.cutShort()) return finish(Outcome::connectionReset, "the stream was cut short");
      return finish(Outcome::completed, {});
    case Verdict::noState:
      result_.kvStateMissing = true;
      return finish(Outcome::rejected, said + ", no state");
    case Verdict::rejected: return finish(Outcome::rejected, said + ", never ran");
    case Verdict::failed: return finish(Outcome::error, said);
  }
}

void RelayExchange::finish(Outcome outcome, std::string text) {
  if (std::exchange(told_, true)) return;
  result_.outcome = outcome;
  result_.text = std::move(text);
  events_.onAttemptEnded(id_, result_);
}

}  // namespace garnethook::platform
