// Clients over HTTP/1.1: one request at a time on a connection, answers as streams of events.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "net/stream.h"
#include "platform/http_frontend/close_reason.h"
#include "platform/http_frontend/connection_policy.h"
#include "platform/http_frontend/request_decoder.h"
#include "routing/router.h"

namespace garnethook::platform {

class HttpFrontend {
 public:
  struct Options {
    ConnectionPolicy::Options connections;
    std::size_t bodiesBytes = 64u << 20;   // of all requests together that are read or open
    std::size_t aheadBytes = 1u << 20;     // kept of what a client sends behind an open request
    std::size_t unreadBytes = 512 * 1024;  // of an answer that its client does not read
    std::size_t unsentBytes = 64 * 1024;   // of answers, with which a client gets none of its next ones yet
    Micros lingerWithin = 1'000'000;       // for a client to close too, once this side has ended
    std::size_t lingerBytes = 1u << 20;    // and so much of what it still sends is thrown away
    std::size_t lingering = 64;            // connections in that state, beside a full number of others
    Micros retryAfter = 250'000;           // told where this front itself is full
  };
  struct Counters {
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;  // requests that could not be read, or asked for nothing there is
    std::uint64_t timedOut = 0;  // connections without a whole request in time
    std::uint64_t evicted = 0;
    std::uint64_t overfull = 0;  // connections closed as there was no room
    std::uint64_t idled = 0;     // closed between requests
    std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count_)> closed{};  // by reason
    std::uint64_t closedUnanswered = 0;  // with an open request that was owed an answer: breaks a rule
  };
  struct Events {
    std::function<bool()> ready;  // what `/-/ready` tells
    // A request that could not be read, or asked for nothing there is; the text names the cause.
    std::function<void(int status, std::string_view text)> rejected = [](int, std::string_view) {};
    // A connection ended. `trace`: of the request that was open; `owed`: its answer, against the rules.
    std::function<void(CloseReason reason, std::string_view trace, bool owed)> closed =
        [](CloseReason, std::string_view, bool) {};
  };

  HttpFrontend(net::Loop& loop, const Poco::Net::SocketAddress& address, const Options& options,
               const deployment_config::DeploymentConfig& deployment, routing::Router& router, Events events);
  ~HttpFrontend();

  // Answers end their connections from now on; those between requests end.
  void drain();
  // Takes no more connections, and those without an open request end. What is read from now on is refused:
  // the process ends once the requests that are open have their answers.
  void close();

  Poco::Net::SocketAddress address() const { return listener_.address(); }
  std::size_t connections() const { return connections_.size(); }
  // Connections may still be taken.
  bool accepting() const { return listener_.open(); }
  std::size_t openRequests() const { return ids_.size(); }
  // Of the bodies of open requests, and of what waits behind them.
  std::size_t heldBytes() const { return bodies_ + aheadBytes_; }
  const Counters& counters() const { return counters_; }

 private:
  class Connection;
  void accept(Poco::Net::StreamSocket socket);
  void makeRoom();
  void boundLingering();
  bool evictOne();
  void noteClose(CloseReason reason, std::string_view trace, bool owed);
  void ending(Connection& connection);
  void closed(Connection& connection);
  void endIdle(bool silent);

  net::Loop& loop_;
  Options options_;
  ConnectionPolicy policy_;
  const deployment_config::DeploymentConfig& deployment_;
  routing::Router& router_;
  Events events_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unordered_set<std::string> ids_;  // of open requests
  std::size_t bodies_ = 0;
  std::size_t aheadBytes_ = 0;  // that wait behind open requests, of all connections
  std::deque<Connection*> ending_;
  bool draining_ = false;
  bool refusing_ = false;
  Counters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  timing::Alarm roomAlarm_;
  net::Listener listener_;
};

}  // namespace garnethook::platform
