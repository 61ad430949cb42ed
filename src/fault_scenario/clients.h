// The clients of a fault scenario: open-loop arrivals generated from a seed. Each request is sent over gRPC
// to one of the routers in turn and retried as a client library would; every final response is recorded.
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

  // Sets the address at which a router listens; port 0: the router is down.
  void setRouter(std::size_t index, const Poco::Net::SocketAddress& address);
  void start();
  void setRateFactor(double factor) { rateFactor_ = factor; }
  // Returns whether all requests were sent and have ended, retries included.
  bool done() const {
    return startedRequests_ >= script_.load.requests && openRequests_.empty() && pendingRetries_ == 0;
  }
  std::uint64_t startedRequests() const { return startedRequests_; }
  std::uint64_t servedRequests() const { return servedRequests_; }
  std::uint64_t first() const { return startedRequests_; }
  std::vector<Micros> timesToFirstToken;  // of served streams
  std::uint64_t withinTtftObjective = 0;  // served streams that met the TTFT objective of their class

 private:
  class Request;
  struct PlannedRequest {
    std::string marker;
    std::size_t classIndex = 0;
    std::string prompt;
    std::string sharedPrefixKey;
    std::uint32_t sharedPrefixCharacters = 0;
    std::string session;
    std::size_t router = 0;
    Micros overallDeadline = 0;  // the client's own limit, over all retries
    bool unary = false;
    Micros cancelAfter = -1;
    int retryCount = 0;
  };
  void sendDueRequests();
  void send(PlannedRequest plan);
  void scheduleRetry(PlannedRequest plan, Micros delay);
  void removeRequest(Request& request);
  client::Channel* channel(std::size_t router);
  PlannedRequest generateRequest();

  net::Loop& loop_;
  const Script& script_;
  fake_engine::Recorder& recorder_;
  std::mt19937_64 random_;
  std::vector<Poco::Net::SocketAddress> routers_;
  std::vector<std::vector<std::unique_ptr<client::Channel>>> channels_;
  std::map<Request*, std::unique_ptr<Request>> openRequests_;
  std::size_t pendingRetries_ = 0;
  std::uint64_t startedRequests_ = 0;
  std::uint64_t servedRequests_ = 0;
  std::size_t nextRouter_ = 0;
  double rateFactor_ = 1;
  Micros nextArrival_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace garnethook::fault_scenario
