/// @file
/// Pipelined requests beyond the limits of PipelinedInput: they are read and counted, but not stored.
/// Performs no I/O and reads no clock.
///
/// Reading has to continue while a request is open, since nothing else shows that the client has closed the
/// connection. Every request that was read gets a response, so those that cannot be stored are rejected once
/// the requests before them have been answered.
#pragma once

#include <cstddef>
#include <string_view>

#include "http1/message.h"

namespace garnethook::platform {

/// Finds the ends of requests in input that is not stored, and counts the rejections that are due for them.
class PipelineOverflow final : private http1::MessageEvents {
 public:
  /// `limits`: the limits on one request.
  explicit PipelineOverflow(const http1::MessageLimits& limits)
      : limits_(limits), parser_(http1::MessageParser::Kind::request, limits_, *this) {}

  /// Whether input was discarded, so that further input must be passed to receive().
  bool isActive() const { return isActive_; }
  /// Starts to count, after stored input that begins with a request's first byte.
  /// @param stored the next bytes of the stored input; call once for each of its pieces, in order
  /// @return the size of the stored requests that are complete, over all calls; the rest is not to be stored
  std::size_t scanStored(std::string_view stored);
  /// Reads further input, which is not stored.
  void receive(std::string_view bytes);
  /// Number of requests that were read and are to be rejected.
  std::size_t dueRejections() const { return dueRejections_; }
  /// Records that one of these was rejected.
  void onRejected() { --dueRejections_; }
  /// Whether part of a request was read and discarded, and its rest is still to come.
  bool isInsideRequest() const { return isActive_ && !hasEnded_ && parser_.hasPartialInput(); }
  /// Whether no request can follow those that were counted: the input is invalid, or its client announced the
  /// end.
  bool hasEnded() const { return hasEnded_; }
  /// Ends the overflow once everything that was read has been answered, so that input is stored again.
  void endIfAnswered();

 private:
  void onHead(const http1::Head& head) override { isLastRequest_ = !head.keepAlive; }
  void onBody(std::string_view) override {}
  void onEnd() override;

  http1::MessageLimits limits_;
  http1::MessageParser parser_;
  bool isActive_ = false;
  bool isScanning_ = false;     // of stored input, whose requests are not counted
  bool isLastRequest_ = false;  // the current request announces that no further one follows
  bool hasEnded_ = false;
  std::size_t scannedBytes_ = 0;   // of stored input, with the piece that is being scanned
  std::size_t completeBytes_ = 0;  // of these, up to the end of a request
  std::size_t dueRejections_ = 0;
};

}  // namespace garnethook::platform
