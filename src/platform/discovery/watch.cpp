#include "platform/discovery/watch.h"

#include <algorithm>
#include <utility>

namespace garnethook::platform {

Watch::Watch(net::Loop& loop, const std::string& address, Listener& listener)
    : loop_(loop), address_(address), listener_(listener), alarm_(loop) {
  connect();
}

Watch::~Watch() = default;

void Watch::changeAddress(const std::string& address) {
  if (address == address_) return;
  static_cast<void>(Poco::Net::SocketAddress(address));  // throws if the address is invalid
  address_ = address;
  policy_.onAddressChanged();
  discardLateSessions();
  if (current_) discard(std::move(current_));
  connect();
}

void Watch::scheduleNextStep() {
  alarm_.start(std::max<Micros>(0, policy_.nextStepAt() - loop_.now()), [this] { runNextStep(); });
}

void Watch::runNextStep() {
  if (policy_.nextStep() == WatchPolicy::Step::connect) return connect();
  const bool isInsideMessage = current_ && current_->isInsideMessage();
  listener_.onWatchError(address_,
                         {isInsideMessage ? WatchErrorCode::messageTimedOut : WatchErrorCode::silent});
  keepCurrentAsLate();
  policy_.onClosed(loop_.now());
  scheduleNextStep();
}

// A silent session that has answered before is broken; one that has not may only be slow to respond.
void Watch::keepCurrentAsLate() {
  if (!current_) return;
  if (current_->hasAnswered()) return discard(std::move(current_));
  lateSessions_.push_back(std::move(current_));
  if (lateSessions_.size() <= kMaxLateSessions) return;
  discard(std::move(lateSessions_.front()));
  lateSessions_.pop_front();
}

// The session may be the caller, so it is destroyed in the next iteration of the event loop.
void Watch::discard(SessionPointer session) {
  session->close();
  loop_.post([owned = std::shared_ptr<WatchSession>(std::move(session))] {});
}

void Watch::discardLateSessions() {
  for (auto& session : lateSessions_) discard(std::move(session));
  lateSessions_.clear();
}

void Watch::connect() {
  if (current_) discard(std::move(current_));
  policy_.onConnecting(loop_.now());
  scheduleNextStep();
  current_ = std::make_unique<WatchSession>(loop_, address_, listener_.currentListVersion(),
                                            policy_.options().connectTimeout,
                                            static_cast<WatchSession::Listener&>(*this));
}

bool Watch::onMessage(WatchSession&, std::string_view text) {
  try {
    listener_.onListUpdate(parseEndpointList(text));
    return true;
  } catch (const std::runtime_error& error) {
    // The list is requested again from the known revision, since later deltas would not repeat its contents.
    listener_.onWatchError(address_, {WatchErrorCode::invalidMessage, error.what()});
    policy_.onInvalidMessage();
    return false;
  }
}

void Watch::onDataReceived(WatchSession& session) {
  if (&session != current_.get()) {
    if (!session.hasAnswered()) return;
    promote(session);
  } else if (session.hasAnswered()) {
    discardLateSessions();
  }
  if (session.hasAnswered() && !session.isInsideMessage()) listener_.onWatchAlive();
  policy_.onDataReceived(loop_.now(), session.isInsideMessage());
  scheduleNextStep();
}

// A late session has answered: it becomes the current session, and all others are closed.
void Watch::promote(const WatchSession& session) {
  if (current_) discard(std::move(current_));
  const auto found = std::find_if(lateSessions_.begin(), lateSessions_.end(),
                                  [&](const auto& late) { return late.get() == &session; });
  current_ = std::move(*found);
  lateSessions_.erase(found);
  discardLateSessions();
  policy_.onConnecting(loop_.now());
}

void Watch::onFailed(WatchSession& session, const WatchError& error) {
  const auto late = std::find_if(lateSessions_.begin(), lateSessions_.end(),
                                 [&](const auto& candidate) { return candidate.get() == &session; });
  if (late != lateSessions_.end()) {
    discard(std::move(*late));
    lateSessions_.erase(late);
    return;
  }
  listener_.onWatchError(address_, error);
  discard(std::move(current_));
  policy_.onClosed(loop_.now());
  scheduleNextStep();
}

}  // namespace garnethook::platform
