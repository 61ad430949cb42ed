/// @file
/// Writes the responses of one client connection to its stream.
#pragma once

#include <string_view>

#include "net/stream.h"
#include "platform/http_frontend/response.h"

namespace garnethook::platform {

/// Writes complete responses and responses that are streamed in chunks, one after the other.
class ResponseWriter {
 public:
  /// @param stream the client's connection; must outlive the writer
  explicit ResponseWriter(net::Stream& stream) : stream_(stream) {}

  /// Sends a complete response; none may be streaming.
  void send(const Response& response);
  /// Tells a client that waits with its body to go on.
  void sendContinue();
  /// Starts a streamed response, with its first events.
  /// @param events the first events
  /// @param keepAlive false: announces that the connection ends after this response
  void startStream(std::string_view events, bool keepAlive);
  /// Sends further events of the streamed response.
  void sendEvents(std::string_view events);
  /// Ends the streamed response as complete.
  void finishStream();
  /// Whether a streamed response has been started and not finished.
  bool isStreaming() const { return isStreaming_; }

 private:
  net::Stream& stream_;
  bool isStreaming_ = false;
};

}  // namespace garnethook::platform
