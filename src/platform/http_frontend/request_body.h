/// @file
/// The body of a request that is being received, bounded by a budget of memory that all connections share.
/// Performs no I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "platform/http_frontend/byte_budget.h"

namespace garnethook::platform {

/// Collects a body. What counts against the budget is the memory that it occupies, which exceeds its size
/// while it grows.
class RequestBody {
 public:
  /// @param budget limit on the memory of all bodies together
  explicit RequestBody(ByteBudget& budget) : reservation_(budget) {}

  /// Appends bytes. @return false if the budget is exhausted; nothing is appended then
  [[nodiscard]] bool append(std::string_view bytes) {
    const std::size_t needed = text_.size() + bytes.size();
    const std::size_t capacity = needed <= reserved() ? reserved() : std::max(needed, kGrowth * reserved());
    if (!reservation_.tryAdd(capacity - reserved())) return false;
    text_.reserve(capacity);
    text_.append(bytes);
    return true;
  }
  /// Returns the body without excess memory; what it occupies is no longer counted.
  std::string take() {
    std::string text;
    text.swap(text_);
    text.shrink_to_fit();
    reservation_.release();
    return text;
  }
  /// Frees the memory. Assigning an empty string would keep it.
  void clear() {
    std::string().swap(text_);
    reservation_.release();
  }

 private:
  static constexpr std::size_t kGrowth = 2;
  std::size_t reserved() const { return reservation_.size(); }

  ByteReservation reservation_;
  std::string text_;
};

}  // namespace garnethook::platform
