// Tests the close of a listener under connections from several processes, whose handshakes it meets at every
// stage. Threads of one process take turns with the listener too often for that.
#include "net/listener.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <vector>

#include "support/loop_runner.h"

namespace garnethook::test {
namespace {

constexpr int kConnectTimeoutMs = 20;
constexpr std::chrono::milliseconds kAnswerTimeout{1000};  // far longer than a listener takes to close
constexpr std::size_t kMaxConnections = 250;  // all processes together stay below the listener's backlog

// What happened to the connections of one process.
struct ConnectionCounts {
  int connected = 0;
  int lost = 0;  // connected, but reset or never answered
};

bool awaitEvent(int descriptor, short event, int timeoutMs) {
  pollfd request{descriptor, event, 0};
  return ::poll(&request, 1, timeoutMs) > 0;
}

// Connects; returns the descriptor, or -1 if the connection was refused or dropped.
int connectTo(const sockaddr_in& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  int error = 0;
  socklen_t size = sizeof error;
  const bool isConnected = awaitEvent(descriptor, POLLOUT, kConnectTimeoutMs) &&
                           ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  if (isConnected) return descriptor;
  ::close(descriptor);
  return -1;
}

// Counts the connections on which no byte arrives; the listener's owner sends one on each that it accepts.
int countUnanswered(const std::vector<int>& descriptors) {
  using Clock = std::chrono::steady_clock;
  const auto deadline = Clock::now() + kAnswerTimeout;
  int unanswered = 0;
  for (const int descriptor : descriptors) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
    const int timeoutMs = std::max(0, static_cast<int>(remaining.count()));
    char answer = 0;
    const bool isAnswered = awaitEvent(descriptor, POLLIN, timeoutMs) && ::read(descriptor, &answer, 1) == 1;
    if (!isAnswered) ++unanswered;
  }
  return unanswered;
}

// A process that connects repeatedly without pauses until finish().
class ConnectorProcess {
 public:
  explicit ConnectorProcess(std::uint16_t port) {
    EXPECT_EQ(::pipe(stopPipe_.data()), 0);
    EXPECT_EQ(::pipe(resultPipe_.data()), 0);
    process_ = ::fork();
    if (process_ == 0) run(port);
  }
  ConnectorProcess(const ConnectorProcess&) = delete;
  ConnectorProcess& operator=(const ConnectorProcess&) = delete;
  ~ConnectorProcess() {
    for (const int descriptor : {stopPipe_[0], stopPipe_[1], resultPipe_[0], resultPipe_[1]})
      ::close(descriptor);
  }
  ConnectionCounts finish() {
    ConnectionCounts counts;
    EXPECT_EQ(::write(stopPipe_[1], "x", 1), 1);
    EXPECT_EQ(::read(resultPipe_[0], &counts, sizeof counts), static_cast<ssize_t>(sizeof counts));
    ::waitpid(process_, nullptr, 0);
    return counts;
  }

 private:
  [[noreturn]] void run(std::uint16_t port) const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    std::vector<int> connected;
    while (!awaitEvent(stopPipe_[0], POLLIN, 0) && connected.size() < kMaxConnections)
      if (const int descriptor = connectTo(address); descriptor >= 0) connected.push_back(descriptor);
    ConnectionCounts counts;
    counts.connected = static_cast<int>(connected.size());
    counts.lost = countUnanswered(connected);
    [[maybe_unused]] const auto written = ::write(resultPipe_[1], &counts, sizeof counts);
    ::_exit(0);
  }

  std::array<int, 2> stopPipe_{};
  std::array<int, 2> resultPipe_{};
  pid_t process_ = -1;
};

// Guards against losing connections whose handshakes had begun when the listener closed: a filter dropped
// their last packet, or they joined the accept queue after it had been found empty and were reset.
TEST(ListenerTest, AcceptsEveryConnectionOfBusyProcessesThatItsCloseMeets) {
  constexpr int kRounds = 30;
  constexpr int kProcesses = 4;
  ConnectionCounts total;
  for (int round = 0; round < kRounds; ++round) {
    LoopRunner runner;
    net::Listener listener(runner.loop, Poco::Net::SocketAddress("127.0.0.1", 0),
                           [](const auto& socket) { ::send(socket.impl()->sockfd(), "a", 1, MSG_NOSIGNAL); });
    std::array<std::unique_ptr<ConnectorProcess>, kProcesses> connectors;
    for (auto& connector : connectors)
      connector = std::make_unique<ConnectorProcess>(listener.address().port());
    runner.pass(2'000);
    listener.close();
    ASSERT_TRUE(runner.until([&] { return !listener.open(); }, 1'000'000));
    runner.pass(5'000);
    for (auto& connector : connectors) {
      const ConnectionCounts counts = connector->finish();
      total.connected += counts.connected;
      total.lost += counts.lost;
    }
  }
  EXPECT_GT(total.connected, kRounds * kProcesses);
  EXPECT_EQ(total.lost, 0) << "of " << total.connected;
}

}  // namespace
}  // namespace garnethook::test
