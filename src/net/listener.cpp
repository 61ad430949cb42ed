#include "net/listener.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <chrono>
#include <thread>
#include <utility>

#include "net/retry_delay.h"
#include "net/system_calls.h"

namespace garnethook::net {
namespace {

constexpr int kBacklog = 1024;             // connections that the system queues
constexpr int kAcceptsPerTurn = 64;        // the rest waits for the next turn of the loop
constexpr Micros kCloseTimeout = 500'000;  // for those that wait in the queue as the listener closes
// An address may be taken for a moment, above all by the process before this one.
constexpr int kListenAttempts = 100;
constexpr std::chrono::milliseconds kListenRetryDelay{20};

}  // namespace

Listener::Listener(Loop& loop, const Poco::Net::SocketAddress& address, Accept accept)
    : loop_(loop),
      accept_(std::move(accept)),
      watch_(loop, {.readable = [this] { onReadable(); }, .writable = [] {}, .failed = {}}),
      retryAlarm_(loop) {
  listenWithRetries(address);
  watch_.attach(socket_);
  watchQueue(true);
}

Listener::~Listener() { closeSocket(); }

void Listener::listenWithRetries(const Poco::Net::SocketAddress& address) {
  for (int attempt = 1;; ++attempt) {
    try {
      return listen(address);
    } catch (const Poco::Exception& error) {
      if (attempt == kListenAttempts)
        throw Poco::Net::NetException("can't listen on " + address.toString() + ": " + error.displayText());
      std::this_thread::sleep_for(kListenRetryDelay);
    }
  }
}

void Listener::listen(const Poco::Net::SocketAddress& address) {
  socket_ = Poco::Net::ServerSocket();
  socket_.bind(address, true, false);
  socket_.listen(kBacklog);
  socket_.setBlocking(false);
  address_ = socket_.address();
}

void Listener::watchQueue(bool on) {
  isPaused_ = !on;
  if (isPaused_ && !backlogSince_) backlogSince_ = loop_.now();
  watch_.await(on, false);
}

void Listener::pause() {
  if (!isOpen_ || isClosing_) return;
  retryAlarm_.stop();
  watchQueue(false);
}

// Looks at the queue itself, so that an empty one is known to be empty: the owner may pause the listener
// again before the system reports that it is readable.
void Listener::resume() {
  if (!isOpen_ || isClosing_ || !isPaused_) return;
  watchQueue(true);
  retryAlarm_.start(0, [this] { onReadable(); });
}

void Listener::close() {
  if (!isOpen_ || std::exchange(isClosing_, true)) return;
  watchQueue(false);
  // A connection that came between the last look at the queue and the close of the socket would be reset.
  refuseNewConnections(socket_.impl()->sockfd());
  closeOnceEmpty(loop_.now() + kCloseTimeout);
}

void Listener::closeOnceEmpty(Micros deadline) {
  if (acceptWaiting(kBacklog) || loop_.now() >= deadline) return closeSocket();
  retryDelay_ = nextRetryDelay(retryDelay_);
  retryAlarm_.start(retryDelay_, [this, deadline] { closeOnceEmpty(deadline); });
}

void Listener::closeSocket() {
  if (!isOpen_) return;
  watchQueue(false);
  isOpen_ = false;
  retryAlarm_.stop();
  socket_.close();
}

void Listener::onReadable() {
  if (isPaused_) return;
  if (acceptWaiting(kAcceptsPerTurn))
    retryDelay_ = 0;
  else
    pauseForLackOfResources();
}

// Leaves the queue alone for a while, so that the loop does not spin on a listener that stays readable.
void Listener::pauseForLackOfResources() {
  retryDelay_ = nextRetryDelay(retryDelay_);
  pause();
  retryAlarm_.start(retryDelay_, [this] { resume(); });
}

// Accepts connections that wait. Returns false where the system lacks the resources for one of them.
bool Listener::acceptWaiting(int maxConnections) {
  const bool wasPaused = isPaused_;  // an owner that pauses the listener from within a call ends the round
  for (int i = 0; i < maxConnections && isOpen_ && isPaused_ == wasPaused; ++i) {
    const AcceptResult result = acceptConnection(socket_.impl()->sockfd());
    switch (result.accept) {
      case net::Accept::none: backlogSince_.reset(); return true;
      case net::Accept::noRoom: return false;
      case net::Accept::tryAgain: break;
      case net::Accept::done:
        accept_(Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(result.descriptor)));
        break;
    }
  }
  return true;
}

}  // namespace garnethook::net
