#include "engine/control_exchange.h"

#include "engine/completions.h"

namespace garnethook::engine {
namespace {

constexpr std::size_t kMaxControlResponseBytes = std::size_t{64} * 1024;

}  // namespace

bool ControlExchange::onHead(const http1::Head& head) {
  status_ = head.status;
  if (const auto metrics = http1::find(head.fields, "endpoint-load-metrics"))
    report_ = parseLoadMetrics(*metrics);
  return true;
}

bool ControlExchange::onBody(std::string_view bytes) {
  bodyBytes_ += bytes.size();
  if (bodyBytes_ <= kMaxControlResponseBytes) return true;
  finish(0);
  return false;
}

void ControlExchange::finish(int status) {
  if (!std::exchange(isFinished_, true)) done_(status, report_);
}

bool DocumentExchange::onHead(const http1::Head& head) {
  status_ = head.status;
  return true;
}

bool DocumentExchange::onBody(std::string_view bytes) {
  if (body_.size() + bytes.size() <= kMaxBytes) {
    body_ += bytes;
    return true;
  }
  finishWithoutDocument();
  return false;
}

void DocumentExchange::onEnd() {
  if (!std::exchange(isFinished_, true)) done_(status_, body_);
}

void DocumentExchange::finishWithoutDocument() {
  status_ = 0;
  body_.clear();
  onEnd();
}

}  // namespace garnethook::engine
