// garnethook.v1.Generation: the streamed and the unary call.
#pragma once

#include "grpc_frontend/call.h"
#include "grpc_frontend/prompt_counting.h"
#include "grpc_frontend/request_decoder.h"

namespace garnethook::grpc_frontend {

class GenerateCall final : public Call, private routing::Client {
 public:
  // `counting`: none, where prompts are taken as estimated.
  // `waitingMost`: bytes of the answer that may wait for the client before it is given up.
  GenerateCall(bool streamed, routing::Router& router, PromptCounting* counting, const IntakeOptions& intake,
               std::size_t waitingMost, std::optional<Micros> timeout, CallOutput& output);
  ~GenerateCall() override;
  void onMessage(std::string_view message) override;
  void onRequestEnd() override;
  void onGone() override;

 private:
  void onTokens(const routing::Tokens& tokens) override;
  void onCompletion(const routing::Completion& ending) override;
  void refuseCall(grpc::Code code, const std::string& text);

  bool streamed_;
  routing::Router& router_;
  PromptCounting* counting_;
  std::uint64_t ticket_ = 0;
  const IntakeOptions& intake_;
  std::size_t waitingMost_;
  std::optional<Micros> timeout_;
  CallOutput& output_;
  std::optional<v1::GenerateRequest> request_;
  RequestId id_;
  bool taken_ = false;
  bool over_ = false;
  v1::GenerateResponse whole_;  // unary
  std::string buffer_;
};

}  // namespace garnethook::grpc_frontend
