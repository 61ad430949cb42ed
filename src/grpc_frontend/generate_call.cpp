#include "grpc_frontend/generate_call.h"

#include <google/protobuf/duration.pb.h>

#include "google/rpc/status.pb.h"

namespace garnethook::grpc_frontend {
namespace {

using routing::Disposition;
using routing::FailureReason;

grpc::Code toStatusCode(const routing::Completion& result) {
  if (result.disposition == Disposition::completed) return grpc::Code::ok;
  if (result.disposition == Disposition::rejected)
    return result.failureReason == FailureReason::tooManyRequests ||
                   result.failureReason == FailureReason::overloaded
               ? grpc::Code::resourceExhausted
               : grpc::Code::unavailable;
  switch (result.failureReason) {
    case FailureReason::deadline: return grpc::Code::deadlineExceeded;
    case FailureReason::badRequest: return grpc::Code::invalidArgument;
    case FailureReason::streamBroken:
    case FailureReason::streamStalled:
    case FailureReason::shuttingDown: return grpc::Code::aborted;
    case FailureReason::slowClient: return grpc::Code::resourceExhausted;
    default: return grpc::Code::internal;
  }
}

void fillFinish(v1::Finish& finishMessage, const routing::Completion& completion) {
  finishMessage.set_reason(completion.finishReason == routing::FinishReason::length ? v1::Finish::LENGTH
                                                                                    : v1::Finish::STOP);
  finishMessage.mutable_usage()->set_prompt_tokens(completion.usage.promptTokens);
  finishMessage.mutable_usage()->set_cached_tokens(completion.usage.cachedTokens);
  finishMessage.mutable_usage()->set_output_tokens(completion.usage.outputTokens);
  finishMessage.mutable_usage()->set_attempts(completion.usage.attempts);
}

}  // namespace

CallStatus toCallStatus(const routing::Completion& completion) {
  CallStatus mapped;
  mapped.status.code = toStatusCode(completion);
  if (completion.disposition == Disposition::completed) return mapped;
  mapped.status.message =
      std::string(completion.disposition == Disposition::rejected ? "refused: " : "failed: ") +
      completion.text;
  google::rpc::Status details;
  details.set_code(static_cast<int>(mapped.status.code));
  details.set_message(mapped.status.message);
  if (completion.disposition == Disposition::rejected) {
    const std::int64_t ms = std::max<std::int64_t>(1, (completion.retryAfter + 999) / 1000);
    mapped.status.retryAfterMs = ms;
    google::rpc::RetryInfo retry;
    retry.mutable_retry_delay()->set_seconds(ms / 1000);
    retry.mutable_retry_delay()->set_nanos(static_cast<std::int32_t>(ms % 1000 * 1'000'000));
    details.add_details()->PackFrom(retry);
  } else if (completion.failureReason != FailureReason::badRequest) {
    // The request was possibly executed, so client libraries must not retry it automatically.
    mapped.status.retryAfterMs = -1;
  }
  mapped.details = details.SerializeAsString();
  return mapped;
}

GenerateCall::GenerateCall(bool streaming, routing::Router& router, PromptTokenCounter* tokenCounter,
                           const RequestDecoderOptions& decoderOptions, std::size_t maxQueuedBytes,
                           const timing::Timers& clock, std::optional<Micros> deadline, CallOutput& output)
    : streaming_(streaming),
      router_(router),
      tokenCounter_(tokenCounter),
      decoderOptions_(decoderOptions),
      maxQueuedBytes_(maxQueuedBytes),
      clock_(clock),
      deadline_(deadline),
      output_(output) {}

GenerateCall::~GenerateCall() { onCancel(); }

void GenerateCall::failCall(grpc::Code code, const std::string& text) {
  if (std::exchange(finished_, true)) return;
  output_.finish({code, text, {}}, {}, false);
}

void GenerateCall::onMessage(std::string_view message) {
  if (finished_) return;
  if (request_) return failCall(grpc::Code::unimplemented, "one request message is taken");
  request_.emplace();
  if (!request_->ParseFromArray(message.data(), static_cast<int>(message.size())))
    failCall(grpc::Code::invalidArgument, "the message is no garnethook.v1.GenerateRequest");
}

void GenerateCall::onRequestEnd() {
  if (finished_) return;
  if (!request_) return failCall(grpc::Code::unimplemented, "a request message is missing");
  std::string error;
  const auto remaining = deadline_ ? std::optional(*deadline_ - clock_.now()) : std::nullopt;
  auto request = decodeRequest(*request_, remaining, decoderOptions_, error);
  request_->Clear();
  if (!request) return failCall(grpc::Code::invalidArgument, error);
  const auto submit = [this](routing::Request counted) {
    countTicket_ = 0;
    accepted_ = true;
    id_ = router_.accept(std::move(counted), *this);
  };
  if (tokenCounter_ == nullptr || !request->prompt) return submit(std::move(*request));
  countTicket_ = tokenCounter_->count(std::move(*request), submit);
}

void GenerateCall::onCancel() {
  if (std::exchange(finished_, true)) return;
  if (countTicket_ != 0) tokenCounter_->cancel(std::exchange(countTicket_, 0));
  if (!accepted_) return;
  router_.cancel(id_);
}

void GenerateCall::onTokens(const routing::Tokens& tokens) {
  if (finished_) return;
  if (!streaming_) {
    unaryResponse_.mutable_text()->append(tokens.text);
    for (const auto id : tokens.ids) unaryResponse_.add_ids(id);
    return;
  }
  v1::GenerateEvent event;
  auto& tokensMessage = *event.mutable_tokens();
  tokensMessage.set_index(tokens.index);
  tokensMessage.set_count(tokens.count);
  tokensMessage.set_text(tokens.text.data(), tokens.text.size());
  for (const auto id : tokens.ids) tokensMessage.add_ids(id);
  buffer_.clear();
  event.SerializeToString(&buffer_);
  output_.sendMessage(buffer_);
  if (output_.queuedBytes() > maxQueuedBytes_)
    router_.abort(id_, FailureReason::slowClient, "too much of the answer waits for the client");
}

void GenerateCall::onCompletion(const routing::Completion& completion) {
  if (std::exchange(finished_, true)) return;
  const CallStatus callStatus = toCallStatus(completion);
  if (completion.disposition == Disposition::completed) {
    if (streaming_) {
      v1::GenerateEvent event;
      fillFinish(*event.mutable_finish(), completion);
      output_.sendMessage(event.SerializeAsString());
    } else {
      fillFinish(*unaryResponse_.mutable_finish(), completion);
      output_.sendMessage(unaryResponse_.SerializeAsString());
    }
  }
  output_.finish(callStatus.status, callStatus.details, completion.disposition != Disposition::completed);
}

}  // namespace garnethook::grpc_frontend
