/// Interface for counting the tokens of a prompt before the router accepts its request.
#pragma once

#include <cstdint>
#include <functional>

#include "routing/request.h"

namespace garnethook::grpc_frontend {

/// Counts prompt tokens asynchronously.
class PromptTokenCounter {
 public:
  virtual ~PromptTokenCounter() = default;
  /// Receives the request with its token counts.
  using Done = std::function<void(routing::Request)>;
  /// Fills in the token counts of a request whose prompt is text, and subtracts the time that this takes from
  /// `remaining`.
  /// @param done called once, possibly before count() returns
  /// @return a ticket for cancel(), or 0 if `done` was called already
  virtual std::uint64_t count(routing::Request request, Done done) = 0;
  /// Cancels a count; its `done` is not called any more.
  virtual void cancel(std::uint64_t ticket) = 0;
};

}  // namespace garnethook::grpc_frontend
