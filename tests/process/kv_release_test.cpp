// Tests the release of KV states, which outlive their requests. In staging, states were neither fetched nor
// released in time after the router had abandoned prefills and decodes, while its own counters reported all
// of them released. The scripted engines reproduce the causes: work that continues after its connection is
// closed, closes that arrive late, and connections that become unresponsive. A state counts as released by
// the first release that arrives while the state exists and nothing waits for it.
#include <algorithm>
#include <iostream>
#include <set>
#include <utility>

#include "process_harness.h"
#include "timing/wall_clock.h"

namespace garnethook::test {
namespace {

using Request = ScriptedEngine::Request;

constexpr net::Micros kReleaseTimeout = 500 * kMillisecond;
constexpr net::Micros kReleaseSlack = 350 * kMillisecond;  // tolerance that operators allow for socket delays

struct KvReleaseTest : testing::Test {
  KvReleaseTest() {
    for (ScriptedEngine* engine : {&harness.prefillEngine, &harness.decodeEngine, &harness.otherDecodeEngine})
      engine->script = [this, engine](Request& request) { serve(*engine, request); };
    harness.logLevel = "debug";
  }
  // Records releases, and passes prefill and decode requests to the test's handlers.
  void serve(ScriptedEngine& engine, Request& request) {
    if (ignoresRequest && ignoresRequest(engine, request)) return;
    if (request.head.method == "DELETE") releases.push_back({request.head.target, harness.loop.now()});
    if (answerControlRequest(request)) return;
    if (&engine == &harness.prefillEngine)
      prefill(request);
    else
      decode(request);
  }
  // Starts the program and closes a client's connection during its prefill. The engine continues the prefill
  // and never responds.
  void disconnectDuringPrefill(const std::string& id) {
    prefill = [](Request&) {};
    ASSERT_NO_FATAL_FAILURE(harness.start());
    const auto disconnecting = harness.client();
    disconnecting->ask(id);
    ASSERT_TRUE(harness.until([&] { return harness.prefillEngine.count("POST") == 1; }, 2 * kSecond));
    harness.pass(100 * kMillisecond);
    disconnecting->stream.close();
  }
  // Returns whether any engine received a release of the request between `from` and `until`.
  bool isReleased(const std::string& id, net::Micros from, net::Micros until) const {
    return std::any_of(releases.begin(), releases.end(), [&](const ReceivedRelease& release) {
      return release.target.ends_with("/" + id) && release.at >= from && release.at <= until;
    });
  }
  // Expects a release of `id` within the timeout; its state exists and nothing waits for it from now on.
  void expectReleaseFromNow(const std::string& id) {
    const net::Micros from = harness.loop.now();
    EXPECT_TRUE(harness.until([&] { return isReleased(id, from, from + kReleaseTimeout + kReleaseSlack); },
                              kReleaseTimeout + kReleaseSlack))
        << id;
  }

  // Leaves several idle connections to every engine in the router's pool.
  void fillConnectionPool() {
    const auto respondLater = [this](std::string_view response) {
      return [this, response](Request& request) {
        harness.loop.after(50 * kMillisecond,
                           [stream = request.stream, response] { stream->send(response); });
      };
    };
    const auto savedPrefill = std::exchange(prefill, respondLater(kPrefillResponse));
    const auto savedDecode = std::exchange(decode, respondLater(kCompleteStream));
    for (int round = 0; round < 3; ++round) {
      std::vector<std::unique_ptr<RawClient>> clients;
      for (int i = 0; i < 6; ++i) {
        clients.push_back(harness.client());
        clients.back()->ask("warm" + std::to_string(round * 6 + i));
      }
      ASSERT_TRUE(harness.until(
          [&] {
            return std::all_of(clients.begin(), clients.end(),
                               [](const auto& client) { return client->has("HTTP/1.1 "); });
          },
          3 * kSecond));
    }
    harness.pass(50 * kMillisecond);
    prefill = savedPrefill;
    decode = savedDecode;
  }

  struct ReceivedRelease {
    std::string target;
    net::Micros at = 0;
  };
  std::vector<ReceivedRelease> releases;
  std::function<void(Request&)> prefill = [](Request& request) { request.stream->send(kPrefillResponse); };
  std::function<void(Request&)> decode = [](Request& request) { request.stream->send(kCompleteStream); };
  std::function<bool(ScriptedEngine&, Request&)> ignoresRequest;
  ProcessHarness harness;
};

// The client disconnects 0.1 s into a prefill that takes 0.9 s. Prevents a leak where the release is answered
// at once, before the state exists, and the engine completes the prefill and keeps the unused state.
TEST_F(KvReleaseTest, ReleasesAStateCreatedAfterItsPrefillWasAbandoned) {
  ASSERT_NO_FATAL_FAILURE(disconnectDuringPrefill("late-state"));
  harness.pass(800 * kMillisecond);
  expectReleaseFromNow("late-state");
}

// A decode is abandoned at its deadline, and the engine sees the close of its connection 0.4 s late. Until
// then a release does not free the state, because the decode still waits for it.
TEST_F(KvReleaseTest, ReleasesAStateThatAnAbandonedDecodeStillWaitedFor) {
  decode = [](Request&) {};
  ASSERT_NO_FATAL_FAILURE(harness.start());
  auto client = harness.client();
  client->expiresInMs = 900;
  client->ask("spared");
  ASSERT_TRUE(harness.until([&] { return client->has("HTTP/1.1 "); }, 2 * kSecond));
  harness.pass(400 * kMillisecond);
  expectReleaseFromNow("spared");
}

// All connections to engines become unresponsive at the moment a prefill ends, as after a network failover;
// new connections work. Prevents releases from being sent only on idle pooled connections, one engine after
// another.
TEST_F(KvReleaseTest, ReleasesAStateWhenAllPooledConnectionsAreUnresponsive) {
  bool isFailedOver = false;
  std::set<net::Stream*> oldConnections;
  ignoresRequest = [&](ScriptedEngine&, Request& request) {
    if (!isFailedOver) oldConnections.insert(request.stream);
    return isFailedOver && oldConnections.contains(request.stream);
  };
  harness.endpointEntries += "," + memberText("w2", harness.otherDecodeEngine, "m2");
  harness.discovery.list = listText(1, true, harness.endpointEntries);
  net::Micros endedAt = 0;
  prefill = [&](Request& request) {
    request.stream->send(kPrefillResponse);
    if (isFailedOver || http1::find(request.head.fields, "x-trace-id") != "failover") return;
    isFailedOver = true;
    endedAt = harness.loop.now();
  };
  ASSERT_NO_FATAL_FAILURE(harness.start());
  fillConnectionPool();
  auto client = harness.client();
  client->ask("failover");
  ASSERT_TRUE(harness.until([&] { return endedAt != 0; }, 2 * kSecond));
  harness.until([&] { return isReleased("failover", endedAt, harness.loop.now()); }, 2 * kSecond);
  EXPECT_TRUE(isReleased("failover", endedAt, endedAt + kReleaseTimeout + kReleaseSlack))
      << (releases.empty() ? 0 : releases.back().at - endedAt);
}

// The connection to the decode engine is new and falls silent as it comes up, so that the decode never
// reaches its engine. `true`: the settings allow probes, which the engine answers on other connections.
struct SilentNewConnectionTest : KvReleaseTest, testing::WithParamInterface<bool> {
  SilentNewConnectionTest() {
    constexpr std::string_view probesAllowed = R"("probes":true)";
    std::string text = platformConfigText(harness.discovery.address());
    text.replace(text.find(probesAllowed), probesAllowed.size(),
                 GetParam() ? R"("probes":true)" : R"("probes":false)");
    harness.writeConfig(text);
    ignoresRequest = [this](ScriptedEngine& engine, Request& request) {
      return &engine == &harness.decodeEngine && request.head.method == "POST";
    };
    prefill = [this](Request& request) {
      request.stream->send(kPrefillResponse);
      prefilledAt = harness.loop.now();
    };
  }
  // Sends a request (of class order, a decode attempt has no timeout), and waits until that attempt is
  // written.
  void startSilentDecode(const std::string& id, const std::string& className = "order") {
    ASSERT_NO_FATAL_FAILURE(harness.start());
    client = harness.client();
    client->expiresInMs = 6000;
    client->ask(id, className);
    ASSERT_TRUE(harness.until([&] { return harness.decodeEngine.count("POST") == 1; }, 2 * kSecond));
  }
  void expectReleaseAfterPrefill(const std::string& id) {
    const auto isReleasedNow = [&] { return isReleased(id, prefilledAt, harness.loop.now()); };
    EXPECT_TRUE(harness.until(isReleasedNow, 3 * kSecond));
    EXPECT_TRUE(isReleased(id, prefilledAt, prefilledAt + kReleaseTimeout + kReleaseSlack))
        << "released " << (harness.loop.now() - prefilledAt) / kMillisecond << " ms after the prefill";
  }
  net::Micros prefilledAt = 0;
  std::unique_ptr<RawClient> client;
};

// Guards against a state that is held until the deadline, because a decode written on a new connection
// counted as arrived: without probes at once, with probes if its engine responded on another connection.
TEST_P(SilentNewConnectionTest, AStateIsReleasedWhileItsDecodeIsOnASilentNewConnection) {
  ASSERT_NO_FATAL_FAILURE(startSilentDecode("silent"));
  expectReleaseAfterPrefill("silent");
  EXPECT_EQ(harness.linesWith(R"("event":"kv-release-due")"), 1u);
}

// Guards against a release time that starts anew with each silent connection: the first one is reset before
// the release is due, and the second one stays silent.
TEST_P(SilentNewConnectionTest, AResetOfASilentNewConnectionDoesNotRestartTheReleaseTimeout) {
  ASSERT_NO_FATAL_FAILURE(startSilentDecode("reset", "chat"));
  harness.loop.after(prefilledAt + 430 * kMillisecond - harness.loop.now(),
                     [this] { harness.decodeEngine.seen.back().stream->close(true); });
  expectReleaseAfterPrefill("reset");
  EXPECT_EQ(harness.decodeEngine.count("POST"), 2u);
}

// Guards against a shutdown that waits for a silent decode without releasing its state.
TEST_P(SilentNewConnectionTest, AStateIsReleasedInTimeAfterASignalToStop) {
  ASSERT_NO_FATAL_FAILURE(startSilentDecode("stopping"));
  harness.program->signal(SIGTERM);
  expectReleaseAfterPrefill("stopping");
}

TEST_P(SilentNewConnectionTest, AStateIsReleasedInTimeWhenTheClientLeaves) {
  ASSERT_NO_FATAL_FAILURE(startSilentDecode("leaving"));
  client->stream.close();
  expectReleaseAfterPrefill("leaving");
}

// Guards against a release that costs a decode which did arrive: it waits at its engine, which spares the
// state, so it is served and the prompt is not prefilled again.
TEST_P(SilentNewConnectionTest, ADecodeThatArrivedAndWaitsIsServedAfterTheRelease) {
  ignoresRequest = nullptr;
  decode = [this](Request& request) {
    harness.loop.after(900 * kMillisecond, [stream = request.stream] { stream->send(kCompleteStream); });
  };
  ASSERT_NO_FATAL_FAILURE(startSilentDecode("waiting"));
  EXPECT_TRUE(harness.until([&] { return client->has(kFinalChunk); }, 3 * kSecond)) << client->got;
  EXPECT_TRUE(isReleased("waiting", prefilledAt, harness.loop.now()));
  EXPECT_EQ(harness.prefillEngine.count("POST"), 1u);
  EXPECT_EQ(harness.decodeEngine.count("POST"), 1u);
}

// A decode that the network delivers after the release finds no state: the prompt is prefilled again, also
// where the request may not run twice, since it never ran.
TEST_P(SilentNewConnectionTest, ADecodeThatArrivesAfterTheReleaseIsPrefilledAgain) {
  ignoresRequest = nullptr;
  decode = [this](Request& request) {
    if (harness.decodeEngine.count("POST") > 1) return request.stream->send(kCompleteStream);
    harness.loop.after(900 * kMillisecond, [stream = request.stream] {
      stream->send("HTTP/1.1 410 Gone\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
    });
  };
  ASSERT_NO_FATAL_FAILURE(startSilentDecode("late"));
  EXPECT_TRUE(harness.until([&] { return client->has(kFinalChunk); }, 3 * kSecond)) << client->got;
  EXPECT_EQ(harness.prefillEngine.count("POST"), 2u);
}

INSTANTIATE_TEST_SUITE_P(Probes, SilentNewConnectionTest, testing::Bool());

// One engine accepts releases and answers none. Few connections are available for releases, so the releases
// of thirty clients that disconnect together must not wait for that engine one after another.
TEST_F(KvReleaseTest, ReleasesManyStatesWhenOneEngineAnswersNoRelease) {
  constexpr int kRequests = 30;
  ignoresRequest = [&](ScriptedEngine& engine, Request& request) {
    return &engine == &harness.prefillEngine && request.head.method != "POST";
  };
  decode = [](Request&) {};
  harness.writeConfig(platformConfigText(harness.discovery.address(), 110));
  ASSERT_NO_FATAL_FAILURE(harness.start());
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.push_back(harness.client());
    clients.back()->ask("many" + std::to_string(i));
  }
  ASSERT_TRUE(
      harness.until([&] { return harness.decodeEngine.count("POST") >= kRequests / 2; }, 3 * kSecond));
  harness.pass(200 * kMillisecond);
  std::vector<std::string> reservedIds;
  for (const Request& request : harness.decodeEngine.seen)
    if (request.head.method == "POST")
      reservedIds.emplace_back(*http1::find(request.head.fields, "x-trace-id"));
  for (auto& client : clients) client->stream.close();
  const net::Micros disconnectedAt = harness.loop.now();
  const auto allReleased = [&] {
    return std::all_of(reservedIds.begin(), reservedIds.end(), [&](const std::string& id) {
      return isReleased(id, disconnectedAt, disconnectedAt + kReleaseTimeout + kReleaseSlack);
    });
  };
  EXPECT_TRUE(harness.until(allReleased, kReleaseTimeout + kReleaseSlack));
  std::cout << reservedIds.size() << " states, the last release after "
            << (releases.back().at - disconnectedAt) / 1000 << " ms\n";
}

// The router receives SIGTERM while an abandoned prefill continues. Nothing releases the state after the
// process has exited, and the platform kills the process 3.7 s after the signal.
TEST_F(KvReleaseTest, WaitsForLateStatesBeforeItExits) {
  ASSERT_NO_FATAL_FAILURE(disconnectDuringPrefill("late-at-end"));
  harness.program->signal(SIGTERM);
  const net::Micros signalledAt = harness.loop.now();
  harness.pass(1200 * kMillisecond);
  expectReleaseFromNow("late-at-end");
  harness.expectGracefulExit();
  EXPECT_LT(harness.loop.now() - signalledAt, 3700 * kMillisecond);
}

// The endpoint leaves the list while it continues an abandoned prefill: its state is released through the
// other engines, and the engine that ran the prefill still receives the release.
TEST_F(KvReleaseTest, ReleasesALateStateOfAnEndpointThatHasLeftTheList) {
  ASSERT_NO_FATAL_FAILURE(disconnectDuringPrefill("late-and-gone"));
  harness.discovery.publish(listText(2, false, memberText("r", harness.prefillEngine, "m1", "gone")));
  harness.pass(800 * kMillisecond);
  expectReleaseFromNow("late-and-gone");
  EXPECT_GT(harness.decodeEngine.count("DELETE"), 0u);
}

// Clients whose requests wait at a decode engine disconnect after the endpoint list has reported a start of
// the prefill engine, or has lacked the engine once.
struct KvReleaseAfterListChangeTest : KvReleaseTest {
  KvReleaseAfterListChangeTest() {
    decode = [](Request&) {};
    harness.discovery.list = fullList(1, minutesAgo);
    useShortWarmUp();
  }
  // The router takes the latest start in its first list for a recent one, and such an engine gets few
  // requests until it is warm.
  void useShortWarmUp() {
    constexpr std::string_view defaultWarmUp = R"("warmWithinMs":9000.0)";
    std::string text = platformConfigText(harness.discovery.address());
    text.replace(text.find(defaultWarmUp), defaultWarmUp.size(),
                 R"("warmWithinMs":)" + std::to_string(kWarmUp / kMillisecond));
    harness.writeConfig(text);
  }
  static std::int64_t unixMilliseconds() { return timing::unixNow().sinceEpoch / kMillisecond; }
  std::string prefillEntry(std::int64_t startedAt) const {
    std::string entry = memberText("r", harness.prefillEngine, "m1");
    const std::string unknownStart = R"("up_since_ms":0)";
    return entry.replace(entry.find(unknownStart), unknownStart.size(),
                         R"("up_since_ms":)" + std::to_string(startedAt));
  }
  std::string decodeEntry() const { return memberText("w", harness.decodeEngine, "m2"); }
  std::string fullList(int revision, std::int64_t startedAt) const {
    return listText(revision, true, prefillEntry(startedAt) + "," + decodeEntry());
  }
  // Starts the program and sends a request whose decode attempt gets no response.
  std::unique_ptr<RawClient> startWaitingRequest(const std::string& id) {
    harness.start();
    harness.pass(2 * kWarmUp);
    auto client = harness.client();
    client->expiresInMs = 6000;
    client->ask(id, "order");
    EXPECT_TRUE(harness.until([&] { return harness.decodeEngine.count("POST") == 1; }, 2 * kSecond));
    return client;
  }
  void waitForList(std::size_t count) {
    EXPECT_TRUE(
        harness.until([&] { return harness.linesWith(R"("event":"endpoint-list")") >= count; }, kSecond));
  }

  static constexpr net::Micros kWarmUp = 100 * kMillisecond;
  const std::int64_t minutesAgo = unixMilliseconds() - 120'000;
};

// The engine restarts, prefills and waits; only then does the list report its start. Prevents state that was
// created between a start and its report from staying reserved for good.
TEST_F(KvReleaseAfterListChangeTest, ReleasesAStateCreatedBeforeTheStartOfItsEndpointWasReported) {
  const auto client = startWaitingRequest("told-late");
  harness.discovery.publish(listText(2, false, prefillEntry(unixMilliseconds() - 2000)));
  ASSERT_TRUE(harness.until([&] { return harness.linesWith(R"("engine-restarted")") == 1; }, kSecond));
  client->stream.close();
  expectReleaseFromNow("told-late");
}

// The engine restarts twice, and the list reports the first start after the second one took place. Prevents
// the report of a start that is no longer the latest from dropping the reservations of requests that wait.
TEST_F(KvReleaseAfterListChangeTest, ReleasesAStateWhoseEndpointIsReportedToHaveStartedTwice) {
  const auto client = startWaitingRequest("told-twice");
  const std::size_t lists = harness.linesWith(R"("event":"endpoint-list")");
  harness.discovery.publish(listText(2, false, prefillEntry(unixMilliseconds() - 3000)));
  waitForList(lists + 1);
  harness.discovery.publish(listText(3, false, prefillEntry(unixMilliseconds() - 2000)));
  waitForList(lists + 2);
  client->stream.close();
  expectReleaseFromNow("told-twice");
}

// A list that is older than the start of the engine is followed by the current one again. Prevents the known
// start from counting as a restart that takes place then.
TEST_F(KvReleaseAfterListChangeTest, ReleasesAStateOfAnEndpointWhoseStartAnOlderListTookBack) {
  const std::int64_t latestStart = unixMilliseconds();
  harness.discovery.list = fullList(2, latestStart);
  const auto client = startWaitingRequest("taken-back");
  harness.pass(2500 * kMillisecond);
  const std::size_t lists = harness.linesWith(R"("event":"endpoint-list")");
  harness.discovery.publish(fullList(1, minutesAgo));
  waitForList(lists + 1);
  harness.discovery.publish(fullList(2, latestStart));
  waitForList(lists + 2);
  client->stream.close();
  expectReleaseFromNow("taken-back");
}

// One whole list lacks the engine, the next one has it again with the same start. Prevents an endpoint that
// never restarted from losing the reservations of requests that wait.
TEST_F(KvReleaseAfterListChangeTest, ReleasesAStateOfAnEndpointThatWasMissingFromOneList) {
  const auto client = startWaitingRequest("missing-once");
  harness.pass(2500 * kMillisecond);
  const std::size_t lists = harness.linesWith(R"("event":"endpoint-list")");
  harness.discovery.publish(listText(2, true, decodeEntry()));
  waitForList(lists + 1);
  harness.discovery.publish(fullList(3, minutesAgo));
  waitForList(lists + 2);
  EXPECT_EQ(harness.linesWith(R"("engine-restarted")"), 0u);
  client->stream.close();
  expectReleaseFromNow("missing-once");
}

}  // namespace
}  // namespace garnethook::test
