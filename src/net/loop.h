/// @file
/// The event loop: POCO's SocketReactor extended with a monotonic clock, a timer wheel and a queue of posted
/// tasks. A turn is one iteration of the loop: it polls the sockets, then runs due timers and posted tasks.
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

/// Runs timers, posted tasks and socket events on the thread that calls run(). Only post() and stop() are
/// thread-safe.
class Loop final : public timing::Timers, private Poco::Net::SocketReactor {
 public:
  /// @throws Poco::Exception if the system cannot provide a descriptor or register a socket.
  Loop();
  ~Loop() override;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  /// Creates the loop of a process; retries for a few seconds if the system is short of resources.
  static std::unique_ptr<Loop> create();

  /// Time of the monotonic clock in microseconds; the epoch is arbitrary and not that of Unix time.
  Micros now() const override;
  /// Earliest time at which input may have arrived that the latest poll was the first to report: that input
  /// came after the previous poll. A loop that was not held up (no core, a stopped process, a long task)
  /// polls once in kPeriodicTimerInterval, so that much of the time between the polls is not counted.
  Micros earliestArrival() const;
  /// Whether a poll that began after this time returned before the latest poll.
  bool hasPolledSince(Micros time) const { return previousTurnStartedAt_ > time; }
  /// Runs the task after the delay (microseconds), never inside this call.
  timing::TimerKey after(Micros delay, timing::TimerWheel::Task task) override;
  /// Cancels a timer. @return false if it has already run or been cancelled
  bool cancel(timing::TimerKey key) override { return wheel_.cancel(key); }

  /// Sets the callback that receives the error text of each timer task or posted task that throws. The other
  /// tasks of the turn still run. The callback must not throw.
  void onTaskFailed(std::function<void(const std::string& what)> callback) {
    taskFailed_ = std::move(callback);
  }
  /// Number of tasks that threw.
  std::uint64_t failedTasks() const { return failedTasks_; }

  /// Runs the task on the loop's thread in its next turn. Thread-safe.
  void post(std::function<void()> task);
  /// Runs the loop on this thread until stop().
  void run() override;
  /// Makes run() return after the current turn. Thread-safe; may also be called from a signal handling
  /// thread.
  void stop();
  /// The reactor with which sockets are registered.
  Poco::Net::SocketReactor& reactor() { return *this; }

 private:
  void onTimeout() override { turn(); }
  void onIdle() override { turn(); }
  void onBusy() override { turn(); }

  void turn();
  void updatePollTimeout();
  void wake();
  void onWake(Poco::Net::ReadableNotification* notification);
  void onPeriodicTimer(Poco::Net::ReadableNotification* notification);
  void startPeriodicTimer();
  void runTask(const std::function<void()>& task);

  timing::TimerWheel wheel_;
  Micros turnStartedAt_ = 0;
  Micros previousTurnStartedAt_ = 0;
  std::mutex mutex_;
  std::vector<std::function<void()>> postedTasks_;
  std::atomic<bool> hasPostedTasks_ = false;
  std::atomic<std::thread::id> thread_{};
  // POCO's wakeUp() does not interrupt a poll; a byte written to this socket pair does.
  Poco::Net::StreamSocket wakeReadSocket_;
  int wakeWriteDescriptor_ = -1;
  // Periodic timer on the monotonic clock that bounds every poll. POCO (1.11.0) computes the remaining time
  // of an interrupted poll from the wall clock: if the clock is stepped back meanwhile, the poll would be
  // extended by the size of the step.
  Poco::Net::StreamSocket periodicTimer_;
  std::function<void(const std::string&)> taskFailed_;
  std::uint64_t failedTasks_ = 0;
};

}  // namespace garnethook::net
