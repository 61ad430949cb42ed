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
  explicit ScriptedDiscovery(net::Loop& loop) : loop_(loop), beatAlarm_(loop) {
    listen(Poco::Net::SocketAddress("127.0.0.1", 0));
    beat();
  }
  std::string address() const { return address_.toString(); }
  /// How many watches were begun in all.
  std::size_t begun() const { return begun_; }
  /// How many watches are open.
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(watches_.begin(), watches_.end(), [](const auto& watch) { return watch->open(); }));
  }
  /// Sends a list on all open watches; later ones begin with it.
  void tell(const std::string& now) {
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
  bool silent = false;           // takes watches and says nothing
  net::Micros answersAfter = 0;  // takes so long for the first list of each watch

 private:
  static constexpr net::Micros kBeatEvery = 1'000'000;

  void listen(const Poco::Net::SocketAddress& address) {
    server_ = std::make_unique<fake_engine::HttpServer>(
        loop_, address, [this](fake_engine::HttpRequest, std::shared_ptr<fake_engine::HttpReply> reply) {
          begin(std::move(reply));
        });
    address_ = server_->address();
  }
  void begin(std::shared_ptr<fake_engine::HttpReply> watch) {
    ++begun_;
    watches_.push_back(watch);
    if (silent) return;
    if (answersAfter == 0) return answer(watch);
    loop_.after(answersAfter, [this, watch] { answer(watch); });
  }
  void answer(const std::shared_ptr<fake_engine::HttpReply>& watch) {
    if (!watch->open()) return;
    watch->begin(200, {});
    watch->piece(list + "\n");
  }
  void beat() {
    if (!silent) sendAll("\n");
    beatAlarm_.start(kBeatEvery, [this] { beat(); });
  }
  void sendAll(const std::string& bytes) {
    std::erase_if(watches_, [](const auto& watch) { return !watch->open(); });
    if (answersAfter > 0) return;
    for (const auto& watch : watches_) watch->piece(bytes);
  }

  net::Loop& loop_;
  timing::Alarm beatAlarm_;
  Poco::Net::SocketAddress address_;
  std::size_t begun_ = 0;
  std::vector<std::shared_ptr<fake_engine::HttpReply>> watches_;
  std::unique_ptr<fake_engine::HttpServer> server_;
};

}  // namespace garnethook::test
