// Tests the parts of a client connection that need no socket: shared budgets, pipelined input, persistence,
// the limits of a lingering close, and serialized responses.
#include <gtest/gtest.h>

#include "platform/http_frontend/byte_budget.h"
#include "platform/http_frontend/lingering_close.h"
#include "platform/http_frontend/persistence.h"
#include "platform/http_frontend/pipeline_overflow.h"
#include "platform/http_frontend/pipelined_input.h"
#include "platform/http_frontend/response.h"

namespace garnethook::platform {
namespace {

TEST(ByteBudget, ReturnsReservedBytesOnDestruction) {
  ByteBudget budget(10);
  {
    ByteReservation first(budget);
    ByteReservation second(budget);
    EXPECT_TRUE(first.tryAdd(6));
    EXPECT_FALSE(second.tryAdd(5));
    EXPECT_TRUE(second.tryAdd(4));
    EXPECT_EQ(budget.used(), 10u);
    first.subtract(2);
    EXPECT_EQ(first.size(), 4u);
    second.add(5);  // already held, so the limit does not apply
    EXPECT_EQ(budget.used(), 13u);
    second.release();
    EXPECT_EQ(budget.used(), 4u);
  }
  EXPECT_EQ(budget.used(), 0u);
}

TEST(PipelinedInput, PreservesTheOrderAndTheTimeOfArrival) {
  ByteBudget budget(100);
  PipelinedInput input(100, budget);
  EXPECT_TRUE(input.append("ab", 1'000));
  EXPECT_TRUE(input.append("cd", 2'000));  // within the window: same segment
  EXPECT_TRUE(input.append("ef", 1'000 + PipelinedInput::kSegmentWindow));
  EXPECT_EQ(budget.used(), 6u);
  auto segment = input.takeFirst();
  EXPECT_EQ(segment.unparsed(), "abcd");
  EXPECT_EQ(segment.arrivedAt, 1'000);
  EXPECT_EQ(budget.used(), 2u);
  input.putBack(std::move(segment), 3);
  EXPECT_EQ(budget.used(), 3u);
  EXPECT_EQ(input.takeFirst().unparsed(), "d");
  EXPECT_EQ(input.takeFirst().unparsed(), "ef");
  EXPECT_TRUE(input.empty());
}

TEST(PipelinedInput, DiscardsInputBeyondItsOwnLimitOrTheSharedBudget) {
  ByteBudget budget(8);
  PipelinedInput limited(4, budget);
  EXPECT_FALSE(limited.append("12345", 0));
  EXPECT_TRUE(limited.empty());
  PipelinedInput first(8, budget);
  PipelinedInput second(8, budget);
  EXPECT_TRUE(first.append("12345", 0));
  EXPECT_FALSE(second.append("1234", 0));
  first.clear();
  EXPECT_EQ(budget.used(), 0u);
}

TEST(PipelinedInput, TruncatesToTheFirstUnparsedBytes) {
  ByteBudget budget(100);
  PipelinedInput input(100, budget);
  ASSERT_TRUE(input.append("abcd", 0));
  ASSERT_TRUE(input.append("efgh", PipelinedInput::kSegmentWindow));
  ASSERT_TRUE(input.append("ijkl", 2 * PipelinedInput::kSegmentWindow));
  input.putBack(input.takeFirst(), 1);
  input.truncate(5);
  EXPECT_EQ(budget.used(), 5u);
  EXPECT_EQ(input.takeFirst().unparsed(), "bcd");
  EXPECT_EQ(input.takeFirst().unparsed(), "ef");
  EXPECT_TRUE(input.empty());
  EXPECT_EQ(budget.used(), 0u);
}

std::string requestOf(const std::string& body, const std::string& fields = "") {
  return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Guards against requests that are read and never answered: wherever the stored input ends, the complete
// requests in it are kept and all later ones are counted, also the one that is stored in part.
TEST(PipelineOverflow, CountsEachRequestThatIsNotStoredWhole) {
  const std::string request = requestOf("body");
  const std::string input = request + request + request;
  for (std::size_t stored = 0; stored <= input.size(); ++stored) {
    PipelineOverflow overflow({});
    const std::size_t half = stored / 2;
    overflow.scanStored(input.substr(0, half));
    const std::size_t complete = overflow.scanStored(input.substr(half, stored - half));
    EXPECT_EQ(complete, stored / request.size() * request.size());
    for (const char byte : input.substr(stored)) overflow.receive({&byte, 1});
    EXPECT_EQ(overflow.dueRejections(), 3 - stored / request.size());
    EXPECT_FALSE(overflow.isInsideRequest());
    while (overflow.dueRejections() > 0) overflow.onRejected();
    overflow.endIfAnswered();
    EXPECT_FALSE(overflow.isActive());
  }
}

TEST(PipelineOverflow, GoesOnUntilARequestThatWasReadInPartIsComplete) {
  const std::string request = requestOf("body");
  PipelineOverflow overflow({});
  overflow.receive(request.substr(0, 10));
  EXPECT_TRUE(overflow.isInsideRequest());
  overflow.endIfAnswered();
  EXPECT_TRUE(overflow.isActive());
  overflow.receive(request.substr(10));
  EXPECT_EQ(overflow.dueRejections(), 1u);
}

TEST(PipelineOverflow, EndsAfterInvalidInputOrTheLastRequest) {
  PipelineOverflow invalid({});
  invalid.receive(requestOf("body") + "no request\r\n\r\n" + requestOf("body"));
  EXPECT_TRUE(invalid.hasEnded());
  EXPECT_EQ(invalid.dueRejections(), 1u);
  PipelineOverflow last({});
  last.receive(requestOf("body", "Connection: close\r\n") + requestOf("body"));
  EXPECT_TRUE(last.hasEnded());
  EXPECT_EQ(last.dueRejections(), 1u);
  PipelineOverflow storedInvalid({});  // left to the parser of the stored input
  const std::string stored = requestOf("body") + "no request\r\n\r\n";
  EXPECT_EQ(storedInvalid.scanStored(stored), stored.size());
  EXPECT_TRUE(storedInvalid.hasEnded());
  EXPECT_EQ(storedInvalid.dueRejections(), 0u);
}

TEST(Persistence, AnnouncesTheCloseInTheLastResponse) {
  Persistence unchanged;
  EXPECT_FALSE(unchanged.announceClose(false));
  EXPECT_FALSE(unchanged.isClosing());

  Persistence draining;
  draining.closeAfterBufferedInput();
  EXPECT_TRUE(draining.isClosing());
  EXPECT_FALSE(draining.announceClose(true));
  EXPECT_FALSE(draining.isClosingAnnounced());
  EXPECT_TRUE(draining.announceClose(false));
  EXPECT_TRUE(draining.isClosingAnnounced());

  Persistence requested;  // by the client, regardless of further input
  requested.closeAfterCurrentRequest();
  requested.closeAfterBufferedInput();
  EXPECT_TRUE(requested.announceClose(true));
}

TEST(LingeringClose, WaitsOnlyWhileTheClientReadsAndForABoundedTime) {
  LingeringClose idle(100);
  idle.startInterval(0);
  EXPECT_FALSE(idle.shouldWaitAgain(0));
  LingeringClose stalled(100);
  stalled.startInterval(50);
  EXPECT_FALSE(stalled.shouldWaitAgain(50));
  LingeringClose reading(100);
  std::size_t unsent = 1'000;
  int intervals = 0;
  do {
    reading.startInterval(unsent);
    ++intervals;
  } while (reading.shouldWaitAgain(--unsent));
  EXPECT_EQ(intervals, 10);
  EXPECT_TRUE(reading.discard(100));
  EXPECT_FALSE(reading.discard(1));
}

// Clients and proxies parse this output, so it is compared byte by byte.
TEST(Response, IsSerializedByteForByte) {
  EXPECT_EQ(
      serializeResponse({.status = 503, .text = "not ready", .retryAfter = 1'234'001, .keepAlive = false}),
      "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n"
      "Retry-After: 1.235\r\nConnection: close\r\n\r\nnot ready\n");
  EXPECT_EQ(serializeResponse({.text = "ready"}),
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nready\n");
  std::string stream;
  appendStreamHead(stream, true);
  appendChunk(stream, "data: 0123456789\n\n");
  stream += kLastChunk;
  EXPECT_EQ(stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            "12\r\ndata: 0123456789\n\n\r\n0\r\n\r\n");
  std::string last;
  appendStreamHead(last, false);
  EXPECT_EQ(last,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            "Connection: close\r\n\r\n");
  EXPECT_EQ(kContinueResponse, "HTTP/1.1 100 Continue\r\n\r\n");
}

}  // namespace
}  // namespace garnethook::platform
