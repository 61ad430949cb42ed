/// @file
/// Writes the responses of one client connection to its stream.
#pragma once

#include <string_view>

#include "net/stream.h"
#include "platform/http_frontend/response.h"

namespace garnethook::platform {

/// Writes complete responses and chunked streams, one after the other.
class ResponseWriter {
 public:
  /// @param stream the client's connection; must outlive the writer
  explicit ResponseWriter(net::Stream& stream) : stream_(stream) {}

  /// Sends a complete response. No response may be streaming.
  void send(const Response& response);
  /// Sends the interim response that a client with `Expect: 100-continue` waits for.
  void sendContinue();
  /// Starts a streamed response.
  /// @param events the first events
  /// @param keepAlive false announces that the connection closes after this response
  void startStream(std::string_view events, bool keepAlive);
  /// Sends further events of the streamed response.
  void sendEvents(std::string_view events);
  /// Completes the streamed response.
  void finishStream();
  /// Whether a streamed response was started and not finished.
  bool isStreaming() const { return isStreaming_; }

 private:
  net::Stream& stream_;
  bool isStreaming_ = false;
};

}  // namespace garnethook::platform
