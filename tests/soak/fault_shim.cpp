// LD_PRELOAD library that injects documented Linux errors into the system calls of one process and steps its
// wall clock. The monotonic clock is unchanged.
//
// FAULTS: `CALL:ERROR:PERCENT`, separated by commas; ERROR is the name of an errno value, or SHORT
//   for a partial read or write. CALL `so_error` sets the SO_ERROR value of a socket, such as the result of a
//   connect. Example: `recv:EINTR:3,epoll_ctl:ENOMEM:1`.
// FAULT_SEED: seed of the random choices.
// FAULT_FROM_MS, FAULT_UNTIL_MS: interval in which calls may fail, relative to the start of the process.
// CLOCK_STEPS: `AFTER_MS:STEP_MS`, separated by commas; the wall clock is offset by the sum of the
//   steps so far.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <climits>
#include <cstdarg>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr int kShortTransfer = -1;  // stands for a partial transfer instead of an errno value

struct ErrorName {
  std::string_view name;
  int number;
};
constexpr ErrorName kErrors[] = {{"SHORT", kShortTransfer},
                                 {"EINTR", EINTR},
                                 {"EAGAIN", EAGAIN},
                                 {"ECONNABORTED", ECONNABORTED},
                                 {"EMFILE", EMFILE},
                                 {"ENFILE", ENFILE},
                                 {"ENOBUFS", ENOBUFS},
                                 {"ENOMEM", ENOMEM},
                                 {"ENOSPC", ENOSPC},
                                 {"EIO", EIO},
                                 {"EPROTO", EPROTO},
                                 {"ENOPROTOOPT", ENOPROTOOPT},
                                 {"EHOSTDOWN", EHOSTDOWN},
                                 {"ENONET", ENONET},
                                 {"EOPNOTSUPP", EOPNOTSUPP},
                                 {"EPERM", EPERM},
                                 {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                 {"EADDRINUSE", EADDRINUSE},
                                 {"ENETUNREACH", ENETUNREACH},
                                 {"ENETDOWN", ENETDOWN},
                                 {"EHOSTUNREACH", EHOSTUNREACH},
                                 {"ETIMEDOUT", ETIMEDOUT},
                                 {"ECONNRESET", ECONNRESET}};

struct FaultRule {
  std::string call;
  int error;
  double percent;
};

std::int64_t monotonicMs() {
  timespec timestamp{};
  static auto* const realClockGettime =
      reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
  realClockGettime(CLOCK_MONOTONIC, &timestamp);
  return timestamp.tv_sec * 1000 + timestamp.tv_nsec / 1'000'000;
}

std::int64_t integerFromEnvironment(const char* name, std::int64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoll(text);
}

template <class Visitor>
void forEachListItem(const char* variable, Visitor visit) {
  const char* text = std::getenv(variable);
  std::string_view remaining = text == nullptr ? std::string_view() : std::string_view(text);
  while (!remaining.empty()) {
    const auto end = std::min(remaining.find(','), remaining.size());
    visit(std::string(remaining.substr(0, end)));
    remaining.remove_prefix(std::min(end + 1, remaining.size()));
  }
}

struct ClockStep {
  std::int64_t afterMs;
  std::int64_t stepMs;
};

// The configuration from the environment, read once.
struct FaultConfig {
  std::vector<FaultRule> rules;
  std::vector<ClockStep> steps;
  std::int64_t startMs = monotonicMs();
  std::int64_t fromMs = integerFromEnvironment("FAULT_FROM_MS", 0);
  std::int64_t untilMs = integerFromEnvironment("FAULT_UNTIL_MS", LLONG_MAX);
  std::atomic<std::uint64_t> state{static_cast<std::uint64_t>(integerFromEnvironment("FAULT_SEED", 1))};

  FaultConfig() {
    forEachListItem("FAULTS", [this](const std::string& item) {
      const auto first = item.find(':');
      const auto second = item.find(':', first + 1);
      if (first == std::string::npos || second == std::string::npos) return;
      const std::string error = item.substr(first + 1, second - first - 1);
      for (const ErrorName& errorName : kErrors)
        if (errorName.name == error)
          rules.push_back({item.substr(0, first), errorName.number, std::atof(item.c_str() + second + 1)});
    });
    forEachListItem("CLOCK_STEPS", [this](const std::string& item) {
      const auto colon = item.find(':');
      if (colon != std::string::npos)
        steps.push_back({std::atoll(item.c_str()), std::atoll(item.c_str() + colon + 1)});
    });
  }
  // SplitMix64 with one atomic step per number, so that threads can share the state.
  double uniform() {
    std::uint64_t z = state.fetch_add(0x9e3779b97f4a7c15u) + 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return static_cast<double>((z ^ (z >> 31)) >> 11) / 9007199254740992.0;
  }
  // Returns the error to inject into this call; 0: none.
  int drawError(std::string_view call) {
    const std::int64_t age = monotonicMs() - startMs;
    if (age < fromMs || age >= untilMs) return 0;
    for (const FaultRule& rule : rules)
      if (rule.call == call && uniform() * 100 < rule.percent) return rule.error;
    return 0;
  }
  std::int64_t offsetMs() const {
    const std::int64_t age = monotonicMs() - startMs;
    std::int64_t out = 0;
    for (const ClockStep& step : steps)
      if (age >= step.afterMs) out += step.stepMs;
    return out;
  }
};

FaultConfig& faultConfig() {
  static FaultConfig instance;
  return instance;
}

template <class Function>
Function* nextSymbol(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

bool injectError(std::string_view call) {
  const int error = faultConfig().drawError(call);
  if (error <= 0) return false;
  errno = error;
  return true;
}

// Returns whether the call transfers only a part of its buffer.
bool isShortTransfer(std::string_view call) { return faultConfig().drawError(call) == kShortTransfer; }

bool isSocket(int fd) {
  int kind = 0;
  socklen_t size = sizeof kind;
  static auto* const realGetsockopt = nextSymbol<int(int, int, int, void*, socklen_t*)>("getsockopt");
  return realGetsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &size) == 0;
}

constexpr std::size_t kShortTransferBytes = 7;

}  // namespace

extern "C" {

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static auto* const call = nextSymbol<ssize_t(int, void*, size_t, int)>("recv");
  if (injectError("recv")) return -1;
  return call(fd, buffer, isShortTransfer("recv") ? std::min(size, kShortTransferBytes) : size, flags);
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
  static auto* const call = nextSymbol<ssize_t(int, const void*, size_t, int)>("send");
  if (injectError("send")) return -1;
  return call(fd, from, isShortTransfer("send") ? std::min(size, kShortTransferBytes) : size, flags);
}

int accept(int fd, sockaddr* address, socklen_t* size) {
  static auto* const call = nextSymbol<int(int, sockaddr*, socklen_t*)>("accept");
  return injectError("accept") ? -1 : call(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static auto* const call = nextSymbol<int(int, sockaddr*, socklen_t*, int)>("accept4");
  return injectError("accept") ? -1 : call(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static auto* const call = nextSymbol<int(int, int, int)>("socket");
  return injectError("socket") ? -1 : call(domain, type, protocol);
}

int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
  static auto* const call = nextSymbol<int(int, const sockaddr*, socklen_t)>("bind");
  return injectError("bind") ? -1 : call(fd, address, size);
}

int listen(int fd, int backlog) noexcept {
  static auto* const call = nextSymbol<int(int, int)>("listen");
  return injectError("listen") ? -1 : call(fd, backlog);
}

int getsockname(int fd, sockaddr* address, socklen_t* size) noexcept {
  static auto* const call = nextSymbol<int(int, sockaddr*, socklen_t*)>("getsockname");
  return injectError("getsockname") ? -1 : call(fd, address, size);
}

int socketpair(int domain, int type, int protocol, int* descriptors) noexcept {
  static auto* const call = nextSymbol<int(int, int, int, int*)>("socketpair");
  return injectError("socketpair") ? -1 : call(domain, type, protocol, descriptors);
}

int timerfd_create(clockid_t clock, int flags) noexcept {
  static auto* const call = nextSymbol<int(clockid_t, int)>("timerfd_create");
  return injectError("timerfd_create") ? -1 : call(clock, flags);
}

int timerfd_settime(int fd, int flags, const itimerspec* newValue, itimerspec* oldValue) noexcept {
  static auto* const call = nextSymbol<int(int, int, const itimerspec*, itimerspec*)>("timerfd_settime");
  return injectError("timerfd_settime") ? -1 : call(fd, flags, newValue, oldValue);
}

int epoll_create(int size) noexcept {
  static auto* const call = nextSymbol<int(int)>("epoll_create");
  return injectError("epoll_create") ? -1 : call(size);
}

int epoll_create1(int flags) noexcept {
  static auto* const call = nextSymbol<int(int)>("epoll_create1");
  return injectError("epoll_create") ? -1 : call(flags);
}

int eventfd(unsigned value, int flags) noexcept {
  static auto* const call = nextSymbol<int(unsigned, int)>("eventfd");
  return injectError("eventfd") ? -1 : call(value, flags);
}

// Returns its error as the result and leaves errno unset.
int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*body)(void*),
                   void* argument) noexcept {
  static auto* const call =
      nextSymbol<int(pthread_t*, const pthread_attr_t*, void* (*)(void*), void*)>("pthread_create");
  const int error = faultConfig().drawError("pthread_create");
  return error > 0 ? error : call(thread, attributes, body, argument);
}

// An interrupted connect continues in the background.
int connect(int fd, const sockaddr* address, socklen_t size) {
  static auto* const call = nextSymbol<int(int, const sockaddr*, socklen_t)>("connect");
  const int error = faultConfig().drawError("connect");
  if (error == EINTR) call(fd, address, size);
  if (error <= 0) return call(fd, address, size);
  errno = error;
  return -1;
}

int getsockopt(int fd, int level, int option, void* value, socklen_t* size) noexcept {
  static auto* const call = nextSymbol<int(int, int, int, void*, socklen_t*)>("getsockopt");
  if (injectError("getsockopt")) return -1;
  const int result = call(fd, level, option, value, size);
  if (level != SOL_SOCKET || option != SO_ERROR || result != 0) return result;
  if (const int error = faultConfig().drawError("so_error"); error > 0) *static_cast<int*>(value) = error;
  return result;
}

int setsockopt(int fd, int level, int option, const void* value, socklen_t size) noexcept {
  static auto* const call = nextSymbol<int(int, int, int, const void*, socklen_t)>("setsockopt");
  return injectError("setsockopt") ? -1 : call(fd, level, option, value, size);
}

int getpeername(int fd, sockaddr* address, socklen_t* size) noexcept {
  static auto* const call = nextSymbol<int(int, sockaddr*, socklen_t*)>("getpeername");
  return injectError("getpeername") ? -1 : call(fd, address, size);
}

int fcntl(int fd, int command, ...) {
  static auto* const call = nextSymbol<int(int, int, ...)>("fcntl");
  va_list arguments;
  va_start(arguments, command);
  void* const argument = va_arg(arguments, void*);
  va_end(arguments);
  return injectError("fcntl") ? -1 : call(fd, command, argument);
}

int shutdown(int fd, int how) noexcept {
  static auto* const call = nextSymbol<int(int, int)>("shutdown");
  return injectError("shutdown") ? -1 : call(fd, how);
}

int poll(pollfd* entries, nfds_t count, int timeout) {
  static auto* const call = nextSymbol<int(pollfd*, nfds_t, int)>("poll");
  return injectError("poll") ? -1 : call(entries, count, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  static auto* const call = nextSymbol<int(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation != EPOLL_CTL_DEL && injectError("epoll_ctl")) return -1;
  return call(epoll, operation, fd, event);
}

int epoll_wait(int epoll, epoll_event* events, int maxEvents, int timeout) {
  static auto* const call = nextSymbol<int(int, epoll_event*, int, int)>("epoll_wait");
  return injectError("epoll_wait") ? -1 : call(epoll, events, maxEvents, timeout);
}

// The descriptor is closed even if an error is injected, as on Linux.
int close(int fd) {
  static auto* const call = nextSymbol<int(int)>("close");
  const bool isErrorInjected = injectError("close");
  const int error = errno;
  const int result = call(fd);
  if (!isErrorInjected) return result;
  errno = error;
  return -1;
}

int open(const char* path, int flags, ...) {
  static auto* const call = nextSymbol<int(const char*, int, ...)>("open");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = va_arg(arguments, mode_t);
  va_end(arguments);
  return injectError("open") ? -1 : call(path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) {
  static auto* const call = nextSymbol<FILE*(const char*, const char*)>("fopen");
  return injectError("open") ? nullptr : call(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static auto* const call = nextSymbol<FILE*(const char*, const char*)>("fopen64");
  return injectError("open") ? nullptr : call(path, mode);
}

ssize_t read(int fd, void* buffer, size_t size) {
  static auto* const call = nextSymbol<ssize_t(int, void*, size_t)>("read");
  if (!isSocket(fd) && injectError("read")) return -1;
  return call(fd, buffer, size);
}

ssize_t write(int fd, const void* from, size_t size) {
  static auto* const call = nextSymbol<ssize_t(int, const void*, size_t)>("write");
  if (injectError("write")) return -1;
  return call(fd, from, isShortTransfer("write") ? std::min(size, kShortTransferBytes) : size);
}

int fsync(int fd) {
  static auto* const call = nextSymbol<int(int)>("fsync");
  return injectError("fsync") ? -1 : call(fd);
}

int rename(const char* from, const char* to) noexcept {
  static auto* const call = nextSymbol<int(const char*, const char*)>("rename");
  return injectError("rename") ? -1 : call(from, to);
}

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  static auto* const call = nextSymbol<int(clockid_t, timespec*)>("clock_gettime");
  const int result = call(clock, out);
  if (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE) {
    const std::int64_t offset = faultConfig().offsetMs();
    out->tv_sec += offset / 1000;
  }
  return result;
}

int gettimeofday(timeval* out, void* zone) noexcept {
  static auto* const call = nextSymbol<int(timeval*, void*)>("gettimeofday");
  const int result = call(out, zone);
  out->tv_sec += faultConfig().offsetMs() / 1000;
  return result;
}

time_t time(time_t* out) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
