#include "app/signals.h"

#include <pthread.h>

#include <csignal>
#include <system_error>
#include <utility>

#include "timing/retry.h"

namespace garnethook::app {
namespace {

constexpr int kWakeUpSignal = SIGUSR2;  // sent by the destructor to end the thread

sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, kWakeUpSignal}) sigaddset(&signals, signal);
  return signals;
}

}  // namespace

Signals::Signals(net::Loop& loop, std::function<void(int)> handler) {
  ::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto wait = [signals, &loop, handler = std::move(handler)] {
    for (int signal = 0; sigwait(&signals, &signal) == 0 && signal != kWakeUpSignal;)
      loop.post([handler, signal] { handler(signal); });
  };
  // Creating a thread can fail temporarily for lack of resources.
  thread_ =
      timing::retryFor<std::system_error>(timing::kStartRetryTimeout, [&] { return std::thread(wait); });
}

Signals::~Signals() {
  pthread_kill(thread_.native_handle(), kWakeUpSignal);
  thread_.join();
}

}  // namespace garnethook::app
