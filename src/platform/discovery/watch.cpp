#include "platform/discovery/watch.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace garnethook::platform {

Watch::Watch(net::Loop& loop, const std::string& address, Events events)
    : loop_(loop), address_(address), events_(std::move(events)), alarm_(loop) {
  begin();
}

Watch::~Watch() = default;

void Watch::move(const std::string& address) {
  if (address == address_) return;
  static_cast<void>(Poco::Net::SocketAddress(address));
  address_ = address;
  policy_.moved();
  for (auto& session : waiting_) discard(std::move(session));
  waiting_.clear();
  if (current_) discard(std::move(current_));
  begin();
}

// The one timer: the watch is given up, or begun anew.
void Watch::plan() {
  alarm_.start(std::max<Micros>(0, policy_.due() - loop_.now()), [this] {
    if (policy_.next() == WatchPolicy::Step::begin) return begin();
    events_.error(address_ + ": " + (current_ && current_->midway() ? "a list that does not end" : "silent"));
    setAside();
    policy_.ended(loop_.now());
    plan();
  });
}

// A silent session that has brought lists before is broken; one that never did may only be late.
void Watch::setAside() {
  if (!current_) return;
  if (current_->productive()) return discard(std::move(current_));
  waiting_.push_back(std::move(current_));
  if (waiting_.size() <= kMostWaiting) return;
  discard(std::move(waiting_.front()));
  waiting_.pop_front();
}

// A session may be the one that calls, so it goes in the loop's next turn.
void Watch::discard(std::unique_ptr<WatchSession> session) {
  session->end();
  loop_.post([own = std::shared_ptr<WatchSession>(std::move(session))] {});
}

void Watch::begin() {
  if (current_) discard(std::move(current_));
  policy_.begun(loop_.now());
  plan();
  current_ =
      std::make_unique<WatchSession>(loop_, address_, events_.version(), policy_.options().connectWithin,
                                     static_cast<WatchSession::Events&>(*this));
}

bool Watch::onObject(WatchSession&, std::string_view text) {
  try {
    events_.update(parseEndpointList(text));
    return true;
  } catch (const std::runtime_error& e) {
    // What it told is asked for again, from the version that is held: later changes would pass over it.
    events_.error(address_ + ": a list can't be used: " + e.what());
    policy_.spoilt();
    return false;
  }
}

void Watch::onHeard(WatchSession& session) {
  if (&session != current_.get()) {
    if (!session.productive()) return;
    // It was late, and is the one from now on.
    if (current_) discard(std::move(current_));
    for (auto& other : waiting_) {
      if (other.get() == &session)
        current_ = std::move(other);
      else
        discard(std::move(other));
    }
    waiting_.clear();
    policy_.begun(loop_.now());
  } else if (session.productive()) {
    for (auto& other : waiting_) discard(std::move(other));
    waiting_.clear();
  }
  if (session.productive() && !session.midway()) events_.heard();
  policy_.heard(loop_.now(), session.midway());
  plan();
}

void Watch::onOver(WatchSession& session, const std::string& why) {
  const auto own =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& s) { return s.get() == &session; });
  if (own != waiting_.end()) {
    discard(std::move(*own));
    waiting_.erase(own);
    return;
  }
  events_.error(address_ + ": " + why);
  discard(std::move(current_));
  policy_.ended(loop_.now());
  plan();
}

}  // namespace garnethook::platform
