/// @file
/// A limit on the bytes that all connections together may buffer, and the reservation of a single connection.
/// Performs no I/O. Not thread-safe; used only on the event loop's thread.
#pragma once

#include <cstddef>
#include <utility>

namespace garnethook::platform {

/// A limit on buffered bytes, shared by several reservations.
class ByteBudget {
 public:
  /// @param limit maximum bytes held by all reservations together
  explicit ByteBudget(std::size_t limit) : limit_(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  /// Bytes currently reserved.
  std::size_t used() const { return used_; }
  /// Whether more than the limit is reserved.
  bool isExceeded() const { return used_ > limit_; }
  /// Whether reserving this many more bytes stays within the limit.
  bool canReserve(std::size_t bytes) const { return used_ + bytes <= limit_; }

 private:
  friend class ByteReservation;
  std::size_t limit_;
  std::size_t used_ = 0;
};

/// One owner's bytes in a budget, returned on destruction. An empty reservation may outlive its budget.
class ByteReservation {
 public:
  /// Creates an empty reservation.
  /// @param budget the budget that the bytes are counted against
  explicit ByteReservation(ByteBudget& budget) : budget_(budget) {}
  ~ByteReservation() { release(); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /// Bytes that this reservation holds.
  std::size_t size() const { return size_; }
  /// Adds bytes if the budget allows it. @return false if nothing was added
  bool tryAdd(std::size_t bytes) {
    if (!budget_.canReserve(bytes)) return false;
    add(bytes);
    return true;
  }
  /// Adds bytes that the process already holds, regardless of the limit.
  void add(std::size_t bytes) {
    budget_.used_ += bytes;
    size_ += bytes;
  }
  /// Changes the size to `bytes` if the budget allows it. @return false if nothing was changed
  bool tryResize(std::size_t bytes) {
    if (bytes > size_) return tryAdd(bytes - size_);
    subtract(size_ - bytes);
    return true;
  }
  /// Changes the size to `bytes`, regardless of the limit.
  void resize(std::size_t bytes) {
    release();
    add(bytes);
  }
  /// Returns bytes to the budget, at most size().
  void subtract(std::size_t bytes) {
    budget_.used_ -= bytes;
    size_ -= bytes;
  }
  /// Returns all bytes to the budget.
  void release() {
    if (size_ > 0) budget_.used_ -= std::exchange(size_, 0);
  }

 private:
  ByteBudget& budget_;
  std::size_t size_ = 0;
};

}  // namespace garnethook::platform
