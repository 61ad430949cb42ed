// A KV state outlives its request. Staging saw states that were neither fetched nor released in time after
// prefills and decodes that the router had given up, while its own counters said that all was released. The
// engines play what the network and a busy engine do: work that goes on when its connection is closed, closes
// that come late, connections that fall silent. A state counts as released by the first release that arrives
// when the state exists and nothing waits for it.
#include <algorithm>
#include <iostream>
#include <set>
#include <utility>

#include "process_world.h"

namespace garnethook::test {
namespace {

using Request = ScriptedEngine::Request;

constexpr net::Micros kReleaseTimeout = 500 * kMillisecond;
constexpr net::Micros kReleaseSlack = 350 * kMillisecond;  // what operators allow on sockets

struct KvReleaseTest : testing::Test {
  KvReleaseTest() {
    for (ScriptedEngine* engine : {&world.reader, &world.writer, &world.otherWriter})
      engine->script = [this, engine](Request& request) { serve(*engine, request); };
    world.level = "debug";
  }
  // Notes a release; what is work goes to the test's own script.
  void serve(ScriptedEngine& engine, Request& request) {
    if (isSilent && isSilent(engine, request)) return;
    if (request.head.method == "DELETE") releases.push_back({request.head.target, world.loop.now()});
    if (answerControlRequest(request)) return;
    if (&engine == &world.reader)
      prefill(request);
    else
      decode(request);
  }
  // Starts the program; a client asks and leaves while the prefill is at work, which goes on and answers
  // nobody.
  void leaveDuringPrefill(const std::string& id) {
    prefill = [](Request&) {};
    ASSERT_NO_FATAL_FAILURE(world.start());
    const auto leaving = world.client();
    leaving->ask(id);
    ASSERT_TRUE(world.until([&] { return world.reader.count("POST") == 1; }, 2 * kSecond));
    world.pass(100 * kMillisecond);
    leaving->stream.close();
  }
  // Whether a release of the request has arrived at any engine within these times.
  bool isReleased(const std::string& id, net::Micros from, net::Micros until) const {
    return std::any_of(releases.begin(), releases.end(), [&](const ReceivedRelease& release) {
      return release.target.ends_with("/" + id) && release.at >= from && release.at <= until;
    });
  }
  // The state of `id` exists and nothing waits for it from now on: a release has to arrive in time.
  void expectReleaseFromNow(const std::string& id) {
    const net::Micros from = world.loop.now();
    EXPECT_TRUE(world.until([&] { return isReleased(id, from, from + kReleaseTimeout + kReleaseSlack); },
                            kReleaseTimeout + kReleaseSlack))
        << id;
  }

  // Has several idle connections of every engine.
  void keepConnections() {
    const auto later = [this](std::string_view answer) {
      return [this, answer](Request& request) {
        world.loop.after(50 * kMillisecond, [stream = request.stream, answer] { stream->send(answer); });
      };
    };
    const auto usualPrefill = std::exchange(prefill, later(kPrefillResponse));
    const auto usualDecode = std::exchange(decode, later(kCompleteStream));
    for (int round = 0; round < 3; ++round) {
      std::vector<std::unique_ptr<RawClient>> clients;
      for (int i = 0; i < 6; ++i) {
        clients.push_back(world.client());
        clients.back()->ask("warm" + std::to_string(round * 6 + i));
      }
      ASSERT_TRUE(world.until(
          [&] {
            return std::all_of(clients.begin(), clients.end(),
                               [](const auto& client) { return client->has("HTTP/1.1 "); });
          },
          3 * kSecond));
    }
    world.pass(50 * kMillisecond);
    prefill = usualPrefill;
    decode = usualDecode;
  }

  struct ReceivedRelease {
    std::string target;
    net::Micros at = 0;
  };
  std::vector<ReceivedRelease> releases;
  std::function<void(Request&)> prefill = [](Request& request) { request.stream->send(kPrefillResponse); };
  std::function<void(Request&)> decode = [](Request& request) { request.stream->send(kCompleteStream); };
  std::function<bool(ScriptedEngine&, Request&)> isSilent;
  ProcessWorld world;
};

// The client leaves 0.1 s into a prefill that takes 0.9 s. The release was answered at once, when there was
// no state yet; the engine went on, as engines do, and kept the state that nobody wanted.
TEST_F(KvReleaseTest, ReleasesAStateThatAppearsAfterItsPrefillWasGivenUp) {
  ASSERT_NO_FATAL_FAILURE(leaveDuringPrefill("late-state"));
  world.pass(800 * kMillisecond);
  expectReleaseFromNow("late-state");
}

// A decode is given up at its deadline; its connection's close comes to the engine 0.4 s late, and until then
// every release spares the state that it waits for.
TEST_F(KvReleaseTest, ReleasesAStateThatWasSparedForADecodeThatWasGivenUp) {
  decode = [](Request&) {};
  ASSERT_NO_FATAL_FAILURE(world.start());
  auto client = world.client();
  client->expiresInMs = 900;
  client->ask("spared");
  ASSERT_TRUE(world.until([&] { return client->has("HTTP/1.1 "); }, 2 * kSecond));
  world.pass(400 * kMillisecond);
  expectReleaseFromNow("spared");
}

// All connections to engines fall silent in the instant in which a prefill has ended, as after a failover on
// the way; new ones are answered. Releases went out on the kept ones, engine after engine.
TEST_F(KvReleaseTest, ReleasesAStateThoughAllKeptConnectionsFallSilent) {
  bool isFailedOver = false;
  std::set<net::Stream*> known;
  isSilent = [&](ScriptedEngine&, Request& request) {
    if (!isFailedOver) known.insert(request.stream);
    return isFailedOver && known.contains(request.stream);
  };
  world.members += "," + memberText("w2", world.otherWriter, "m2");
  world.discovery.list = listText(1, true, world.members);
  net::Micros endedAt = 0;
  prefill = [&](Request& request) {
    request.stream->send(kPrefillResponse);
    if (isFailedOver || http1::find(request.head.fields, "x-trace-id") != "failover") return;
    isFailedOver = true;
    endedAt = world.loop.now();
  };
  ASSERT_NO_FATAL_FAILURE(world.start());
  keepConnections();
  auto client = world.client();
  client->ask("failover");
  ASSERT_TRUE(world.until([&] { return endedAt != 0; }, 2 * kSecond));
  world.until([&] { return isReleased("failover", endedAt, world.loop.now()); }, 2 * kSecond);
  EXPECT_TRUE(isReleased("failover", endedAt, endedAt + kReleaseTimeout + kReleaseSlack))
      << (releases.empty() ? 0 : releases.back().at - endedAt);
}

// One engine takes releases and answers none. Few connections are for releases: thirty clients that leave at
// once must not wait for that engine one after another.
TEST_F(KvReleaseTest, ReleasesManyStatesThoughOneEngineAnswersNoRelease) {
  constexpr int kRequests = 30;
  isSilent = [&](ScriptedEngine& engine, Request& request) {
    return &engine == &world.reader && request.head.method != "POST";
  };
  decode = [](Request&) {};
  world.writeConfig(platformConfigText(world.discovery.address(), 110));
  ASSERT_NO_FATAL_FAILURE(world.start());
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.push_back(world.client());
    clients.back()->ask("many" + std::to_string(i));
  }
  ASSERT_TRUE(world.until([&] { return world.writer.count("POST") >= kRequests / 2; }, 3 * kSecond));
  world.pass(200 * kMillisecond);
  std::vector<std::string> held;
  for (const Request& request : world.writer.seen)
    if (request.head.method == "POST") held.emplace_back(*http1::find(request.head.fields, "x-trace-id"));
  for (auto& client : clients) client->stream.close();
  const net::Micros leftAt = world.loop.now();
  const auto allReleased = [&] {
    return std::all_of(held.begin(), held.end(), [&](const std::string& id) {
      return isReleased(id, leftAt, leftAt + kReleaseTimeout + kReleaseSlack);
    });
  };
  EXPECT_TRUE(world.until(allReleased, kReleaseTimeout + kReleaseSlack));
  std::cout << held.size() << " states, the last release after " << (releases.back().at - leftAt) / 1000
            << " ms\n";
}

// The router is told to end while a prefill that was given up goes on. Nobody would release its state after
// the process has ended; the platform kills it 3.7 s after the signal.
TEST_F(KvReleaseTest, WaitsForLateStatesBeforeItExits) {
  ASSERT_NO_FATAL_FAILURE(leaveDuringPrefill("late-at-end"));
  world.program->signal(SIGTERM);
  const net::Micros toldAt = world.loop.now();
  world.pass(1200 * kMillisecond);
  expectReleaseFromNow("late-at-end");
  world.expectGracefulExit();
  EXPECT_LT(world.loop.now() - toldAt, 3700 * kMillisecond);
}

// The endpoint leaves the list while it goes on with a prefill that was given up: its state is released by
// way of the other engines, and the process that ran it still hears of it.
TEST_F(KvReleaseTest, ReleasesALateStateOfAnEndpointThatHasLeftTheList) {
  ASSERT_NO_FATAL_FAILURE(leaveDuringPrefill("late-and-gone"));
  world.discovery.publish(listText(2, false, memberText("r", world.reader, "m1", "gone")));
  world.pass(800 * kMillisecond);
  expectReleaseFromNow("late-and-gone");
  EXPECT_GT(world.writer.count("DELETE"), 0u);
}

}  // namespace
}  // namespace garnethook::test
