// garnethook.v1.Generation: the streamed and the unary call.
#pragma once

#include "front/call.h"
#include "front/intake.h"
#include "front/prompt_counting.h"

namespace garnethook::front {

class GenerateCall final : public Call, private routing::Client {
 public:
  // `counting`: none, where prompts are taken as estimated.
  // `waitingMost`: octets of the answer that may wait for the client before it is given up.
  GenerateCall(bool streamed, routing::Router& router, PromptCounting* counting, const IntakeOptions& intake,
               std::size_t waitingMost, std::optional<Micros> timeout, CallOutput& output);
  ~GenerateCall() override;
  void onMessage(std::string_view message) override;
  void onRequestEnd() override;
  void onGone() override;

 private:
  void onTokens(const routing::Tokens& tokens) override;
  void onEnd(const routing::Ending& ending) override;
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

}  // namespace garnethook::front
