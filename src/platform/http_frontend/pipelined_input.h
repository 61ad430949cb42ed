/// @file
/// Input that a client sent after the request that is being answered (HTTP pipelining), in the order of
/// arrival. Performs no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "platform/http_frontend/byte_budget.h"
#include "policy/routing_policy.h"

namespace garnethook::platform {

/// The unparsed input of one connection, bounded by its own limit and by the budget of all connections.
class PipelinedInput {
 public:
  /// Bytes that arrive within this many microseconds share one segment, which bounds the overhead caused by a
  /// client that sends byte by byte.
  static constexpr Micros kSegmentWindow = 10'000;
  /// Bytes that arrived within one segment window.
  struct Segment {
    std::string bytes;           ///< The segment's bytes, including parsed ones.
    Micros arrivedAt = 0;        ///< When the first byte arrived.
    std::size_t parsedSize = 0;  ///< Number of leading bytes already parsed.

    /// The bytes not parsed yet.
    std::string_view unparsed() const { return std::string_view(bytes).substr(parsedSize); }
  };

  /// @param limit maximum bytes that this connection may buffer
  /// @param budget limit on the bytes that all connections together may buffer
  PipelinedInput(std::size_t limit, ByteBudget& budget) : limit_(limit), reservation_(budget) {}

  /// Appends bytes. @return false if a limit would be exceeded; nothing is appended then
  [[nodiscard]] bool append(std::string_view bytes, Micros now) {
    if (reservation_.size() + bytes.size() > limit_ || !reservation_.tryAdd(bytes.size())) return false;
    if (mayShareLastSegment(now)) {
      segments_.back().bytes.append(bytes);
    } else {
      if (!segments_.empty()) segments_.back().bytes.shrink_to_fit();
      segments_.push_back({std::string(bytes), now});
    }
    return true;
  }
  /// Whether there is no unparsed input.
  bool empty() const { return reservation_.size() == 0; }
  /// The unparsed input, oldest first.
  const std::deque<Segment>& segments() const { return segments_; }
  /// Discards all but the first `size` unparsed bytes.
  void truncate(std::size_t size) {
    while (reservation_.size() > size) {
      Segment& last = segments_.back();
      const std::size_t excess = std::min(reservation_.size() - size, last.unparsed().size());
      last.bytes.resize(last.bytes.size() - excess);
      reservation_.subtract(excess);
      if (last.unparsed().empty()) segments_.pop_back();
    }
    if (!segments_.empty()) segments_.back().bytes.shrink_to_fit();
  }
  /// Removes and returns the oldest segment. The input must not be empty.
  Segment takeFirst() {
    Segment first = std::move(segments_.front());
    segments_.pop_front();
    reservation_.subtract(first.unparsed().size());
    return first;
  }
  /// Returns a segment to the front after `parsedBytes` more of its bytes were parsed.
  void putBack(Segment segment, std::size_t parsedBytes) {
    segment.parsedSize += parsedBytes;
    if (segment.unparsed().empty()) return;
    // Parsed bytes are not counted, so they must not take up more memory than those that are.
    if (segment.parsedSize > segment.unparsed().size())
      segment = {std::string(segment.unparsed()), segment.arrivedAt};
    reservation_.add(segment.unparsed().size());
    segments_.push_front(std::move(segment));
  }
  /// Discards all unparsed input.
  void clear() {
    segments_.clear();
    reservation_.release();
  }

 private:
  // Larger segments are not extended, since a string that grows takes up to twice its size.
  static constexpr std::size_t kMaxSharedSegmentBytes = std::size_t{4} * 1024;

  bool mayShareLastSegment(Micros now) const {
    if (segments_.empty()) return false;
    const Segment& last = segments_.back();
    return now - last.arrivedAt < kSegmentWindow && last.bytes.size() < kMaxSharedSegmentBytes;
  }

  std::size_t limit_;
  ByteReservation reservation_;  // the unparsed bytes
  std::deque<Segment> segments_;
};

}  // namespace garnethook::platform
