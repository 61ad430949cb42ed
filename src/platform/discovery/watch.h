// The watch: a chunked answer of discovery's that stays open, one list after another. It is begun anew
// whenever it ends, from the version that is known by then.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http1/message.h"
#include "net/stream.h"
#include "platform/discovery/object_splitter.h"
#include "platform/discovery/target_list.h"
#include "platform/discovery/watch_policy.h"

namespace garnethook::platform {

class Watch final : private net::StreamEvents, private http1::MessageEvents {
 public:
  struct Events {
    std::function<void(const TargetUpdate&)> update;
    std::function<void(const std::string&)> trouble;
    std::function<std::int64_t()> version;  // of the list that is held
  };
  // Begins at once. `address`: HOST:PORT.
  Watch(net::Loop& loop, const std::string& address, Events events);
  ~Watch() override;

  // Leaves the old address for another one; the list is held meanwhile.
  void move(const std::string& address);

 private:
  void begin();
  void end(const std::string& why);
  void onConnected() override;
  void onOctets(std::string_view octets) override;
  void onClosed(net::CloseCause cause) override;
  void onHead(const http1::Head& head) override;
  void onBody(std::string_view octets) override;
  void onEnd() override { over_ = "the answer ended"; }
  void list(std::string_view text);
  void plan();

  net::Loop& loop_;
  std::string address_;
  Events events_;
  WatchPolicy policy_;
  ObjectSplitter lists_;
  timing::Alarm alarm_;
  std::unique_ptr<http1::MessageParser> parser_;
  std::unique_ptr<net::Stream> stream_;
  std::string over_;  // why the watch is of no further use; empty: it is
};

}  // namespace garnethook::platform
