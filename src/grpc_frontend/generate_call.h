/// Calls of garnethook.v1.Generation: Generate (server streaming) and GenerateOnce (unary).
#pragma once

#include "grpc_frontend/call.h"
#include "grpc_frontend/prompt_counting.h"
#include "grpc_frontend/request_decoder.h"

namespace garnethook::grpc_frontend {

/// One generation call: decodes the request, passes it to the router and returns the response.
class GenerateCall final : public Call, private routing::Client {
 public:
  /// @param streaming Generate if true, otherwise GenerateOnce
  /// @param tokenCounter nullptr: token counts of prompts remain estimates
  /// @param maxQueuedBytes the call is aborted once more response data than this waits for a slow client
  /// @param clock the clock of the deadline; must outlive the call
  /// @param deadline the client's deadline, if specified
  GenerateCall(bool streaming, routing::Router& router, PromptTokenCounter* tokenCounter,
               const RequestDecoderOptions& decoderOptions, std::size_t maxQueuedBytes,
               const timing::Timers& clock, std::optional<Micros> deadline, CallOutput& output);
  ~GenerateCall() override;
  void onMessage(std::string_view message) override;
  void onRequestEnd() override;
  void onCancel() override;

 private:
  void onTokens(const routing::Tokens& tokens) override;
  void onCompletion(const routing::Completion& completion) override;
  void failCall(grpc::Code code, const std::string& text);

  bool streaming_;
  routing::Router& router_;
  PromptTokenCounter* tokenCounter_;
  std::uint64_t countTicket_ = 0;  // 0: no count in progress
  const RequestDecoderOptions& decoderOptions_;
  std::size_t maxQueuedBytes_;
  const timing::Timers& clock_;
  std::optional<Micros> deadline_;
  CallOutput& output_;
  std::optional<v1::GenerateRequest> request_;
  RequestId id_;
  bool accepted_ = false;  // by the router
  bool finished_ = false;
  v1::GenerateResponse unaryResponse_;
  std::string buffer_;
};

}  // namespace garnethook::grpc_frontend
