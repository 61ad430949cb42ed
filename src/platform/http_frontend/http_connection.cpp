#include "platform/http_frontend/http_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace garnethook::platform {
namespace {

using Inbound = net::Stream::Inbound;
using Standing = ConnectionPolicy::Standing;

// A request's last bytes may wait unread when its time is over; they are read within this.
constexpr Micros kLastLook = 1'000;
// How often a client that does not read its answers is looked at before its next request is served.
constexpr Micros kUnsentLook = 10'000;
// Requests that are answered at once, one behind the other: others have their turn then.
constexpr int kAnswersInTurn = 16;
// A client that goes on reading what is left for it may take so many times the linger time.
constexpr int kLingerLooks = 10;

http1::MessageLimits messageLimits() {
  return {.headBytes = 16 * 1024, .bodyBytes = RequestLimits().bodyBytes, .chunkLine = 256};
}

}  // namespace

HttpFrontend::Connection::Connection(HttpFrontend& owner, Poco::Net::StreamSocket socket, Micros waited)
    : owner_(owner),
      parser_(http1::MessageParser::Kind::request, messageLimits(), *this),
      timer_(owner.loop_),
      since_(owner.loop_.now()),
      waited_(waited),
      stream_(owner.loop_, std::move(socket), *this) {
  limitRequest();
}

Standing HttpFrontend::Connection::standing() const {
  if (open_ || ended_ || parser_.midway() || !readAhead_.empty()) return Standing::busy;
  return answered_ ? Standing::idle : Standing::fresh;
}

// Once for each connection: the first reason is the one.
void HttpFrontend::Connection::noteClose(CloseReason reason) {
  if (std::exchange(closeNoted_, true)) return;
  const bool owed = open_ && !begun_ && !mayLeaveUnanswered(reason);
  owner_.noteClose(reason, open_ ? std::string_view(id_) : std::string_view(), owed);
}

void HttpFrontend::Connection::end(Inbound inbound, CloseReason reason) {
  if (std::exchange(ended_, true)) return;
  noteClose(reason);
  if (open_) leave();
  releaseBody();
  dropReadAhead();
  parser_.stop();
  stream_.finishSending(inbound);
  owner_.ending(*this);
  if (!gone_) linger();
}

// Waits for the client to close too; longer where it still reads what is left for it.
void HttpFrontend::Connection::linger() {
  unsentAtLook_ = stream_.pending();
  timer_.start(owner_.options_.lingerWithin, [this] {
    const bool reads = stream_.pending() > 0 && stream_.pending() < unsentAtLook_;
    if (!reads || ++lingerLooks_ >= kLingerLooks) return gone(CloseReason::unreadAnswer);
    linger();
  });
}

void HttpFrontend::Connection::gone(CloseReason reason) {
  if (std::exchange(gone_, true)) return;
  noteClose(reason);
  ended_ = true;
  timer_.stop();
  if (open_) leave();
  releaseBody();
  dropReadAhead();
  stream_.close();
  owner_.closed(*this);
}

void HttpFrontend::Connection::drain(bool silent) {
  closing_ = true;
  const bool resting = standing() == Standing::idle || (silent && standing() == Standing::fresh);
  if (resting && stream_.quiet()) end(Inbound::leave, CloseReason::draining);
}

// ---- bytes ----

void HttpFrontend::Connection::onBytes(std::string_view bytes) {
  if (ended_) {
    lingered_ += bytes.size();
    if (lingered_ > owner_.options_.lingerBytes) gone(CloseReason::flooded);
    return;
  }
  if (flooded_ || announced_) return;
  if (open_ || !readAhead_.empty()) return keep(bytes);
  // The client's time has run while its connection waited to be accepted.
  const Micros bound = std::exchange(waited_, 0);
  const Micros waited = bound > 0 ? std::min(bound, stream_.sinceLatestBytes()) : 0;
  const std::size_t taken = feed(bytes, owner_.loop_.now() - waited);
  if (taken < bytes.size() && !ended_ && !announced_) keep(bytes.substr(taken));
}

// Bytes that come while a request is open wait here. Reading goes on all the same, as nothing else tells that
// the client has gone. Where too much waits, what comes from then on is thrown away, and the connection ends
// behind the answers to what was kept. Guards the process's memory against peers that send without waiting.
void HttpFrontend::Connection::keep(std::string_view bytes) {
  if (readAhead_.size() + bytes.size() > owner_.options_.aheadBytes ||
      owner_.aheadBytes_ + bytes.size() > owner_.options_.bodiesBytes) {
    flooded_ = closing_ = true;
  } else {
    readAhead_.append(bytes, owner_.loop_.now());
    owner_.aheadBytes_ += bytes.size();
  }
  if (!open_) serveNextLater();
}

// Tells how many bytes were taken: all, or those up to the end of a request.
std::size_t HttpFrontend::Connection::feed(std::string_view bytes, Micros arrivedAt) {
  if (answered_ && !parser_.midway()) limitRequest();  // the first byte of another request
  arrivedAt_ = arrivedAt;
  parser_.resume();
  feeding_ = true;
  const bool good = parser_.receive(bytes);
  feeding_ = false;
  if (!ended_ && !good) {
    const auto error = parser_.error();
    reject(error == "body too large" ? 413 : error == "head too large" ? 431 : 400, error);
  }
  return ended_ ? bytes.size() : bytes.size() - parser_.untaken();
}

// Whether more was read behind the request that has just been parsed, or is being answered.
bool HttpFrontend::Connection::moreBehind() const {
  return !readAhead_.empty() || (feeding_ && parser_.untaken() > 0);
}

void HttpFrontend::Connection::dropReadAhead() {
  owner_.aheadBytes_ -= readAhead_.size();
  readAhead_.clear();
}

// The next request of those that wait, in a turn of its own.
void HttpFrontend::Connection::serveNextLater() {
  if (std::exchange(nextPosted_, true)) return;
  owner_.loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    nextPosted_ = false;
    serveNext();
  });
}

void HttpFrontend::Connection::serveNext() {
  if (ended_ || open_) return;
  if (stream_.pending() > owner_.options_.unsentBytes) return awaitClientReading();
  int answers = 0;
  while (!ended_ && !announced_ && !open_ && !readAhead_.empty()) {
    if (answers >= kAnswersInTurn) return serveNextLater();
    ReadAhead::Piece piece = readAhead_.takeFirst();
    const std::size_t size = piece.unread().size();
    owner_.aheadBytes_ -= size;
    const std::size_t taken = feed(piece.unread(), piece.arrivedAt);
    if (ended_ || announced_ || taken == size) continue;
    owner_.aheadBytes_ += size - taken;
    readAhead_.putBack(std::move(piece), taken);
    ++answers;
  }
  if (flooded_ && !open_ && readAhead_.empty()) end(Inbound::read, CloseReason::flooded);
}

// Answers to what waits would pile up here: the client has to read first, in the time of a request.
void HttpFrontend::Connection::awaitClientReading() {
  if (owner_.loop_.now() - since_ > owner_.policy_.options().requestWithin)
    return gone(CloseReason::unreadAnswer);
  timer_.start(kUnsentLook, [this] { serveNext(); });
}

// ---- requests ----

// Bodies that are not whole yet count with those of open requests.
void HttpFrontend::Connection::onBody(std::string_view bytes) {
  if (ended_) return;
  if (owner_.bodies_ + bytes.size() > owner_.options_.bodiesBytes) {
    stream_.send(responseText({.status = 503,
                               .text = "too much is open here",
                               .retryAfter = owner_.options_.retryAfter,
                               .keepAlive = false}));
    return end(Inbound::read, CloseReason::full);
  }
  owner_.bodies_ += bytes.size();
  bodyBytes_ += bytes.size();
  body_.append(bytes);
}

void HttpFrontend::Connection::releaseBody() {
  owner_.bodies_ -= std::exchange(bodyBytes_, 0);
  body_ = {};
}

void HttpFrontend::Connection::onHead(const http1::Head& head) {
  head_ = head;
  if (const auto expect = http1::find(head.fields, "expect"); expect && *expect == "100-continue")
    stream_.send("HTTP/1.1 100 Continue\r\n\r\n");
}

void HttpFrontend::Connection::onEnd() {
  parser_.stop();
  if (ended_) return;
  timer_.stop();
  if (!head_.keepAlive) closing_ = lastRequest_ = true;
  const std::size_t bodyBytes = bodyBytes_;
  std::string body = std::exchange(body_, {});
  releaseBody();
  if (head_.method == "GET" && head_.target == "/-/ready") {
    const bool ready = owner_.events_.ready();
    return reply(ready ? 200 : 503, ready ? "ready" : "not ready", 0);
  }
  // A client that closed right behind its request is gone before anything begins for it.
  if (stream_.peerGone()) return gone(CloseReason::clientClosed);
  auto read = readRequest(head_, std::move(body), owner_.deployment_);
  if (const auto* rejection = std::get_if<Rejection>(&read))
    return reject(rejection->status, rejection->text);
  auto& request = std::get<routing::Request>(read);
  if (owner_.ids_.contains(request.traceId)) return reject(409, "X-Trace-Id: is that of an open request");
  // The process may end before an answer to it.
  if (owner_.refusing_) return reply(503, "the router is going down", owner_.options_.retryAfter);
  // The client's time runs from its last byte, also while that waits here behind another request.
  request.remaining -= owner_.loop_.now() - arrivedAt_;
  open(std::move(request), bodyBytes);
}

void HttpFrontend::Connection::open(routing::Request request, std::size_t bodyBytes) {
  id_ = request.traceId;
  owner_.ids_.insert(id_);
  bodyBytes_ = bodyBytes;
  owner_.bodies_ += bodyBytes_;
  open_ = true;
  const RequestId id = owner_.router_.accept(std::move(request), *this);
  if (open_) request_ = id;
}

void HttpFrontend::Connection::limitRequest() {
  lookedAgain_ = false;
  timer_.start(owner_.policy_.options().requestWithin, [this] { tooSlow(); });
}

void HttpFrontend::Connection::tooSlow() {
  if (!stream_.quiet() && !std::exchange(lookedAgain_, true))
    return timer_.start(kLastLook, [this] { tooSlow(); });
  ++owner_.counters_.timedOut;
  if (!parser_.midway()) return end(Inbound::leave, CloseReason::tooSlow);
  reject(408, "the request did not come whole in time");
}

void HttpFrontend::Connection::closeRequest() {
  open_ = false;
  request_.reset();
  owner_.ids_.erase(id_);
  releaseBody();
}

void HttpFrontend::Connection::leave() {
  const auto request = request_;
  closeRequest();
  if (request) owner_.router_.cancel(*request);
}

// ---- answers ----

void HttpFrontend::Connection::onTokens(const routing::Tokens& tokens) {
  std::string out;
  out.reserve(tokens.text.size() + 160);
  if (!std::exchange(begun_, true)) {
    out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    if (announceEnd()) out.append("Connection: close\r\n");
    out.append("\r\n");
  }
  char size[20];
  const char* const sizeEnd = std::to_chars(size, size + sizeof size, tokens.text.size(), 16).ptr;
  out.append(size, static_cast<std::size_t>(sizeEnd - size))
      .append("\r\n")
      .append(tokens.text)
      .append("\r\n");
  stream_.send(out);
  if (stream_.pending() > owner_.options_.unreadBytes)
    owner_.loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
      const bool reads = alive.expired() || stream_.pending() <= owner_.options_.unreadBytes;
      if (!reads) gone(CloseReason::unreadAnswer);
    });
}

void HttpFrontend::Connection::onCompletion(const routing::Completion& ending) {
  closeRequest();
  const bool begun = std::exchange(begun_, false);
  if (ending.disposition == routing::Disposition::completed) {
    if (!begun) return reply(502, "an answer without events", 0);
    stream_.send("0\r\n\r\n");
    return answered();
  }
  if (begun)
    return end(Inbound::read, CloseReason::streamBroken);  // without the last chunk, so that the client knows
  if (ending.disposition == routing::Disposition::rejected) {
    const bool busy = ending.failureReason == routing::FailureReason::overloaded ||
                      ending.failureReason == routing::FailureReason::deadline;
    return reply(busy ? 429 : 503, ending.text, ending.retryAfter);
  }
  reply(ending.failureReason == routing::FailureReason::deadline ? 504 : 502, ending.text, 0);
}

// Whether the answer that begins now is the last one; its head has to say so.
bool HttpFrontend::Connection::announceEnd() {
  announced_ = lastRequest_ || (closing_ && !moreBehind());
  return announced_;
}

void HttpFrontend::Connection::reply(int status, std::string_view text, Micros retryAfter) {
  const bool last = announceEnd();
  stream_.send(responseText({.status = status, .text = text, .retryAfter = retryAfter, .keepAlive = !last}));
  answered();
}

// An error that says the request itself is at fault; what follows on this connection can't be trusted.
void HttpFrontend::Connection::reject(int status, std::string_view text) {
  ++owner_.counters_.rejected;
  owner_.events_.rejected(status, text);
  stream_.send(responseText({.status = status, .text = text, .keepAlive = false}));
  end(Inbound::read, CloseReason::badRequest);
}

void HttpFrontend::Connection::answered() {
  answered_ = true;
  since_ = owner_.loop_.now();
  if (announced_) return end(Inbound::read, CloseReason::answeredLast);
  if (moreBehind()) return serveNextLater();
  // The answer had begun before the end was known: whatever the client has sent by now is still served.
  if (closing_ && (flooded_ || stream_.quiet())) return end(Inbound::leave, CloseReason::draining);
  timer_.start(owner_.policy_.idleLimit(owner_.connections_.size() - owner_.ending_.size()),
               [this] { idledOut(); });
}

void HttpFrontend::Connection::idledOut() {
  if (!stream_.quiet()) return limitRequest();  // a request is there, unread
  ++owner_.counters_.idled;
  end(Inbound::leave, CloseReason::idle);
}

}  // namespace garnethook::platform
