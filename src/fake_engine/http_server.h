// A plain HTTP/1.1 server for stand-ins: requests in, answers out, one at a time on each connection.
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

// The way back for one request; outlives its connection safely.
class HttpReply {
 public:
  virtual ~HttpReply() = default;
  // Whole answer.
  virtual void send(int status, const http1::Fields& fields, std::string_view body) = 0;
  // Streamed answer, chunked.
  virtual void begin(int status, const http1::Fields& fields) = 0;
  virtual void piece(std::string_view bytes) = 0;
  virtual void end() = 0;
  // Cuts the connection, with a reset.
  virtual void cut() = 0;
  // Whether the client is still there.
  virtual bool open() const = 0;
  // Called when the client goes away before the end.
  std::function<void()> onGone;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest request, std::shared_ptr<HttpReply> reply)>;
  HttpServer(net::Loop& loop, const Poco::Net::SocketAddress& address, Handler handler);
  ~HttpServer();
  Poco::Net::SocketAddress address() const { return listener_->address(); }
  // Ends all connections, with a reset, and listens no more.
  void down();
  // Bytes from hosts for which the filter says so are kept, not looked at, until thaw().
  std::function<bool(const std::string& host)> frozen;
  void thaw();
  // Bytes of answers go out one at a time, `trickle` apart; 0: at once.
  net::Micros trickle = 0;

 private:
  class Connection;
  net::Loop& loop_;
  Handler handler_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace garnethook::fake_engine
