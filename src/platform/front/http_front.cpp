#include "platform/front/http_front.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace garnethook::platform {
namespace {

using Standing = ConnectionPolicy::Standing;

std::string_view reason(int status) {
  switch (status) {
    case 200: return "OK";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Bad Request";
  }
}

// Seconds with milliseconds.
std::string seconds(Micros time) {
  const Micros ms = (time + 999) / 1000;
  const std::string rest = std::to_string(ms % 1000);
  return std::to_string(ms / 1000) + "." + std::string(3 - rest.size(), '0') + rest;
}

std::string answer(int status, std::string_view text, Micros retryAfter, bool keep) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason(status)).append("\r\nContent-Type: text/plain\r\nContent-Length: ");
  out.append(std::to_string(text.size() + 1)).append("\r\n");
  if (retryAfter > 0) out.append("Retry-After: ").append(seconds(retryAfter)).append("\r\n");
  if (!keep) out.append("Connection: close\r\n");
  return out.append("\r\n").append(text).append("\n");
}

}  // namespace

class HttpFront::Connection final : public net::StreamEvents,
                                    public http1::MessageEvents,
                                    public routing::Client {
 public:
  Connection(HttpFront& owner, Poco::Net::StreamSocket socket)
      : owner_(owner),
        parser_(http1::MessageParser::Kind::request,
                {.headBytes = 16 * 1024, .bodyBytes = IntakeLimits().bodyBytes, .chunkLine = 256}, *this),
        timer_(owner.loop_),
        since_(owner.loop_.now()),
        stream_(owner.loop_, std::move(socket), *this) {
    limitRequest();
  }
  ~Connection() override = default;

  Standing standing() const {
    if (open_ || ended_ || parser_.midway() || waiting() > 0) return Standing::busy;
    return answered_ ? Standing::idle : Standing::fresh;
  }
  Micros since() const { return since_; }
  bool quiet() const { return stream_.quiet(); }
  // This side's end: what is to be sent goes out, then the peer is told that nothing follows. What it still
  // sends is thrown away, so that no reset takes with it what the client has not read yet. No request is
  // taken any more: its client sees that it was not read, and asks anew.
  void end() {
    if (std::exchange(ended_, true)) return;
    if (open_) leave();
    drop();
    stream_.finishSending();
    owner_.ending(*this);
    timer_.start(owner_.options_.lingerWithin, [this] { gone(); });
  }
  // Closes at once, whatever is still to be sent.
  void gone() {
    if (std::exchange(gone_, true)) return;
    ended_ = true;
    timer_.stop();
    if (open_) leave();
    drop();
    stream_.close();
    owner_.closed(*this);
  }
  // Ends after the answer that is due, or now where it rests between requests; `silent`: a connection that
  // never asked anything ends too.
  void drain(bool silent) {
    closing_ = true;
    const bool resting = standing() == Standing::idle || (silent && standing() == Standing::fresh);
    if (resting && stream_.quiet()) end();
  }

 private:
  // ---- octets ----

  void onOctets(std::string_view octets) override {
    if (ended_) {
      lingered_ += octets.size();
      if (lingered_ > owner_.options_.lingerBytes) gone();
      return;
    }
    if (flooded_) return;
    if (open_ || waiting() > 0) return keep(octets);
    const std::size_t taken = feed(octets);
    if (taken < octets.size() && !ended_) keep(octets.substr(taken));
  }

  // Octets that come while a request is open wait here. Reading goes on all the same, as nothing else tells
  // that the client has gone: where too much waits it is thrown away, and the connection ends with the answer
  // that is due. Guards the process's memory against peers that send without waiting.
  void keep(std::string_view octets) {
    if (waiting() + octets.size() > owner_.options_.aheadBytes ||
        owner_.ahead_ + octets.size() > owner_.options_.bodiesBytes) {
      drop();
      flooded_ = closing_ = true;
      if (!open_) end();
      return;
    }
    if (aheadAt_ > 0) ahead_.erase(0, std::exchange(aheadAt_, 0));
    ahead_.append(octets);
    owner_.ahead_ += octets.size();
    if (!open_) nextLater();
  }
  std::size_t waiting() const { return ahead_.size() - aheadAt_; }
  void drop() {
    owner_.ahead_ -= waiting();
    ahead_ = {};
    aheadAt_ = 0;
  }

  // Tells how many octets were taken: all, or those up to the end of a request.
  std::size_t feed(std::string_view octets) {
    if (answered_ && !parser_.midway()) limitRequest();  // the first octet of another request
    parser_.resume();
    const bool good = parser_.receive(octets);
    if (!ended_ && !good) {
      const auto error = parser_.error();
      turnAway(error == "body too large" ? 413 : error == "head too large" ? 431 : 400, error);
    }
    return ended_ ? octets.size() : octets.size() - parser_.untaken();
  }

  void onHead(const http1::Head& head) override {
    head_ = head;
    body_.clear();
    if (const auto expect = http1::find(head.fields, "expect"); expect && *expect == "100-continue")
      stream_.send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  void onBody(std::string_view octets) override { body_.append(octets); }

  void onEnd() override {
    parser_.stop();
    timer_.stop();
    if (!head_.keepAlive) closing_ = true;
    if (head_.method == "GET" && head_.target == "/-/ready") {
      const bool ready = owner_.ready_();
      return reply(ready ? 200 : 503, ready ? "ready" : "not ready", 0);
    }
    // A client that closed right behind its request is gone before anything begins for it.
    if (stream_.peerGone()) return gone();
    auto read = readRequest(head_, std::move(body_), owner_.provision_);
    body_ = {};
    if (const auto* refusal = std::get_if<Refusal>(&read)) return turnAway(refusal->status, refusal->text);
    auto& ask = std::get<routing::Ask>(read);
    if (owner_.ids_.contains(ask.workId)) return turnAway(409, "X-Trace-Id: is that of an open request");
    if (owner_.bodies_ + ask.body->size() > owner_.options_.bodiesBytes)
      return reply(503, "too much is open here", owner_.options_.retryAfter);
    id_ = ask.workId;
    owner_.ids_.insert(id_);
    held_ = ask.body->size();
    owner_.bodies_ += held_;
    open_ = true;
    const auto request = owner_.router_.take(std::move(ask), *this);
    if (open_) request_ = request;
  }

  void onClosed(net::CloseCause) override { gone(); }

  // ---- the answer ----

  bool departed() const override { return stream_.peerGone(); }

  void onTokens(const routing::Tokens& tokens) override {
    std::string out;
    out.reserve(tokens.text.size() + 160);
    if (!std::exchange(begun_, true)) {
      out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
      if (closing_) out.append("Connection: close\r\n");
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
        if (!alive.expired()) gone();  // it does not read
      });
  }

  void onEnd(const routing::Ending& ending) override {
    closeRequest();
    const bool begun = std::exchange(begun_, false);
    if (ending.final == routing::Final::served) {
      if (!begun) return reply(502, "an answer without events", 0);
      stream_.send("0\r\n\r\n");
      return answered();
    }
    if (begun) return end();  // without the last chunk, so that the client knows
    if (ending.final == routing::Final::refused) {
      const bool busy = ending.cause == routing::Cause::busy || ending.cause == routing::Cause::deadline;
      return reply(busy ? 429 : 503, ending.text, ending.retryAfter);
    }
    reply(ending.cause == routing::Cause::deadline ? 504 : 502, ending.text, 0);
  }

  void reply(int status, std::string_view text, Micros retryAfter) {
    stream_.send(answer(status, text, retryAfter, !closing_));
    answered();
  }

  // An error that says the request itself is at fault; what follows on this connection can't be trusted.
  void turnAway(int status, std::string_view text) {
    ++owner_.counters_.turnedAway;
    stream_.send(answer(status, text, 0, false));
    parser_.stop();
    end();
  }

  void answered() {
    answered_ = true;
    since_ = owner_.loop_.now();
    if (closing_) {
      parser_.stop();
      return end();
    }
    if (waiting() > 0) return nextLater();
    timer_.start(owner_.policy_.idleLimit(owner_.connections_.size() - owner_.ending_.size()),
                 [this] { idledOut(); });
  }

  void idledOut() {
    if (!stream_.quiet()) {  // a request is there, unread
      timer_.start(owner_.policy_.options().requestWithin, [this] { tooSlow(); });
      return;
    }
    ++owner_.counters_.idled;
    end();
  }

  // The next request of those that wait, in a turn of its own.
  void nextLater() {
    if (std::exchange(nextPosted_, true)) return;
    owner_.loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.expired()) return;
      nextPosted_ = false;
      if (ended_ || open_ || waiting() == 0) return;
      // The feed may end the connection, and with it what waits.
      std::string octets = std::exchange(ahead_, {});
      const std::size_t from = std::exchange(aheadAt_, 0);
      owner_.ahead_ -= octets.size() - from;
      const std::size_t taken = feed(std::string_view(octets).substr(from));
      if (ended_ || from + taken == octets.size()) return;
      ahead_ = std::move(octets);
      aheadAt_ = from + taken;
      owner_.ahead_ += waiting();
      if (!open_) nextLater();
    });
  }

  void limitRequest() {
    timer_.start(owner_.policy_.options().requestWithin, [this] { tooSlow(); });
  }
  void tooSlow() {
    ++owner_.counters_.timedOut;
    if (parser_.midway()) stream_.send(answer(408, "the request did not come whole in time", 0, false));
    parser_.stop();
    end();
  }

  void closeRequest() {
    open_ = false;
    request_.reset();
    owner_.ids_.erase(id_);
    owner_.bodies_ -= std::exchange(held_, 0);
  }
  void leave() {
    const auto request = request_;
    closeRequest();
    if (request) owner_.router_.leave(*request);
  }

  HttpFront& owner_;
  http1::MessageParser parser_;
  timing::Alarm timer_;
  http1::Head head_;
  std::string body_;
  std::string ahead_;        // octets that came while a request was open ...
  std::size_t aheadAt_ = 0;  // ... from here on
  std::string id_;
  std::size_t held_ = 0;
  std::optional<RequestId> request_;
  Micros since_;
  std::size_t lingered_ = 0;
  bool open_ = false;      // the router owes an answer
  bool begun_ = false;     // and has passed on the first of it
  bool answered_ = false;  // a request of this connection has had its answer
  bool closing_ = false;   // with the next answer
  bool flooded_ = false;   // sent more ahead than is kept
  bool nextPosted_ = false;
  bool ended_ = false;  // takes nothing more
  bool gone_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Stream stream_;
};

HttpFront::HttpFront(net::Loop& loop, const Poco::Net::SocketAddress& address, const Options& options,
                     const provision::Provision& provision, routing::Router& router, Ready ready)
    : loop_(loop),
      options_(options),
      policy_(options.connections),
      provision_(provision),
      router_(router),
      ready_(std::move(ready)),
      roomAlarm_(loop),
      listener_(loop, address, [this](Poco::Net::StreamSocket socket) { accept(std::move(socket)); }) {}

HttpFront::~HttpFront() {
  *alive_ = false;
  connections_.clear();
}

// Those whose end this side has told wait for their peers to close; with many of them the oldest goes at
// once.
void HttpFront::ending(Connection& connection) {
  ending_.push_back(&connection);
  if (ending_.size() > options_.lingering) ending_.front()->gone();
}

void HttpFront::accept(Poco::Net::StreamSocket socket) {
  ++counters_.accepted;
  try {
    auto own = std::make_unique<Connection>(*this, std::move(socket));
    Connection* key = own.get();
    connections_.emplace(key, std::move(own));
    if (draining_) key->drain(false);
  } catch (const Poco::Exception&) {  // the client is gone already
  }
  makeRoom();
}

// Room for the next connection is made ahead. Where none may go yet, whoever comes waits in the system's
// queue.
void HttpFront::makeRoom() {
  if (!policy_.full(connections_.size() - ending_.size()) || evictOne()) return;
  ++counters_.overfull;
  listener_.rest(policy_.options().retryPause);
  roomAlarm_.start(policy_.options().retryPause, [this] { makeRoom(); });
}

// The connection that has stood longest without a request goes, silent ones before those that have been used;
// never one of which something waits unread.
bool HttpFront::evictOne() {
  const Micros now = loop_.now();
  std::vector<std::pair<std::pair<bool, Micros>, Connection*>> order;
  for (const auto& [c, own] : connections_)
    if (policy_.mayEvict(c->standing(), now - c->since()))
      order.push_back({{c->standing() != Standing::fresh, c->since()}, c});
  constexpr std::ptrdiff_t kLooks = 8;  // each asks the system
  const auto looks = order.begin() + std::min(std::ssize(order), kLooks);
  std::partial_sort(order.begin(), looks, order.end());
  for (auto at = order.begin(); at != looks; ++at) {
    if (!at->second->quiet()) continue;
    ++counters_.evicted;
    at->second->end();
    return true;
  }
  return false;
}

// It may be the one that calls: it ends in the loop's next turn.
void HttpFront::closed(Connection& connection) {
  const auto at = connections_.find(&connection);
  if (at == connections_.end()) return;
  std::erase(ending_, &connection);
  loop_.post([own = std::shared_ptr<Connection>(std::move(at->second)), alive = alive_] {});
  connections_.erase(at);
}

void HttpFront::endIdle(bool silent) {
  std::vector<Connection*> all;
  for (const auto& [c, own] : connections_) all.push_back(c);
  for (Connection* c : all) c->drain(silent);
}

void HttpFront::drain() {
  draining_ = true;
  endIdle(false);
}

void HttpFront::close() {
  listener_.close();
  draining_ = true;
  endIdle(true);
}

}  // namespace garnethook::platform
