#include "routing/engine_client.h"

namespace garnethook::routing {

std::string_view name(Phase phase) {
  switch (phase) {
    case Phase::prefill: return "prefill";
    case Phase::decode: return "decode";
    case Phase::combined: return "combined";
  }
  return "unknown";
}

std::string_view name(Outcome outcome) {
  switch (outcome) {
    case Outcome::completed: return "completed";
    case Outcome::prefillDone: return "prefill-done";
    case Outcome::error: return "error";
    case Outcome::rejected: return "rejected";
    case Outcome::timedOut: return "timed-out";
    case Outcome::connectFailed: return "connect-failed";
    case Outcome::connectionReset: return "connection-reset";
    case Outcome::cancelled: return "cancelled";
    case Outcome::notSent: return "not-sent";
  }
  return "unknown";
}

std::string_view name(LastEvent event) {
  switch (event) {
    case LastEvent::none: return "none";
    case LastEvent::data: return "data";
    case LastEvent::marker: return "end-marker";
  }
  return "unknown";
}

std::string_view name(DeliveryState state) {
  switch (state) {
    case DeliveryState::undelivered: return "undelivered";
    case DeliveryState::written: return "written";
    case DeliveryState::confirmed: return "confirmed";
  }
  return "unknown";
}

}  // namespace garnethook::routing
