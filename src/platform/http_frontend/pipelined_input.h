/// @file
/// What a client has sent behind the request that is being answered (HTTP pipelining), in the order in which
/// it came. Free of I/O and clocks.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "platform/http_frontend/byte_budget.h"
#include "policy/routing_policy.h"

namespace garnethook::platform {

/// The unparsed input of one connection, bounded by its own limit and by the budget of all connections.
/// Once input had to be thrown away, none is taken any more.
class PipelinedInput {
 public:
  /// Bytes that arrive within this many microseconds share one segment, which bounds the cost of a client
  /// that sends byte by byte.
  static constexpr Micros kSegmentWindow = 10'000;
  /// Bytes that arrived at about the same time.
  struct Segment {
    std::string bytes;           ///< All bytes of the segment.
    Micros arrivedAt = 0;        ///< When the first of them arrived.
    std::size_t parsedSize = 0;  ///< How many bytes at the beginning have been parsed.

    /// The bytes that have not been parsed.
    std::string_view unparsed() const { return std::string_view(bytes).substr(parsedSize); }
  };

  /// @param limit bytes that this connection may buffer
  /// @param budget bytes that all connections together may buffer
  PipelinedInput(std::size_t limit, ByteBudget& budget) : limit_(limit), reservation_(budget) {}

  /// Appends bytes, or marks the input as overflowed where a limit does not allow that.
  void append(std::string_view bytes, Micros now) {
    if (reservation_.size() + bytes.size() > limit_ || !reservation_.tryAdd(bytes.size())) {
      overflowed_ = true;
      return;
    }
    if (!segments_.empty() && now - segments_.back().arrivedAt < kSegmentWindow)
      segments_.back().bytes.append(bytes);
    else
      segments_.push_back({std::string(bytes), now});
  }
  /// Whether nothing waits to be parsed.
  bool empty() const { return reservation_.size() == 0; }
  /// Whether input was thrown away because a limit was reached.
  bool hasOverflowed() const { return overflowed_; }
  /// Removes the oldest segment; there must be one.
  Segment takeFirst() {
    Segment first = std::move(segments_.front());
    segments_.pop_front();
    reservation_.subtract(first.unparsed().size());
    return first;
  }
  /// Puts a segment back at the front, after `parsed` more of its bytes were parsed.
  void putBack(Segment segment, std::size_t parsed) {
    segment.parsedSize += parsed;
    if (segment.unparsed().empty()) return;
    reservation_.add(segment.unparsed().size());
    segments_.push_front(std::move(segment));
  }
  /// Drops everything that waits.
  void clear() {
    segments_.clear();
    reservation_.release();
  }

 private:
  std::size_t limit_;
  ByteReservation reservation_;  // the unparsed bytes
  std::deque<Segment> segments_;
  bool overflowed_ = false;
};

}  // namespace garnethook::platform
