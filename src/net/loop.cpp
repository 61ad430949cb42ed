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

constexpr Micros kTick = 1000;
// The monotonic clock may have begun a moment ago, and what is dated on it years before that: 0 stays behind.
constexpr Micros kOrigin = 1'000'000'000'000'000;
constexpr Micros kLongestWait = 1'000'000;
constexpr Micros kHeartbeat = 50'000;  // the latest that a timer can be by a wait that goes on too long

Micros steady() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
}  // namespace

Loop::Loop() : wheel_(kTick, now()) {
  std::array<int, 2> ends{};
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends.data()) != 0)
    throw Poco::IOException("no socket pair for the loop", errno);
  woken_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(ends[0]));
  waker_ = ends[1];
  try {
    addEventHandler(woken_, Poco::Observer<Loop, Poco::Net::ReadableNotification>(*this, &Loop::onWake));
    startHeartbeat();
  } catch (const Poco::Exception&) {
    ::close(waker_);
    throw;
  }
  setWait();
}

std::unique_ptr<Loop> Loop::create() {
  return timing::retryFor<Poco::Exception>(timing::kStartRetryTimeout,
                                           [] { return std::make_unique<Loop>(); });
}

void Loop::startHeartbeat() {
  const int timer = ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer < 0) throw Poco::IOException("no timer for the loop", errno);
  heartbeat_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(timer));  // which closes it
  constexpr timespec kPeriod{0, kHeartbeat * 1000};
  const itimerspec period{kPeriod, kPeriod};
  if (::timerfd_settime(timer, 0, &period, nullptr) != 0)
    throw Poco::IOException("the loop's timer can't be armed", errno);
  addEventHandler(heartbeat_,
                  Poco::Observer<Loop, Poco::Net::ReadableNotification>(*this, &Loop::onHeartbeat));
}

// Reading it ends its readiness; the turn that follows runs what is due.
void Loop::onHeartbeat(Poco::Net::ReadableNotification* notification) {
  notification->release();
  std::uint64_t periods = 0;
  [[maybe_unused]] const auto count = ::read(heartbeat_.impl()->sockfd(), &periods, sizeof periods);
}

// What tasks hold may have timers here, and may post: it goes while both still stand.
Loop::~Loop() {
  removeEventHandler(woken_, Poco::Observer<Loop, Poco::Net::ReadableNotification>(*this, &Loop::onWake));
  removeEventHandler(heartbeat_,
                     Poco::Observer<Loop, Poco::Net::ReadableNotification>(*this, &Loop::onHeartbeat));
  ::close(waker_);
  wheel_.clear();
  while (!posted_.empty()) {
    const auto tasks = std::exchange(posted_, {});
    wheel_.clear();
  }
}

Micros Loop::now() const { return kOrigin + steady(); }

timing::TimerKey Loop::after(Micros delay, timing::TimerWheel::Task task) {
  const auto key =
      wheel_.add(now() + std::max<Micros>(0, delay), [this, task = std::move(task)] { runTask(task); });
  setWait();
  return key;
}

void Loop::post(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    posted_.push_back(std::move(task));
  }
  hasPosted_ = true;
  if (std::this_thread::get_id() == thread_.load())
    setTimeout(Poco::Timespan(0));  // the poll that comes next must not wait
  else
    wake();
}

// A full pair has a byte in it already.
void Loop::wake() {
  const char byte = 0;
  [[maybe_unused]] const auto sent = ::send(waker_, &byte, 1, MSG_NOSIGNAL);
}

void Loop::onWake(Poco::Net::ReadableNotification* notification) {
  notification->release();
  std::array<char, 256> bytes{};
  while (::recv(woken_.impl()->sockfd(), bytes.data(), bytes.size(), 0) > 0) {}
}

void Loop::run() {
  thread_ = std::this_thread::get_id();
  Poco::Net::SocketReactor::run();
}

void Loop::stop() {
  Poco::Net::SocketReactor::stop();
  wake();
}

void Loop::turn() {
  wheel_.advance(now());
  if (hasPosted_.exchange(false)) {
    std::vector<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(posted_);
    }
    for (const auto& task : tasks) runTask(task);
  }
  setWait();
}

// What one task throws costs no other task its turn.
void Loop::runTask(const std::function<void()>& task) {
  try {
    task();
  } catch (const std::exception& error) {
    ++failedTasks_;
    if (taskFailed_) taskFailed_(error.what());
  }
}

// The poll's wait is in whole milliseconds and rounds down: a little more keeps it from spinning.
void Loop::setWait() {
  const auto next = wheel_.next();
  Micros wait = next ? std::clamp<Micros>(*next - now(), 0, kLongestWait) : kLongestWait;
  if (wait > 0) wait = (wait + 999) / 1000 * 1000;
  if (hasPosted_) wait = 0;
  setTimeout(Poco::Timespan(wait));
}

}  // namespace garnethook::net
