// The event loop: POCO's SocketReactor with a clock, timers on a wheel and tasks for the next turn.
// All of it runs on the thread that calls run(), post() excepted.
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

class Loop final : public timing::Timers, private Poco::Net::SocketReactor {
 public:
  // Throws Poco::Exception where the system refuses a descriptor or a registration.
  Loop();
  ~Loop() override;
  // A loop for the process's life: what the system refuses for a moment is tried again for some seconds.
  static std::unique_ptr<Loop> create();

  // The monotonic clock, from an origin of its own: no Unix time.
  Micros now() const override;
  timing::TimerKey after(Micros delay, timing::TimerWheel::Task task) override;
  bool cancel(timing::TimerKey key) override { return wheel_.cancel(key); }

  // Told of each timer's or posted task that threw: what it threw. The others of the turn run all the same.
  // Must not throw.
  void onTaskFailed(std::function<void(const std::string& what)> call) { taskFailed_ = std::move(call); }
  std::uint64_t failedTasks() const { return failedTasks_; }

  // Runs `task` on the loop's thread in its next turn. May be called from any thread.
  void post(std::function<void()> task);
  void run();
  // From any thread, and from signal handlers' threads; run() returns after its turn.
  void stop();
  Poco::Net::SocketReactor& reactor() { return *this; }

 protected:
  void onTimeout() override { turn(); }
  void onIdle() override { turn(); }
  void onBusy() override { turn(); }

 private:
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
  // POCO's own wakeUp() ends no poll; an byte on this pair does.
  Poco::Net::StreamSocket woken_;
  int waker_ = -1;
  // A periodic timer of the monotonic clock that ends every wait. POCO (1.11.0) counts what is left of an
  // interrupted wait on the wall clock: stepped back meanwhile, it would wait for as long as the step.
  Poco::Net::StreamSocket heartbeat_;
  std::function<void(const std::string&)> taskFailed_;
  std::uint64_t failedTasks_ = 0;
};

}  // namespace garnethook::net
