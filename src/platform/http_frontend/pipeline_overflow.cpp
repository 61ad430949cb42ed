#include "platform/http_frontend/pipeline_overflow.h"

namespace garnethook::platform {

std::size_t PipelineOverflow::scanStored(std::string_view stored) {
  isActive_ = true;
  isScanning_ = true;
  scannedBytes_ += stored.size();
  // Invalid input is left to the parser of the stored input, which rejects it.
  if (!hasEnded_ && !parser_.receive(stored)) {
    hasEnded_ = true;
    completeBytes_ = scannedBytes_;
  }
  isScanning_ = false;
  return completeBytes_;
}

void PipelineOverflow::receive(std::string_view bytes) {
  isActive_ = true;
  if (!hasEnded_ && !parser_.receive(bytes)) hasEnded_ = true;
}

void PipelineOverflow::onEnd() {
  if (isScanning_)
    completeBytes_ = scannedBytes_ - parser_.unconsumed();
  else
    ++dueRejections_;
  if (!isLastRequest_) return;
  hasEnded_ = true;
  parser_.stop();
}

void PipelineOverflow::endIfAnswered() {
  if (!isActive_ || dueRejections_ > 0 || isInsideRequest() || hasEnded_) return;
  isActive_ = false;
  scannedBytes_ = completeBytes_ = 0;
}

}  // namespace garnethook::platform
