// The clients of a drill: open-loop arrivals from a seed, each request sent over gRPC to a router of its
// zone, retried as a client library would, and every final answer noted.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "client/channel.h"
#include "fake_engine/recorder.h"
#include "fault_scenario/script.h"

namespace garnethook::fault_scenario {

class Clients {
 public:
  Clients(net::Loop& loop, const Script& script, fake_engine::Recorder& recorder);
  ~Clients();

  // Where a router listens now; port 0: nowhere.
  void setRouter(std::size_t index, const Poco::Net::SocketAddress& address);
  void start();
  void setRate(double factor) { rate_ = factor; }
  // All requests were sent and have ended, retries included.
  bool done() const { return started_ >= script_.load.requests && open_.empty() && waiting_ == 0; }
  std::uint64_t started() const { return started_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t first() const { return started_; }
  std::vector<Micros> firstTokens;  // latencies of served streams
  std::uint64_t inTime = 0;         // of those, to the first token within the class's aim

 private:
  class Request;
  struct Plan {
    std::string marker;
    std::size_t loadClass = 0;
    std::string prompt;
    std::string sharedKey;
    std::uint32_t sharedCharacters = 0;
    std::string session;
    std::size_t router = 0;
    Micros giveUp = 0;  // the client's own overall limit
    bool unary = false;
    Micros cancelAfter = -1;
    int tries = 0;
  };
  void arrive();
  void send(Plan plan);
  void again(Plan plan, Micros delay);
  void ended(Request& request);
  client::Channel* channel(std::size_t router);
  Plan draw();

  net::Loop& loop_;
  const Script& script_;
  fake_engine::Recorder& recorder_;
  std::mt19937_64 random_;
  std::vector<Poco::Net::SocketAddress> routers_;
  std::vector<std::vector<std::unique_ptr<client::Channel>>> channels_;
  std::map<Request*, std::unique_ptr<Request>> open_;
  std::size_t waiting_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t served_ = 0;
  std::size_t turn_ = 0;
  double rate_ = 1;
  Micros nextAt_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace garnethook::fault_scenario
