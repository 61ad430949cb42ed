#include "net/listener.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <chrono>
#include <thread>
#include <utility>

#include "net/retry_delay.h"
#include "net/system_calls.h"

namespace garnethook::net {
namespace {

constexpr int kBacklog = 1024;       // connections that the kernel queues
constexpr int kAcceptsPerTurn = 64;  // further connections are accepted in the next turn of the loop
// Time for handshakes to end that have begun when the listener closes: a round trip to a distant client.
constexpr Micros kHandshakeTimeout = 100'000;
constexpr Micros kCloseTimeout = 500'000;  // limit for emptying the accept queue while the listener closes
constexpr Micros kClosingAcceptInterval = 2'000;
// The address may still be in use for a short time, typically by the previous process.
constexpr int kListenAttempts = 100;
constexpr std::chrono::milliseconds kListenRetryDelay{20};

}  // namespace

Listener::Listener(Loop& loop, const Poco::Net::SocketAddress& address, AcceptCallback accept)
    : loop_(loop),
      accept_(std::move(accept)),
      watch_(loop, {.readable = [this] { onReadable(); }, .writable = [] {}, .failed = {}}),
      retryAlarm_(loop) {
  listenWithRetries(address);
  watch_.attach(socket_);
  setWatching(true);
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

void Listener::setWatching(bool on) {
  isPaused_ = !on;
  if (isPaused_ && !backlogSince_) backlogSince_ = loop_.earliestArrival();
  watch_.await(on, false);
}

void Listener::pause() {
  if (!isOpen_ || isClosing_) return;
  retryAlarm_.stop();
  setWatching(false);
}

// Checks the accept queue directly, so that an empty queue is detected even if the owner pauses the listener
// again before the reactor reports it as readable.
void Listener::resume() {
  if (!isOpen_ || isClosing_ || !isPaused_) return;
  setWatching(true);
  retryAlarm_.start(0, [this] { onReadable(); });
}

// The kernel resets connections that are in the accept queue, or still in their handshake, when the socket is
// closed. Therefore no further handshakes begin, and those that have begun get the time to end.
void Listener::close(std::function<void()> closed) {
  if (!isOpen_ || std::exchange(isClosing_, true)) return;
  closed_ = std::move(closed);
  closingSince_ = loop_.now();
  setWatching(false);
  dropNewHandshakes(socket_.impl()->sockfd());
  acceptUntilClosed();
}

void Listener::acceptUntilClosed() {
  acceptQueued(kBacklog);
  const Micros elapsed = loop_.now() - closingSince_;
  const bool isQueueEmpty = !backlogSince_;
  if ((isQueueEmpty && elapsed >= kHandshakeTimeout) || elapsed >= kCloseTimeout) {
    closeSocket();
    return closed_();
  }
  retryAlarm_.start(kClosingAcceptInterval, [this] { acceptUntilClosed(); });
}

void Listener::abort() { closeSocket(); }

void Listener::closeSocket() {
  if (!isOpen_) return;
  setWatching(false);
  isOpen_ = false;
  retryAlarm_.stop();
  socket_.close();
}

void Listener::onReadable() {
  if (isPaused_) return;
  if (acceptQueued(kAcceptsPerTurn))
    retryDelay_ = 0;
  else
    pauseForLackOfResources();
}

// Stops watching the queue for a delay, so that the loop does not spin on a listener that stays readable.
void Listener::pauseForLackOfResources() {
  retryDelay_ = nextRetryDelay(retryDelay_);
  pause();
  retryAlarm_.start(retryDelay_, [this] { resume(); });
}

// Accepts queued connections. Returns false if the system lacks the resources to accept one of them.
bool Listener::acceptQueued(int maxConnections) {
  const bool wasPaused = isPaused_;  // accepting stops if the callback pauses the listener
  for (int count = 0; count < maxConnections && isOpen_ && isPaused_ == wasPaused; ++count) {
    const AcceptResult result = acceptConnection(socket_.impl()->sockfd());
    switch (result.accept) {
      case net::Accept::queueEmpty: backlogSince_.reset(); return true;
      case net::Accept::outOfResources: return false;
      case net::Accept::tryAgain: break;
      case net::Accept::done:
        accept_(Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(result.descriptor)));
        break;
    }
  }
  if (!backlogSince_) backlogSince_ = loop_.earliestArrival();
  return true;
}

}  // namespace garnethook::net
