/// @file
/// Encodes the policy's actions as lines of the simulator's reply. The words of those lines are known here
/// only.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/actions.h"

namespace garnethook::simulator_adapter {

/// Appends lines of one instance to a reply.
class ActionEncoder {
 public:
  /// `instance`: its number; `reply` must outlive the encoder.
  ActionEncoder(std::string& reply, std::uint64_t instance)
      : reply_(reply), instance_(std::to_string(instance)) {}

  /// Appends an action.
  void append(const Action& action);
  /// Appends that the instance has failed and is gone.
  void appendPanic(std::string_view error);

 private:
  void encode(const Send& action);
  void encode(const Cancel& action);
  void encode(const Reject& action);
  void encode(const Fail& action);
  void encode(const Release& action);
  void encode(const SetTimer& action);
  void encode(const Probe& action);
  void encode(const Subscribe& action);
  void encode(const Log& action);

  void begin(std::string_view verb);
  void beginForRequest(std::string_view verb, RequestId id);
  void field(std::string_view name, std::string_view value);
  void text(std::string_view verb, std::string_view value);

  std::string& reply_;
  std::string instance_;
};

}  // namespace garnethook::simulator_adapter
