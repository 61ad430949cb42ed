#include "engine/pooled_engine_client.h"

#include <string>

namespace garnethook::engine {

const membership::EndpointSpec* PooledEngineClient::findForAttempt(const routing::AttemptSpec& attempt,
                                                                   std::string_view poolFullText) {
  const auto* const spec = pool_.find(attempt.endpoint);
  if (spec != nullptr && !pool_.isAttemptLimitReached(attempt.endpoint)) return spec;
  const bool isFull = spec != nullptr;
  const std::string_view text = isFull ? poolFullText : "no address of the engine";
  pool_.post([this, id = attempt.attempt, isFull, text = std::string(text)] {
    events_->onAttemptEnded(id, {.outcome = isFull ? Outcome::rejected : Outcome::connectFailed,
                                 .anyBytesReceived = false,
                                 .text = text});
  });
  return nullptr;
}

}  // namespace garnethook::engine
