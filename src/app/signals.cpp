#include "app/signals.h"

#include <pthread.h>

#include <csignal>
#include <system_error>
#include <utility>

#include "timing/retry.h"

namespace garnethook::app {
namespace {

constexpr int kStopWaiting = SIGUSR2;  // sent to the thread by the destructor

sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, kStopWaiting}) sigaddset(&signals, signal);
  return signals;
}

}  // namespace

Signals::Signals(net::Loop& loop, std::function<void(int)> handler) {
  ::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto wait = [signals, &loop, handler = std::move(handler)] {
    for (int signal = 0; sigwait(&signals, &signal) == 0 && signal != kStopWaiting;)
      loop.post([handler, signal] { handler(signal); });
  };
  // The system may be unable to create a thread for a moment.
  thread_ =
      timing::retryFor<std::system_error>(timing::kStartRetryTimeout, [&] { return std::thread(wait); });
}

Signals::~Signals() {
  pthread_kill(thread_.native_handle(), kStopWaiting);
  thread_.join();
}

}  // namespace garnethook::app
