#include "platform/http_frontend/http_connection.h"

#include <algorithm>
#include <utility>

namespace garnethook::platform {
namespace {

using Activity = ConnectionPolicy::Activity;
using Inbound = net::Stream::Inbound;

// The last bytes of a request may still be unread when its timeout expires; this delay allows reading them.
constexpr Micros kTimeoutRecheckDelay = 1'000;
// Interval between checks whether a client has read enough of its responses to serve its next request.
constexpr Micros kUnreadCheckInterval = 10'000;
// Maximum pipelined requests answered in one event loop iteration, so that other connections are served too.
constexpr int kMaxRequestsPerIteration = 16;

// Unsent bytes of a response up to which its engine is not paused.
constexpr std::size_t kMinUnsentBytesToPause = std::size_t{8} * 1024;
// Memory of a head that is not counted against the budget of heads, in bytes.
constexpr std::size_t kUsualHeadMemory = std::size_t{2} * 1024;

http1::MessageLimits messageLimits() {
  return {
      .headBytes = std::size_t{16} * 1024, .bodyBytes = RequestLimits().maxBodyBytes, .chunkLineBytes = 256};
}

int parseErrorStatus(std::string_view error) {
  if (error == "body too large") return 413;
  return error == "head too large" || error == "too many fields" ? 431 : 400;
}

}  // namespace

HttpFrontend::Connection::Connection(HttpFrontend& owner, const Poco::Net::StreamSocket& socket,
                                     Micros connectedSince)
    : owner_(owner),
      lingeringClose_(owner.options_.maxLingeringInputBytes),
      parser_(http1::MessageParser::Kind::request, messageLimits(), *this),
      timer_(owner.loop_),
      pipelinedInput_(owner.options_.maxPipelinedBytes, owner.pipelinedBudget_),
      overflow_(messageLimits()),
      unsentBytes_(owner.unsentBudget_),
      unreadAlarm_(owner.loop_),
      headBytes_(owner.headBudget_),
      body_(owner.bodyBudget_),
      openRequestBytes_(owner.bodyBudget_),
      lastResponseAt_(owner.loop_.now()),
      stream_(owner.loop_, socket, *this, connectedSince),
      responses_(stream_) {
  startRequestTimer();
}

Activity HttpFrontend::Connection::activity() const {
  if (isRequestOpen_ || state_ != State::open || parser_.hasPartialInput() || hasMoreInput())
    return Activity::busy;
  return hasResponded_ ? Activity::idle : Activity::unused;
}

// ---- Input ----

void HttpFrontend::Connection::onBytes(std::string_view bytes) {
  if (state_ != State::open) {
    if (!lingeringClose_.discard(bytes.size())) close(CloseReason::pipelineOverflow);
    return;
  }
  if (persistence_.isClosingAnnounced()) return;
  if (isRequestOpen_ || hasMoreInput()) return bufferInput(bytes);
  const std::size_t parsed = parseInput(bytes, stream_.arrival());
  if (parsed < bytes.size() && state_ == State::open && !persistence_.isClosingAnnounced())
    bufferInput(bytes.substr(parsed));
}

// Buffers input that arrives while a request is open. Reading continues, because it is the only way to detect
// that the client has closed the connection. When a limit is reached, further requests are only counted; they
// are rejected once the buffered ones have been answered. This bounds the memory used by clients that send
// without waiting for responses.
void HttpFrontend::Connection::bufferInput(std::string_view bytes) {
  if (overflow_.isActive())
    overflow_.receive(bytes);
  else if (!pipelinedInput_.append(bytes, stream_.arrival().earliest))
    startOverflow(bytes);
  if (!isRequestOpen_) postServeNextRequest();
}

// A request that is stored in part counts among those that are not stored.
void HttpFrontend::Connection::startOverflow(std::string_view bytes) {
  std::size_t completeBytes = 0;
  for (const PipelinedInput::Segment& segment : pipelinedInput_.segments())
    completeBytes = overflow_.scanStored(segment.unparsed());
  pipelinedInput_.truncate(completeBytes);
  overflow_.receive(bytes);
}

// Returns the number of bytes parsed: all bytes, or those up to the end of a request.
std::size_t HttpFrontend::Connection::parseInput(std::string_view bytes, const net::Arrival& arrival) {
  if (hasResponded_ && !parser_.hasPartialInput()) startRequestTimer();  // first byte of a further request
  inputArrival_ = arrival;
  parser_.resume();
  isParsing_ = true;
  const bool isValid = parser_.receive(bytes);
  isParsing_ = false;
  if (state_ == State::open && !isValid) reject(parseErrorStatus(parser_.error()), parser_.error());
  if (state_ == State::open && !reserveHeadMemory()) rejectForLackOfMemory();
  return state_ == State::open ? bytes.size() - parser_.unconsumed() : bytes.size();
}

// Heads of the usual size are not counted. @return false if the budget is exhausted
bool HttpFrontend::Connection::reserveHeadMemory() {
  return headBytes_.tryResize(std::max(parser_.headMemory(), kUsualHeadMemory) - kUsualHeadMemory);
}

// Whether input was received after the request that was just parsed or is being answered.
bool HttpFrontend::Connection::hasMoreInput() const {
  const bool isOverflowDue =
      overflow_.dueRejections() > 0 || overflow_.isInsideRequest() || overflow_.hasEnded();
  return !pipelinedInput_.empty() || isOverflowDue || (isParsing_ && parser_.unconsumed() > 0);
}

void HttpFrontend::Connection::postServeNextRequest() {
  if (std::exchange(serveNextPosted_, true)) return;
  owner_.loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    serveNextPosted_ = false;
    serveNextRequest();
  });
}

void HttpFrontend::Connection::serveNextRequest() {
  if (state_ != State::open || isRequestOpen_) return;
  if (stream_.pending() > owner_.options_.maxUnsentBytesBeforeNextRequest) return waitUntilResponsesAreRead();
  int servedRequests = 0;
  while (state_ == State::open && !persistence_.isClosingAnnounced() && !isRequestOpen_ &&
         !pipelinedInput_.empty()) {
    // Input that arrives in between may not be stored, so the rest must begin with a request's first byte.
    if (servedRequests >= kMaxRequestsPerIteration && !parser_.hasPartialInput())
      return postServeNextRequest();
    PipelinedInput::Segment segment = pipelinedInput_.takeFirst();
    const std::size_t size = segment.unparsed().size();
    const std::size_t parsed = parseInput(segment.unparsed(), {segment.arrivedAt, segment.arrivedAt});
    if (state_ != State::open || persistence_.isClosingAnnounced() || parsed == size) continue;
    pipelinedInput_.putBack(std::move(segment), parsed);
    ++servedRequests;
  }
  const bool isBufferServed = state_ == State::open && !isRequestOpen_ && pipelinedInput_.empty();
  if (isBufferServed && overflow_.isActive()) rejectOverflowingRequest();
}

// Rejects the next request that was read but not stored, or waits for the rest of one that was read in part.
void HttpFrontend::Connection::rejectOverflowingRequest() {
  constexpr std::string_view cause = "too many requests were sent ahead";
  if (overflow_.dueRejections() > 0) {
    isOverflowTimed_ = false;
    timer_.stop();
    overflow_.onRejected();
    const bool isLast = overflow_.hasEnded() && overflow_.dueRejections() == 0;
    if (isLast) persistence_.closeAfterCurrentRequest();
    owner_.events_.rejected(503, cause);
    return respond(503, cause, owner_.options_.retryAfter);
  }
  if (overflow_.hasEnded()) return reject(400, "invalid request");
  if (overflow_.isInsideRequest() && !std::exchange(isOverflowTimed_, true)) startRequestTimer();
}

// Delays the next pipelined request until the client has read its responses, because unsent responses would
// accumulate otherwise. Closes the connection if that takes longer than the request timeout.
void HttpFrontend::Connection::waitUntilResponsesAreRead() {
  if (owner_.loop_.now() - lastResponseAt_ > owner_.policy_.options().requestTimeout)
    return close(CloseReason::unreadResponse);
  isOverflowTimed_ = false;
  timer_.start(kUnreadCheckInterval, [this] { serveNextRequest(); });
}

// ---- Requests ----

void HttpFrontend::Connection::onHead(const http1::Head& head) {
  const auto expect = http1::find(head.fields, "expect");
  const bool expectsContinue = expect && *expect == "100-continue";
  head_ = parser_.takeHead();
  if (expectsContinue) responses_.sendContinue();
}

// Bodies being received count against the same budget as those of open requests.
void HttpFrontend::Connection::onBody(std::string_view bytes) {
  if (state_ != State::open) return;
  if (!body_.append(bytes)) rejectForLackOfMemory();
}

void HttpFrontend::Connection::rejectForLackOfMemory() {
  responses_.send({.status = 503,
                   .text = "too much is open here",
                   .retryAfter = owner_.options_.retryAfter,
                   .keepAlive = false});
  lingeringClose(Inbound::read, CloseReason::bodyBudgetFull);
}

void HttpFrontend::Connection::onEnd() {
  parser_.stop();
  if (state_ != State::open) return;
  timer_.stop();
  if (!head_.keepAlive) persistence_.closeAfterCurrentRequest();
  std::string body = body_.take();
  if (head_.method == "GET" && head_.target == "/-/ready") {
    const bool isReady = owner_.events_.ready();
    return respond(isReady ? 200 : 503, isReady ? "ready" : "not ready", 0);
  }
  // Do not start a request whose client closed the connection right after sending it.
  if (stream_.peerGone()) return close(CloseReason::clientClosed);
  dispatch(std::move(body));
}

// Decodes the received request and passes it to the router, or responds with an error.
void HttpFrontend::Connection::dispatch(std::string body) {
  const http1::Head head = std::exchange(head_, {});
  auto decoded = decodeRequest(head, std::move(body), owner_.deployment_);
  if (!decoded) return reject(decoded.error().status, decoded.error().text);
  routing::Request& request = decoded.value();
  if (owner_.openTraceIds_.contains(request.traceId))
    return reject(409, "X-Trace-Id: is that of an open request");
  // The process may exit before it could respond.
  if (owner_.rejectsRequests_) return respond(503, "the router is going down", owner_.options_.retryAfter);
  // The client's deadline runs from the arrival of the request's last byte, including the time that it waited
  // to be accepted, to be read and for an earlier request.
  request.remaining -= owner_.loop_.now() - requestArrivedAt();
  openRequest(std::move(request));
}

// When the last byte of the request being parsed arrived. If input follows it, that may have been any time
// within the arrival of the input.
Micros HttpFrontend::Connection::requestArrivedAt() const {
  return parser_.unconsumed() > 0 ? inputArrival_.earliest : inputArrival_.latest;
}

void HttpFrontend::Connection::openRequest(routing::Request request) {
  traceId_ = request.traceId;
  owner_.openTraceIds_.insert(traceId_);
  openRequestBytes_.add(request.body->size() + request.fields.size() + request.target.size());
  isRequestOpen_ = true;
  const RequestId id = owner_.router_.accept(std::move(request), *this);
  if (isRequestOpen_) requestId_ = id;
}

void HttpFrontend::Connection::closeRequest() {
  isRequestOpen_ = isEnginePaused_ = false;
  unreadAlarm_.stop();
  requestId_.reset();
  owner_.openTraceIds_.erase(traceId_);
  openRequestBytes_.release();
}

void HttpFrontend::Connection::cancelRequest() {
  const auto id = requestId_;
  closeRequest();
  if (id) owner_.router_.cancel(*id);
}

void HttpFrontend::Connection::startRequestTimer() {
  timeoutRechecked_ = false;
  timer_.start(owner_.policy_.options().requestTimeout, [this] { onRequestTimeout(); });
}

void HttpFrontend::Connection::onRequestTimeout() {
  if (!stream_.quiet() && !std::exchange(timeoutRechecked_, true))
    return timer_.start(kTimeoutRecheckDelay, [this] { onRequestTimeout(); });
  ++owner_.counters_.timedOut;
  if (!parser_.hasPartialInput() && !overflow_.isInsideRequest())
    return lingeringClose(Inbound::leaveUnread, CloseReason::requestTimeout);
  reject(408, "the request did not come whole in time");
}

// ---- Responses ----

void HttpFrontend::Connection::onTokens(const routing::Tokens& tokens) {
  if (responses_.isStreaming()) {
    responses_.sendEvents(tokens.text);
  } else {
    const bool isLast = persistence_.announceClose(hasMoreInput());
    responses_.startStream(tokens.text, !isLast);
  }
  if (stream_.pending() > owner_.options_.maxUnreadResponseBytes) closeUnlessClientReads();
  pauseEngineAtLimit();
}

// Clients that read slowly share a limit of memory. Beyond it their engines have to wait for them.
void HttpFrontend::Connection::pauseEngineAtLimit() {
  unsentBytes_.resize(stream_.pending());
  const bool isSlow = stream_.pending() > kMinUnsentBytesToPause;
  if (!isSlow || isEnginePaused_ || !requestId_ || !owner_.unsentBudget_.isExceeded()) return;
  isEnginePaused_ = true;
  unreadAlarm_.start(owner_.options_.unreadTimeout, [this] { onUnreadTimeout(); });
  owner_.router_.pauseResponse(*requestId_, true);
}

void HttpFrontend::Connection::onDrained() {
  unsentBytes_.release();
  if (isEnginePaused_) resumeEngine();
}

void HttpFrontend::Connection::resumeEngine() {
  isEnginePaused_ = false;
  unreadAlarm_.stop();
  if (requestId_) owner_.router_.pauseResponse(*requestId_, false);
}

void HttpFrontend::Connection::onUnreadTimeout() {
  if (stream_.pending() >= unsentBytes_.size()) return close(CloseReason::unreadResponse);
  unsentBytes_.resize(stream_.pending());
  if (!owner_.unsentBudget_.isExceeded()) return resumeEngine();
  unreadAlarm_.start(owner_.options_.unreadTimeout, [this] { onUnreadTimeout(); });
}

// Called from within the router, so the connection is closed in the next event loop iteration.
void HttpFrontend::Connection::closeUnlessClientReads() {
  owner_.loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || stream_.pending() <= owner_.options_.maxUnreadResponseBytes) return;
    close(CloseReason::unreadResponse);
  });
}

void HttpFrontend::Connection::onCompletion(const routing::Completion& completion) {
  using routing::Disposition;
  using routing::FailureReason;
  closeRequest();
  if (completion.disposition == Disposition::completed) {
    if (!responses_.isStreaming()) return respond(502, "an answer without events", 0);
    responses_.finishStream();
    return onResponseComplete();
  }
  // The client detects the incomplete stream by the missing last chunk.
  if (responses_.isStreaming()) return lingeringClose(Inbound::read, CloseReason::streamFailed);
  const bool isOutOfTime = completion.failureReason == FailureReason::deadline;
  if (completion.disposition == Disposition::rejected) {
    const bool isOverloaded = isOutOfTime || completion.failureReason == FailureReason::overloaded;
    return respond(isOverloaded ? 429 : 503, completion.text, completion.retryAfter);
  }
  respond(isOutOfTime ? 504 : 502, completion.text, 0);
}

void HttpFrontend::Connection::respond(int status, std::string_view text, Micros retryAfter) {
  const bool isLast = persistence_.announceClose(hasMoreInput());
  responses_.send({.status = status, .text = text, .retryAfter = retryAfter, .keepAlive = !isLast});
  onResponseComplete();
}

// Sends an error response to an invalid request. Input after it cannot be parsed reliably, so the connection
// is closed.
void HttpFrontend::Connection::reject(int status, std::string_view text) {
  ++owner_.counters_.rejected;
  owner_.events_.rejected(status, text);
  responses_.send({.status = status, .text = text, .keepAlive = false});
  lingeringClose(Inbound::read, CloseReason::badRequest);
}

void HttpFrontend::Connection::onResponseComplete() {
  hasResponded_ = true;
  lastResponseAt_ = owner_.loop_.now();
  if (persistence_.isClosingAnnounced()) return lingeringClose(Inbound::read, CloseReason::finalResponse);
  if (hasMoreInput()) return postServeNextRequest();
  overflow_.endIfAnswered();
  // The response head did not announce the close, because the response had started before the close was
  // decided. Requests that the client has sent since are still served.
  if (persistence_.isClosing() && stream_.quiet())
    return lingeringClose(Inbound::leaveUnread, CloseReason::draining);
  const std::size_t openConnections = owner_.connections_.size() - owner_.lingering_.size();
  timer_.start(owner_.policy_.idleTimeout(openConnections), [this] { onIdleTimeout(); });
}

void HttpFrontend::Connection::onIdleTimeout() {
  if (!stream_.quiet()) return startRequestTimer();  // a request has arrived but is still unread
  ++owner_.counters_.closedIdle;
  lingeringClose(Inbound::leaveUnread, CloseReason::idleTimeout);
}

// ---- Close ----

void HttpFrontend::Connection::drain(bool includeUnused) {
  persistence_.closeAfterBufferedInput();
  const bool isInactive = activity() == Activity::idle || (includeUnused && activity() == Activity::unused);
  if (isInactive && stream_.quiet()) lingeringClose(Inbound::leaveUnread, CloseReason::draining);
}

void HttpFrontend::Connection::lingeringClose(Inbound inbound, CloseReason reason) {
  if (state_ != State::open) return;
  state_ = State::lingering;
  reportClose(reason);
  if (isRequestOpen_) cancelRequest();
  headBytes_.release();
  body_.clear();
  head_ = {};
  pipelinedInput_.clear();
  parser_.abandon();
  stream_.finishSending(inbound);
  owner_.onLingeringStarted(*this);
  if (state_ == State::lingering) startLingerTimer();
}

void HttpFrontend::Connection::close(CloseReason reason) {
  const State previousState = std::exchange(state_, State::closed);
  if (previousState == State::closed) return;
  if (previousState == State::open) reportClose(reason);
  timer_.stop();
  if (isRequestOpen_) cancelRequest();
  headBytes_.release();
  body_.clear();
  pipelinedInput_.clear();
  unsentBytes_.release();
  stream_.close();
  owner_.onClosed(*this);
}

void HttpFrontend::Connection::reportClose(CloseReason reason) {
  const bool isResponseDue = isRequestOpen_ && !responses_.isStreaming() && !mayCloseWithoutResponse(reason);
  owner_.reportClose(reason, isRequestOpen_ ? std::string_view(traceId_) : std::string_view(), isResponseDue);
}

// Waits for the client to close; extends the wait while the client is reading the remaining response bytes.
void HttpFrontend::Connection::startLingerTimer() {
  lingeringClose_.startInterval(stream_.pending());
  timer_.start(owner_.options_.lingerTimeout, [this] {
    if (!lingeringClose_.shouldWaitAgain(stream_.pending())) return close(CloseReason::unreadResponse);
    startLingerTimer();
  });
}

}  // namespace garnethook::platform
