// What a client has sent behind the request that is being answered, in the order in which it came. Free of
// I/O and clocks.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "policy/routing_policy.h"

namespace garnethook::platform {

class ReadAhead {
 public:
  // Bytes that came within this time share one piece, which bounds the cost of a peer that sends byte by
  // byte.
  static constexpr Micros kPieceSpan = 10'000;
  struct Piece {
    std::string bytes;
    Micros arrivedAt = 0;  // of its first byte
    std::size_t from = 0;  // what is before it was read already

    std::string_view unread() const { return std::string_view(bytes).substr(from); }
  };

  void append(std::string_view bytes, Micros now) {
    size_ += bytes.size();
    if (!pieces_.empty() && now - pieces_.back().arrivedAt < kPieceSpan)
      pieces_.back().bytes.append(bytes);
    else
      pieces_.push_back({std::string(bytes), now});
  }
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  // The oldest piece; there must be one.
  Piece takeFirst() {
    Piece first = std::move(pieces_.front());
    pieces_.pop_front();
    size_ -= first.unread().size();
    return first;
  }
  // Of a taken piece the first `read` bytes were read; the rest is taken again.
  void putBack(Piece piece, std::size_t read) {
    piece.from += read;
    if (piece.unread().empty()) return;
    size_ += piece.unread().size();
    pieces_.push_front(std::move(piece));
  }
  void clear() {
    pieces_.clear();
    size_ = 0;
  }

 private:
  std::deque<Piece> pieces_;
  std::size_t size_ = 0;
};

}  // namespace garnethook::platform
