#include "simulator_adapter/action_encoder.h"

#include <algorithm>
#include <variant>

namespace garnethook::simulator_adapter {
namespace {

constexpr std::size_t kDecimals = 3;

std::string milliseconds(Micros time) {
  std::string text = std::to_string(time / 1000);
  const std::string rest = std::to_string(time % 1000);
  return text + '.' + std::string(kDecimals - rest.size(), '0') + rest;
}

}  // namespace

void ActionEncoder::append(const Action& action) {
  std::visit([this](const auto& kindOfAction) { encode(kindOfAction); }, action);
  reply_.push_back('\n');
}

void ActionEncoder::appendPanic(std::string_view error) {
  text("PANIC", error);
  reply_.push_back('\n');
}

void ActionEncoder::encode(const Send& action) {
  beginForRequest("ISSUE", action.id);
  if (action.timeout != 0) field("capMs", milliseconds(std::max<Micros>(1, action.timeout)));
  field("engine", std::to_string(action.endpoint.value));
}

void ActionEncoder::encode(const Cancel& action) {
  beginForRequest("CALL_OFF", action.id);
  field("trial", std::to_string(action.attempt));
}

void ActionEncoder::encode(const Reject& action) {
  beginForRequest("SAY_NO", action.id);
  if (action.retryAfter > 0) field("holdOffMs", milliseconds(action.retryAfter));
}

void ActionEncoder::encode(const Fail& action) { beginForRequest("DROP_REQUEST", action.id); }

void ActionEncoder::encode(const Release& action) { beginForRequest("CLEAR_STATE", action.id); }

void ActionEncoder::encode(const SetTimer& action) {
  begin("WAKE_AT");
  field("offsetMs", milliseconds(std::max<Micros>(0, action.delay)));
  field("cookie", std::to_string(action.id.value));
}

void ActionEncoder::encode(const Probe& action) {
  begin("PROBE");
  field("engine", std::to_string(action.endpoint.value));
}

void ActionEncoder::encode(const Subscribe& /*action*/) {
  begin("SUBSCRIBE");
  field("on", "1");
}

void ActionEncoder::encode(const Log& action) { text("REMARK", action.text); }

void ActionEncoder::begin(std::string_view verb) {
  reply_.append(verb);
  field("i", instance_);
}

void ActionEncoder::beginForRequest(std::string_view verb, RequestId id) {
  begin(verb);
  field("txn", std::to_string(id.value));
}

void ActionEncoder::field(std::string_view name, std::string_view value) {
  reply_.append(" ").append(name).append("=").append(value);
}

// The text is the last field of its line, and may hold spaces.
void ActionEncoder::text(std::string_view verb, std::string_view value) {
  std::string line(value);
  std::replace(line.begin(), line.end(), '\n', ' ');
  begin(verb);
  field("text", line);
}

}  // namespace garnethook::simulator_adapter
