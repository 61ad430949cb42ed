// Who counts a prompt's tokens before a request is taken.
#pragma once

#include <cstdint>
#include <functional>

#include "routing/request.h"

namespace garnethook::grpc_frontend {

class PromptCounting {
 public:
  virtual ~PromptCounting() = default;
  // Fills in the counts of a prompt that came as text and takes the time that this took off `remaining`.
  // `done` comes once, maybe before this returns; 0 then, else what cancel() takes.
  using Done = std::function<void(routing::Request)>;
  virtual std::uint64_t count(routing::Request request, Done done) = 0;
  // `done` does not come any more.
  virtual void cancel(std::uint64_t ticket) = 0;
};

}  // namespace garnethook::grpc_frontend
