/// @file
/// Encodes the policy's actions as lines of the reply to the simulator. The verbs and field names of
/// those lines are defined only here.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/actions.h"

namespace garnethook::simulator_adapter {

/// Appends the lines of one policy instance to a reply.
class ActionEncoder {
 public:
  /// `instance`: number of the policy instance; `reply` must outlive the encoder.
  ActionEncoder(std::string& reply, std::uint64_t instance)
      : reply_(reply), instance_(std::to_string(instance)) {}

  /// Appends the line of an action.
  void append(const Action& action);
  /// Appends the line that reports the failure and removal of the instance.
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

  void beginLine(std::string_view verb);
  void beginRequestLine(std::string_view verb, RequestId id);
  void appendField(std::string_view name, std::string_view value);
  void appendTextLine(std::string_view verb, std::string_view value);

  std::string& reply_;
  std::string instance_;
};

}  // namespace garnethook::simulator_adapter
