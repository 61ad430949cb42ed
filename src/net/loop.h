/// @file
/// The event loop: POCO's SocketReactor with a clock, timers on a wheel and tasks for the next turn.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "timing/timers.h"

namespace garnethook::net {

using timing::Micros;

/// Runs timers, posted tasks and socket events on the thread that calls run(). Only post() and stop() may be
/// called from other threads.
class Loop final : public timing::Timers, private Poco::Net::SocketReactor {
 public:
  /// @throws Poco::Exception where the system refuses a descriptor or a registration.
  Loop();
  ~Loop() override;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  /// A loop for the process's life: what the system refuses for a moment is tried again for some seconds.
  static std::unique_ptr<Loop> create();

  /// The monotonic clock in microseconds, from an origin of its own: not Unix time.
  Micros now() const override;
  /// Runs the task once the delay (microseconds) is over, never inside this call.
  timing::TimerKey after(Micros delay, timing::TimerWheel::Task task) override;
  /// Cancels a timer. @return false: it has run, or was cancelled before
  bool cancel(timing::TimerKey key) override { return wheel_.cancel(key); }

  /// Sets what is called with the error text of each timer's or posted task that throws. The other tasks of
  /// the turn run all the same. Must not throw.
  void onTaskFailed(std::function<void(const std::string& what)> call) { taskFailed_ = std::move(call); }
  /// Number of tasks that threw.
  std::uint64_t failedTasks() const { return failedTasks_; }

  /// Runs the task on the loop's thread in its next turn. May be called from any thread.
  void post(std::function<void()> task);
  /// Runs the loop on this thread until stop().
  void run() override;
  /// Ends run() after its turn. May be called from any thread, also one that handles signals.
  void stop();
  /// For the registration of sockets.
  Poco::Net::SocketReactor& reactor() { return *this; }

 private:
  void onTimeout() override { turn(); }
  void onIdle() override { turn(); }
  void onBusy() override { turn(); }

  void turn();
  void setWait();
  void wake();
  void onWake(Poco::Net::ReadableNotification* notification);
  void onHeartbeat(Poco::Net::ReadableNotification* notification);
  void startHeartbeat();
  void runTask(const std::function<void()>& task);

  timing::TimerWheel wheel_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::atomic<bool> hasPosted_ = false;
  std::atomic<std::thread::id> thread_{};
  // POCO's own wakeUp() ends no poll; a byte on this pair does.
  Poco::Net::StreamSocket woken_;
  int waker_ = -1;
  // A periodic timer of the monotonic clock that ends every wait. POCO (1.11.0) counts what is left of an
  // interrupted wait on the wall clock: stepped back meanwhile, it would wait for as long as the step.
  Poco::Net::StreamSocket heartbeat_;
  std::function<void(const std::string&)> taskFailed_;
  std::uint64_t failedTasks_ = 0;
};

}  // namespace garnethook::net
