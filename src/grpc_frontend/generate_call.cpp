#include "grpc_frontend/generate_call.h"

#include <google/protobuf/duration.pb.h>

#include "google/rpc/status.pb.h"

namespace garnethook::grpc_frontend {
namespace {

using routing::Disposition;
using routing::FailureReason;

grpc::Code codeOf(const routing::Completion& e) {
  if (e.disposition == Disposition::completed) return grpc::Code::ok;
  if (e.disposition == Disposition::rejected)
    return e.failureReason == FailureReason::tooManyRequests || e.failureReason == FailureReason::overloaded
               ? grpc::Code::resourceExhausted
               : grpc::Code::unavailable;
  switch (e.failureReason) {
    case FailureReason::deadline: return grpc::Code::deadlineExceeded;
    case FailureReason::badRequest: return grpc::Code::invalidArgument;
    case FailureReason::streamBroken:
    case FailureReason::streamStalled:
    case FailureReason::shuttingDown: return grpc::Code::aborted;
    case FailureReason::slowClient: return grpc::Code::resourceExhausted;
    default: return grpc::Code::internal;
  }
}

void fill(v1::Finish& out, const routing::Completion& ending) {
  out.set_reason(ending.finishReason == routing::FinishReason::length ? v1::Finish::LENGTH
                                                                      : v1::Finish::STOP);
  out.mutable_usage()->set_prompt_tokens(ending.usage.promptTokens);
  out.mutable_usage()->set_cached_tokens(ending.usage.cachedTokens);
  out.mutable_usage()->set_output_tokens(ending.usage.outputTokens);
  out.mutable_usage()->set_attempts(ending.usage.attempts);
}

}  // namespace

Told tell(const routing::Completion& ending) {
  Told out;
  out.status.code = codeOf(ending);
  if (ending.disposition == Disposition::completed) return out;
  out.status.message =
      std::string(ending.disposition == Disposition::rejected ? "refused: " : "failed: ") + ending.text;
  google::rpc::Status details;
  details.set_code(static_cast<int>(out.status.code));
  details.set_message(out.status.message);
  if (ending.disposition == Disposition::rejected) {
    const std::int64_t ms = std::max<std::int64_t>(1, (ending.retryAfter + 999) / 1000);
    out.status.retryAfterMs = ms;
    google::rpc::RetryInfo retry;
    retry.mutable_retry_delay()->set_seconds(ms / 1000);
    retry.mutable_retry_delay()->set_nanos(static_cast<std::int32_t>(ms % 1000 * 1'000'000));
    details.add_details()->PackFrom(retry);
  } else if (ending.failureReason != FailureReason::badRequest) {
    // It may have run: a client library must not repeat it by itself.
    out.status.retryAfterMs = -1;
  }
  out.details = details.SerializeAsString();
  return out;
}

GenerateCall::GenerateCall(bool streamed, routing::Router& router, PromptCounting* counting,
                           const IntakeOptions& intake, std::size_t waitingMost,
                           std::optional<Micros> timeout, CallOutput& output)
    : streamed_(streamed),
      router_(router),
      counting_(counting),
      intake_(intake),
      waitingMost_(waitingMost),
      timeout_(timeout),
      output_(output) {}

GenerateCall::~GenerateCall() { onGone(); }

void GenerateCall::refuseCall(grpc::Code code, const std::string& text) {
  if (std::exchange(over_, true)) return;
  output_.finish({code, text, {}}, {}, false);
}

void GenerateCall::onMessage(std::string_view message) {
  if (over_) return;
  if (request_) return refuseCall(grpc::Code::unimplemented, "one request message is taken");
  request_.emplace();
  if (!request_->ParseFromArray(message.data(), static_cast<int>(message.size())))
    refuseCall(grpc::Code::invalidArgument, "the message is no garnethook.v1.GenerateRequest");
}

void GenerateCall::onRequestEnd() {
  if (over_) return;
  if (!request_) return refuseCall(grpc::Code::unimplemented, "a request message is missing");
  std::string error;
  auto request = takeIn(*request_, timeout_, intake_, error);
  request_->Clear();
  if (!request) return refuseCall(grpc::Code::invalidArgument, error);
  const auto take = [this](routing::Request counted) {
    ticket_ = 0;
    taken_ = true;
    id_ = router_.accept(std::move(counted), *this);
  };
  if (counting_ == nullptr || !request->prompt) return take(std::move(*request));
  ticket_ = counting_->count(std::move(*request), take);
}

void GenerateCall::onGone() {
  if (std::exchange(over_, true)) return;
  if (ticket_ != 0) counting_->cancel(std::exchange(ticket_, 0));
  if (!taken_) return;
  router_.cancel(id_);
}

void GenerateCall::onTokens(const routing::Tokens& tokens) {
  if (over_) return;
  if (!streamed_) {
    whole_.mutable_text()->append(tokens.text);
    for (const auto id : tokens.ids) whole_.add_ids(id);
    return;
  }
  v1::GenerateEvent event;
  auto& out = *event.mutable_tokens();
  out.set_index(tokens.index);
  out.set_count(tokens.count);
  out.set_text(tokens.text.data(), tokens.text.size());
  for (const auto id : tokens.ids) out.add_ids(id);
  buffer_.clear();
  event.SerializeToString(&buffer_);
  output_.message(buffer_);
  if (output_.waiting() > waitingMost_)
    router_.abort(id_, FailureReason::slowClient, "too much of the answer waits for the client");
}

void GenerateCall::onCompletion(const routing::Completion& ending) {
  if (std::exchange(over_, true)) return;
  const Told told = tell(ending);
  if (ending.disposition == Disposition::completed) {
    if (streamed_) {
      v1::GenerateEvent event;
      fill(*event.mutable_finish(), ending);
      output_.message(event.SerializeAsString());
    } else {
      fill(*whole_.mutable_finish(), ending);
      output_.message(whole_.SerializeAsString());
    }
  }
  output_.finish(told.status, told.details, ending.disposition != Disposition::completed);
}

}  // namespace garnethook::grpc_frontend
