#include "net/loop.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

#include "timing/retry.h"

namespace garnethook::net {
namespace {

constexpr Micros kTimerResolution = 1000;
// Added to the monotonic clock, which may have started only a moment ago (at boot): times years before the
// start must still be greater than 0.
constexpr Micros kClockOffset = 1'000'000'000'000'000;
constexpr Micros kMaxPollTimeout = 1'000'000;
constexpr Micros kPeriodicTimerInterval = 50'000;  // bounds the delay of a timer if a poll takes too long

Micros monotonicNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
}  // namespace

Loop::Loop()
    : wheel_(kTimerResolution, now()), turnStartedAt_(now()), previousTurnStartedAt_(turnStartedAt_) {
  std::array<int, 2> descriptors{};
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, descriptors.data()) != 0)
    throw Poco::IOException("cannot create the event loop's wake-up socket pair", errno);
  wakeReadSocket_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptors[0]));
  wakeWriteDescriptor_ = descriptors[1];
  try {
    addEventHandler(wakeReadSocket_,
                    Poco::Observer<Loop, Poco::Net::ReadableNotification>(*this, &Loop::onWake));
    startPeriodicTimer();
  } catch (const Poco::Exception&) {
    ::close(wakeWriteDescriptor_);
    throw;
  }
  updatePollTimeout();
}

std::unique_ptr<Loop> Loop::create() {
  return timing::retryFor<Poco::Exception>(timing::kStartRetryTimeout,
                                           [] { return std::make_unique<Loop>(); });
}

void Loop::startPeriodicTimer() {
  const int descriptor = ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (descriptor < 0) throw Poco::IOException("cannot create the event loop's periodic timer", errno);
  periodicTimer_ =
      Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));  // owns the descriptor
  constexpr timespec kInterval{0, kPeriodicTimerInterval * 1000};
  const itimerspec schedule{kInterval, kInterval};
  if (::timerfd_settime(descriptor, 0, &schedule, nullptr) != 0)
    throw Poco::IOException("cannot arm the event loop's periodic timer", errno);
  addEventHandler(periodicTimer_,
                  Poco::Observer<Loop, Poco::Net::ReadableNotification>(*this, &Loop::onPeriodicTimer));
}

// Reads the expiration count to clear the readiness; the turn that follows runs the due timers.
void Loop::onPeriodicTimer(Poco::Net::ReadableNotification* notification) {
  notification->release();
  std::uint64_t expirations = 0;
  [[maybe_unused]] const auto count =
      ::read(periodicTimer_.impl()->sockfd(), &expirations, sizeof expirations);
}

// Destroying a task may cancel timers of this loop or post tasks to it, so all tasks are destroyed while the
// wheel and the task queue still exist.
Loop::~Loop() {
  removeEventHandler(wakeReadSocket_,
                     Poco::Observer<Loop, Poco::Net::ReadableNotification>(*this, &Loop::onWake));
  removeEventHandler(periodicTimer_,
                     Poco::Observer<Loop, Poco::Net::ReadableNotification>(*this, &Loop::onPeriodicTimer));
  ::close(wakeWriteDescriptor_);
  wheel_.clear();
  while (!postedTasks_.empty()) {
    const auto tasks = std::exchange(postedTasks_, {});
    wheel_.clear();
  }
}

Micros Loop::now() const { return kClockOffset + monotonicNow(); }

Micros Loop::earliestArrival() const {
  return std::min(now(), previousTurnStartedAt_ + kPeriodicTimerInterval);
}

timing::TimerKey Loop::after(Micros delay, timing::TimerWheel::Task task) {
  const auto key =
      wheel_.add(now() + std::max<Micros>(0, delay), [this, task = std::move(task)] { runTask(task); });
  updatePollTimeout();
  return key;
}

void Loop::post(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    postedTasks_.push_back(std::move(task));
  }
  hasPostedTasks_ = true;
  if (std::this_thread::get_id() == thread_.load())
    setTimeout(Poco::Timespan(0));  // the next poll must return immediately
  else
    wake();
}

// A failed send needs no handling: a full socket buffer already contains a byte that ends the poll.
void Loop::wake() {
  const char byte = 0;
  [[maybe_unused]] const auto sent = ::send(wakeWriteDescriptor_, &byte, 1, MSG_NOSIGNAL);
}

void Loop::onWake(Poco::Net::ReadableNotification* notification) {
  notification->release();
  std::array<char, 256> bytes{};
  while (::recv(wakeReadSocket_.impl()->sockfd(), bytes.data(), bytes.size(), 0) > 0) {}
}

void Loop::run() {
  thread_ = std::this_thread::get_id();
  Poco::Net::SocketReactor::run();
}

void Loop::stop() {
  Poco::Net::SocketReactor::stop();
  wake();
}

// The reactor runs a turn when a poll has returned, before it dispatches the reported events.
void Loop::turn() {
  previousTurnStartedAt_ = std::exchange(turnStartedAt_, now());
  wheel_.advance(now());
  if (hasPostedTasks_.exchange(false)) {
    std::vector<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(postedTasks_);
    }
    for (const auto& task : tasks) runTask(task);
  }
  updatePollTimeout();
}

// Catches exceptions, so that a task that throws does not prevent the others from running.
void Loop::runTask(const std::function<void()>& task) {
  try {
    task();
  } catch (const std::exception& error) {
    ++failedTasks_;
    if (taskFailed_) taskFailed_(error.what());
  }
}

// The poll timeout has millisecond resolution and is rounded down; rounding up here keeps the loop from
// spinning until the next timer is due.
void Loop::updatePollTimeout() {
  const auto nextDue = wheel_.next();
  Micros timeout = nextDue ? std::clamp<Micros>(*nextDue - now(), 0, kMaxPollTimeout) : kMaxPollTimeout;
  if (timeout > 0) timeout = (timeout + 999) / 1000 * 1000;
  if (hasPostedTasks_) timeout = 0;
  setTimeout(Poco::Timespan(timeout));
}

}  // namespace garnethook::net
