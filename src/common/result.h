/// @file
/// The result of an operation that either yields a value or fails with a typed error. For failures that are
/// part of normal operation; exceptions are for configurations that can't be used.
#pragma once

#include <utility>
#include <variant>

namespace garnethook {

/// Marks an error as such, to be converted into a Result.
template <class Error>
struct Failure {
  Error error;  ///< Why the operation failed.
};
/// Deduces the type of the error.
template <class Error>
Failure(Error) -> Failure<Error>;

/// Either a value or an error.
template <class Value, class Error>
class [[nodiscard]] Result {
 public:
  /// A success.
  Result(Value value) : state_(std::in_place_index<0>, std::move(value)) {}
  /// A failure.
  Result(Failure<Error> failure) : state_(std::in_place_index<1>, std::move(failure.error)) {}

  /// Whether there is a value.
  bool hasValue() const { return state_.index() == 0; }
  /// Whether there is a value.
  explicit operator bool() const { return hasValue(); }
  /// The value; there must be one.
  Value& value() { return std::get<0>(state_); }
  /// The value; there must be one.
  const Value& value() const { return std::get<0>(state_); }
  /// The value's members; there must be a value.
  const Value* operator->() const { return &value(); }
  /// The error; there must be one.
  const Error& error() const { return std::get<1>(state_); }

 private:
  std::variant<Value, Error> state_;
};

}  // namespace garnethook
