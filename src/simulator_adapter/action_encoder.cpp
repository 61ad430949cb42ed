#include "simulator_adapter/action_encoder.h"

#include <algorithm>
#include <variant>

namespace garnethook::simulator_adapter {
namespace {

constexpr std::size_t kFractionDigits = 3;

std::string formatMilliseconds(Micros time) {
  std::string text = std::to_string(time / 1000);
  const std::string fraction = std::to_string(time % 1000);
  return text + '.' + std::string(kFractionDigits - fraction.size(), '0') + fraction;
}

}  // namespace

void ActionEncoder::append(const Action& action) {
  std::visit([this](const auto& concreteAction) { encode(concreteAction); }, action);
  reply_.push_back('\n');
}

void ActionEncoder::appendPanic(std::string_view error) {
  appendTextLine("PANIC", error);
  reply_.push_back('\n');
}

void ActionEncoder::encode(const Send& action) {
  beginRequestLine("ISSUE", action.id);
  if (action.timeout != 0) appendField("capMs", formatMilliseconds(std::max<Micros>(1, action.timeout)));
  appendField("engine", std::to_string(action.endpoint.value));
}

void ActionEncoder::encode(const Cancel& action) {
  beginRequestLine("CALL_OFF", action.id);
  appendField("trial", std::to_string(action.attempt));
}

void ActionEncoder::encode(const Reject& action) {
  beginRequestLine("SAY_NO", action.id);
  if (action.retryAfter > 0) appendField("holdOffMs", formatMilliseconds(action.retryAfter));
}

void ActionEncoder::encode(const Fail& action) { beginRequestLine("DROP_REQUEST", action.id); }

void ActionEncoder::encode(const Release& action) { beginRequestLine("CLEAR_STATE", action.id); }

void ActionEncoder::encode(const SetTimer& action) {
  beginLine("WAKE_AT");
  appendField("offsetMs", formatMilliseconds(std::max<Micros>(0, action.delay)));
  appendField("cookie", std::to_string(action.id.value));
}

void ActionEncoder::encode(const Probe& action) {
  beginLine("PROBE");
  appendField("engine", std::to_string(action.endpoint.value));
}

void ActionEncoder::encode(const Subscribe& /*action*/) {
  beginLine("SUBSCRIBE");
  appendField("on", "1");
}

void ActionEncoder::encode(const Log& action) { appendTextLine("REMARK", action.text); }

void ActionEncoder::beginLine(std::string_view verb) {
  reply_.append(verb);
  appendField("i", instance_);
}

void ActionEncoder::beginRequestLine(std::string_view verb, RequestId id) {
  beginLine(verb);
  appendField("txn", std::to_string(id.value));
}

void ActionEncoder::appendField(std::string_view name, std::string_view value) {
  reply_.append(" ").append(name).append("=").append(value);
}

// The text may contain spaces, so it is the last field of its line.
void ActionEncoder::appendTextLine(std::string_view verb, std::string_view value) {
  std::string line(value);
  std::replace(line.begin(), line.end(), '\n', ' ');
  beginLine(verb);
  appendField("text", line);
}

}  // namespace garnethook::simulator_adapter
