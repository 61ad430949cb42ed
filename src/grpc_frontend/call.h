/// Interfaces between an HTTP/2 connection and the gRPC calls on it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "grpc/message.h"
#include "routing/router.h"

namespace garnethook::grpc_frontend {

/// Response side of a call; owned by its connection.
class CallOutput {
 public:
  virtual ~CallOutput() = default;
  /// Sends one response message.
  virtual void sendMessage(std::string_view bytes) = 0;
  /// Sends the status, which ends the call.
  /// @param details serialised google.rpc.Status, may be empty
  /// @param discardQueued sends the status immediately and drops response data that waits for the client's
  ///     flow-control window
  virtual void finish(const grpc::Status& status, std::string_view details, bool discardQueued) = 0;
  /// Bytes of the response that are not sent yet.
  virtual std::size_t queuedBytes() const = 0;
};

/// Request side of a call.
class Call {
 public:
  virtual ~Call() = default;
  /// A complete request message was received.
  virtual void onMessage(std::string_view message) = 0;
  /// The client has closed its side of the stream; no more messages follow.
  virtual void onRequestEnd() = 0;
  /// The client reset the stream or its connection was closed; no output may be sent any more.
  virtual void onCancel() = 0;
};

/// The gRPC form of a completion.
struct CallStatus {
  grpc::Status status;  ///< code, message and retry pushback
  std::string details;  ///< serialised google.rpc.Status; contains RetryInfo for rejected requests
};

/// Maps the completion of a request to a gRPC status.
CallStatus toCallStatus(const routing::Completion& completion);

}  // namespace garnethook::grpc_frontend
