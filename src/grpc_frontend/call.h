// One call at the gRPC front: from the request's messages to the core and back.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "grpc/message.h"
#include "routing/router.h"

namespace garnethook::grpc_frontend {

// What a call may send; owned by its connection.
class CallOutput {
 public:
  virtual ~CallOutput() = default;
  virtual void message(std::string_view bytes) = 0;
  // The one status. `now`: data that waits for the peer's window is given up for it.
  virtual void finish(const grpc::Status& status, std::string_view details, bool now) = 0;
  virtual std::size_t waiting() const = 0;  // bytes of the call not yet sent
};

class Call {
 public:
  virtual ~Call() = default;
  virtual void onMessage(std::string_view message) = 0;
  virtual void onRequestEnd() = 0;
  // The client reset the stream or is gone; nothing more is sent.
  virtual void onGone() = 0;
};

// How a final answer of the core is told over gRPC: status, and the serialised google.rpc.Status with
// RetryInfo for refusals.
struct Told {
  grpc::Status status;
  std::string details;
};
Told tell(const routing::Completion& ending);

}  // namespace garnethook::grpc_frontend
