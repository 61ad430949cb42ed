// A KV state outlives its request. Staging saw states that were neither fetched nor released in time after
// prefills and decodes that the router had given up, while its own counters said that all was released. The
// engines play what the network and a busy engine do: work that goes on when its connection is closed, closes
// that come late, connections that fall silent. A state counts as released by the first release that arrives
// when the state exists and nothing waits for it.
#include <algorithm>
#include <iostream>

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
    if (answerCalls(request)) return;
    if (&engine == &world.reader)
      prefill(request);
    else
      decode(request);
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

  struct ReceivedRelease {
    std::string target;
    net::Micros at = 0;
  };
  std::vector<ReceivedRelease> releases;
  std::function<void(Request&)> prefill = [](Request& request) { request.stream->send(kRead); };
  std::function<void(Request&)> decode = [](Request& request) { request.stream->send(kWhole); };
  std::function<bool(ScriptedEngine&, Request&)> isSilent;
  ProcessWorld world;
};

// The client leaves 0.1 s into a prefill that takes 0.9 s. The release was answered at once, when there was
// no state yet; the engine went on, as engines do, and kept the state that nobody wanted.
TEST_F(KvReleaseTest, ReleasesAStateThatAppearsAfterItsPrefillWasGivenUp) {
  prefill = [](Request&) {};  // it is at work, and answers nobody
  ASSERT_NO_FATAL_FAILURE(world.start());
  auto leaving = world.client();
  leaving->ask("late-state");
  ASSERT_TRUE(world.until([&] { return world.reader.count("POST") == 1; }, 2 * kSecond));
  world.pass(100 * kMillisecond);
  leaving->stream.close();
  world.pass(800 * kMillisecond);
  expectReleaseFromNow("late-state");
}

}  // namespace
}  // namespace garnethook::test
