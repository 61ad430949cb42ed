#include "counting/session_tokens.h"

namespace garnethook::counting {

std::optional<SessionTokens::Turn> SessionTokens::find(const Digest& session) {
  const auto at = byKey_.find(session);
  if (at == byKey_.end()) return std::nullopt;
  order_.splice(order_.begin(), order_, at->second);
  return at->second->turn;
}

void SessionTokens::put(const Digest& session, Turn turn) {
  if (const auto old = byKey_.find(session); old != byKey_.end()) drop(old->second);
  const std::size_t bytes = kNode + (turn.tokens ? turn.tokens->memory() : 0);
  if (bytes > most_ / 4) return;
  while (!order_.empty() && memory() + bytes > most_) drop(std::prev(order_.end()));
  order_.push_front({session, std::move(turn), bytes});
  byKey_.emplace(session, order_.begin());
  used_ += bytes;
}

void SessionTokens::drop(std::list<Held>::iterator at) {
  used_ -= at->bytes;
  byKey_.erase(at->key);
  order_.erase(at);
}

}  // namespace garnethook::counting
