#include "counting/session_tokens.h"

namespace garnethook::counting {

std::optional<SessionTokens::Turn> SessionTokens::find(const Digest& session) {
  const auto at = index_.find(session);
  if (at == index_.end()) return std::nullopt;
  recency_.splice(recency_.begin(), recency_, at->second);
  return at->second->turn;
}

void SessionTokens::put(const Digest& session, Turn turn) {
  if (const auto old = index_.find(session); old != index_.end()) evict(old->second);
  const std::size_t bytes = kNodeBytes + (turn.tokens ? turn.tokens->memory() : 0);
  if (bytes > capacityBytes_ / 4) return;
  while (!recency_.empty() && memory() + bytes > capacityBytes_) evict(std::prev(recency_.end()));
  recency_.push_front({session, std::move(turn), bytes});
  index_.emplace(session, recency_.begin());
  used_ += bytes;
}

void SessionTokens::evict(std::list<Node>::iterator at) {
  used_ -= at->bytes;
  index_.erase(at->key);
  recency_.erase(at);
}

}  // namespace garnethook::counting
