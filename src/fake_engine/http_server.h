// A minimal HTTP/1.1 server for fake engines. It handles one request at a time on each connection.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "http1/message.h"
#include "net/listener.h"
#include "net/stream.h"

namespace garnethook::fake_engine {

struct HttpRequest {
  http1::Head head;
  std::string body;
};

// Sends the response to one request. May outlive its connection.
class HttpReply {
 public:
  virtual ~HttpReply() = default;
  // Sends a complete response.
  virtual void send(int status, const http1::Fields& fields, std::string_view body) = 0;
  // Begins a streamed response in chunked encoding.
  virtual void begin(int status, const http1::Fields& fields) = 0;
  virtual void piece(std::string_view bytes) = 0;
  virtual void end() = 0;
  // Resets the connection.
  virtual void cut() = 0;
  // Whether the client is connected and the response has not ended.
  virtual bool open() const = 0;
  // Called when the client disconnects before the response has ended.
  std::function<void()> onDisconnect;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest request, std::shared_ptr<HttpReply> reply)>;
  HttpServer(net::Loop& loop, const Poco::Net::SocketAddress& address, Handler handler);
  ~HttpServer();
  Poco::Net::SocketAddress address() const { return listener_->address(); }
  // Resets all connections and stops listening.
  void shutDown();
  // Traffic with the hosts that this filter matches is buffered until unblock().
  std::function<bool(const std::string& host)> blocksHost;
  void unblock();
  // Interval between single bytes of responses; 0: responses are sent at once.
  net::Micros trickle = 0;

 private:
  class Connection;
  net::Loop& loop_;
  Handler handler_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace garnethook::fake_engine
