// One connection of a client: its requests, one at a time and in the order in which they came, their answers,
// and its end.
//
// What was read gets its answer, also while the router drains; the last answer announces the end. A
// connection that ends between requests is only shut down for sending: a request that crosses the FIN stays
// unread, so its client knows that nothing was begun for it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/message.h"
#include "net/stream.h"
#include "platform/http_frontend/http_frontend.h"
#include "platform/http_frontend/read_ahead.h"
#include "platform/http_frontend/response.h"

namespace garnethook::platform {

class HttpFrontend::Connection final : public net::StreamEvents,
                                       public http1::MessageEvents,
                                       public routing::Client {
 public:
  // `waited`: how long it may have waited to be accepted, with its first request.
  Connection(HttpFrontend& owner, Poco::Net::StreamSocket socket, Micros waited);
  ~Connection() override = default;

  ConnectionPolicy::Standing standing() const;
  Micros since() const { return since_; }
  // Nothing waits unread and the client has not closed: asks the system.
  bool quiet() const { return stream_.quiet(); }
  // Ends this side: what is to be sent goes out, then FIN. With Inbound::read what the client still sends is
  // thrown away, so that no reset takes an answer that it has not read; with Inbound::leave it stays unread.
  void end(net::Stream::Inbound inbound, CloseReason reason);
  // Closes at once, whatever is still to be sent.
  void gone(CloseReason reason);
  // Ends behind the last answer that is owed, or now where it rests between requests; `silent`: a connection
  // that never asked anything ends too.
  void drain(bool silent);

 private:
  // ---- bytes ----
  void onBytes(std::string_view bytes) override;
  void onClosed(net::CloseCause) override { gone(CloseReason::clientClosed); }
  void noteClose(CloseReason reason);
  void keep(std::string_view bytes);
  std::size_t feed(std::string_view bytes, Micros arrivedAt);
  bool moreBehind() const;
  void dropReadAhead();
  void serveNextLater();
  void serveNext();
  void awaitClientReading();
  // ---- requests ----
  void onHead(const http1::Head& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;
  void open(routing::Request request, std::size_t bodyBytes);
  void releaseBody();
  void limitRequest();
  void tooSlow();
  void closeRequest();
  void leave();
  // ---- answers ----
  bool isCancelled() const override { return stream_.peerGone(); }
  void onTokens(const routing::Tokens& tokens) override;
  void onCompletion(const routing::Completion& ending) override;
  bool announceEnd();
  void reply(int status, std::string_view text, Micros retryAfter);
  void reject(int status, std::string_view text);
  void answered();
  void idledOut();
  void linger();

  HttpFrontend& owner_;
  http1::MessageParser parser_;
  timing::Alarm timer_;
  http1::Head head_;
  std::string body_;
  ReadAhead readAhead_;
  std::string id_;
  std::size_t bodyBytes_ = 0;  // of the request that is read or open, in the front's account
  std::optional<RequestId> request_;
  Micros since_;          // it was accepted, or had its latest answer
  Micros waited_;         // before it was accepted, at most; 0 once its first bytes were read
  Micros arrivedAt_ = 0;  // of the bytes that are being parsed
  std::size_t lingered_ = 0;
  std::size_t unsentAtLook_ = 0;
  int lingerLooks_ = 0;
  bool feeding_ = false;      // the parser is at work
  bool open_ = false;         // the router owes an answer
  bool begun_ = false;        // and has passed on the first of it
  bool answered_ = false;     // a request of this connection has had its answer
  bool closing_ = false;      // ends behind the last answer that is owed
  bool lastRequest_ = false;  // the client said that it sends no other
  bool announced_ = false;    // and was told that the connection ends
  bool flooded_ = false;      // sent more ahead than is kept
  bool nextPosted_ = false;
  bool lookedAgain_ = false;  // at a request that was not whole in time
  bool ended_ = false;        // takes nothing more
  bool gone_ = false;
  bool closeNoted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Stream stream_;
};

}  // namespace garnethook::platform
