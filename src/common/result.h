/// @file
/// The result of an operation that either returns a value or fails with a typed error. For failures that are
/// part of normal operation; exceptions are used for invalid configurations.
#pragma once

#include <utility>
#include <variant>

namespace garnethook {

/// Wraps an error for conversion to a failed Result.
template <class Error>
struct Failure {
  Error error;  ///< Why the operation failed.
};
/// Deduction guide.
template <class Error>
Failure(Error) -> Failure<Error>;

/// Either a value or an error.
template <class Value, class Error>
class [[nodiscard]] Result {
 public:
  /// Creates a successful result.
  Result(Value value) : state_(std::in_place_index<0>, std::move(value)) {}
  /// Creates a failed result.
  Result(Failure<Error> failure) : state_(std::in_place_index<1>, std::move(failure.error)) {}

  /// Whether the operation succeeded.
  bool hasValue() const { return state_.index() == 0; }
  /// Whether the operation succeeded.
  explicit operator bool() const { return hasValue(); }
  /// The value; requires hasValue().
  Value& value() { return std::get<0>(state_); }
  /// The value; requires hasValue().
  const Value& value() const { return std::get<0>(state_); }
  /// Accesses a member of the value; requires hasValue().
  const Value* operator->() const { return &value(); }
  /// The error; requires !hasValue().
  const Error& error() const { return std::get<1>(state_); }

 private:
  std::variant<Value, Error> state_;
};

}  // namespace garnethook
