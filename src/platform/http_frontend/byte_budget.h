/// @file
/// A limit on the bytes that all connections together may buffer, and one connection's share of it. Free of
/// I/O. Not thread-safe: everything runs on the loop's thread.
#pragma once

#include <cstddef>
#include <utility>

namespace garnethook::platform {

/// A limit on buffered bytes that several owners share.
class ByteBudget {
 public:
  /// @param limit bytes that all reservations together may hold
  explicit ByteBudget(std::size_t limit) : limit_(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  /// Bytes that are reserved now.
  std::size_t used() const { return used_; }
  /// Whether this many more bytes stay within the limit.
  bool hasRoomFor(std::size_t bytes) const { return used_ + bytes <= limit_; }

 private:
  friend class ByteReservation;
  std::size_t limit_;
  std::size_t used_ = 0;
};

/// One owner's bytes in a budget; gives them back when it ends. An empty reservation may outlive its budget.
class ByteReservation {
 public:
  /// An empty reservation.
  /// @param budget where the bytes are counted
  explicit ByteReservation(ByteBudget& budget) : budget_(budget) {}
  ~ByteReservation() { release(); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /// Bytes that this reservation holds.
  std::size_t size() const { return size_; }
  /// Adds bytes if the budget has room for them. @return false: nothing was added
  bool tryAdd(std::size_t bytes) {
    if (!budget_.hasRoomFor(bytes)) return false;
    add(bytes);
    return true;
  }
  /// Adds bytes that the process holds already, whatever the limit.
  void add(std::size_t bytes) {
    budget_.used_ += bytes;
    size_ += bytes;
  }
  /// Gives some bytes back, at most size().
  void subtract(std::size_t bytes) {
    budget_.used_ -= bytes;
    size_ -= bytes;
  }
  /// Gives all bytes back.
  void release() {
    if (size_ > 0) budget_.used_ -= std::exchange(size_, 0);
  }

 private:
  ByteBudget& budget_;
  std::size_t size_ = 0;
};

}  // namespace garnethook::platform
