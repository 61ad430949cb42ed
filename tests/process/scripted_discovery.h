// A discovery whose lists, silence and absence the test chooses.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fake_engine/http_server.h"
#include "net/loop.h"

namespace garnethook::test {

/// Answers each watch with the present list and keeps it alive by its beat.
class ScriptedDiscovery {
 public:
  explicit ScriptedDiscovery(net::Loop& loop) : loop_(loop), keepAliveAlarm_(loop) {
    listen(Poco::Net::SocketAddress("127.0.0.1", 0));
    sendKeepAlive();
  }
  std::string address() const { return address_.toString(); }
  /// How many watches were begun in all.
  std::size_t watchesBegun() const { return watchesBegun_; }
  /// How many watches are open.
  std::size_t openWatches() const {
    return static_cast<std::size_t>(
        std::count_if(watches_.begin(), watches_.end(), [](const auto& watch) { return watch->open(); }));
  }
  /// Sends a list on all open watches; later ones begin with it.
  void publish(const std::string& now) {
    list = now;
    sendAll(list + "\n");
  }
  /// Resets all watches and refuses new ones, until `start`.
  void stop() {
    server_.reset();
    watches_.clear();
  }
  /// Listens again at the same address.
  void start() { listen(address_); }

  std::string list;
  bool silent = false;            // takes watches and says nothing
  net::Micros responseDelay = 0;  // takes so long for the first list of each watch

 private:
  static constexpr net::Micros kKeepAliveInterval = 1'000'000;

  void listen(const Poco::Net::SocketAddress& address) {
    server_ = std::make_unique<fake_engine::HttpServer>(
        loop_, address, [this](fake_engine::HttpRequest, std::shared_ptr<fake_engine::HttpReply> reply) {
          begin(std::move(reply));
        });
    address_ = server_->address();
  }
  void begin(std::shared_ptr<fake_engine::HttpReply> watch) {
    ++watchesBegun_;
    watches_.push_back(watch);
    if (silent) return;
    if (responseDelay == 0) return respond(watch);
    loop_.after(responseDelay, [this, watch] { respond(watch); });
  }
  void respond(const std::shared_ptr<fake_engine::HttpReply>& watch) {
    if (!watch->open()) return;
    watch->begin(200, {});
    watch->piece(list + "\n");
  }
  void sendKeepAlive() {
    if (!silent) sendAll("\n");
    keepAliveAlarm_.start(kKeepAliveInterval, [this] { sendKeepAlive(); });
  }
  void sendAll(const std::string& bytes) {
    std::erase_if(watches_, [](const auto& watch) { return !watch->open(); });
    if (responseDelay > 0) return;
    for (const auto& watch : watches_) watch->piece(bytes);
  }

  net::Loop& loop_;
  timing::Alarm keepAliveAlarm_;
  Poco::Net::SocketAddress address_;
  std::size_t watchesBegun_ = 0;
  std::vector<std::shared_ptr<fake_engine::HttpReply>> watches_;
  std::unique_ptr<fake_engine::HttpServer> server_;
};

}  // namespace garnethook::test
