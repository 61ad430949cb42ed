// The program itself and its signals: `garnethook run` as a child process, raw clients, scripted engines and
// discovery on loopback. Each test forces the crossing that it names.
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <deque>
#include <iostream>

#include "process_world.h"

namespace garnethook::test {
namespace {

using Request = ScriptedEngine::Request;

// From the word that an engine drains until nothing new may go to it.
constexpr net::Micros kDrainGrace = 300 * kMillisecond;
// Where no time is asked of the program, it hangs after this.
constexpr net::Micros kHangs = 10 * kSecond;
// A change counts as told so long after discovery had it and could be reached.
constexpr net::Micros kToldWithin = 6 * kSecond;
// From its start until the program has to serve. The operators' own bound is 10 s.
#ifdef __SANITIZE_ADDRESS__
constexpr net::Micros kServesWithin = 5 * kSecond;
#else
constexpr net::Micros kServesWithin = 2 * kSecond;
#endif

struct ProgramTest : testing::Test {
  // Has the writer begin the next stream with one event and hold the rest back.
  void holdStreams() {
    w.writer.script = [this](Request& r) {
      if (answerCalls(r)) return;
      heldStream = r.stream;
      r.stream->send(std::string(kHead) + chunk(kEvent));
    };
  }
  // A client whose stream has begun and is held back by the writer.
  std::unique_ptr<RawClient> openStream(const std::string& id) {
    holdStreams();
    auto streaming = w.client();
    streaming->ask(id);
    EXPECT_TRUE(w.until([&] { return streaming->has(kEvent); }, 3 * kSecond)) << streaming->got;
    return streaming;
  }
  // Has the writer end the held stream; its client has to get the whole of it.
  void expectWholeStream(RawClient& streaming) {
    ASSERT_NE(heldStream, nullptr);
    heldStream->send(chunk(kEvent) + chunk(kDone) + kLast);
    EXPECT_TRUE(w.until([&] { return streaming.has(kLast); }, 2 * kSecond)) << streaming.got;
    EXPECT_EQ(streaming.count("HTTP/1.1 "), 1u);
    EXPECT_EQ(streaming.count(kEvent), 2u);
    EXPECT_EQ(streaming.count(kDone), 1u);
    EXPECT_TRUE(streaming.got.ends_with(kLast)) << streaming.got;
  }
  // Waits until the program takes no connection any more.
  bool untilRefused() {
    const std::string address = w.address();
    std::unique_ptr<RawClient> knocking;
    return w.until(
        [&] {
          if (knocking && knocking->closed && knocking->got.empty()) return true;
          if (knocking && !knocking->closed) return false;
          knocking = w.clientOf(address);
          knocking->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
          return false;
        },
        2 * kSecond);
  }

  ProcessWorld w;
  net::Stream* heldStream = nullptr;
};

// ---- SIGTERM ----

TEST_F(ProgramTest, TerminationLetsAStreamRunToItsEnd) {
  ASSERT_NO_FATAL_FAILURE(w.start());
  const auto streaming = openStream("s1");
  w.program->signal(SIGTERM);
  ASSERT_TRUE(untilRefused());
  EXPECT_FALSE(w.program->ended());
  expectWholeStream(*streaming);
  EXPECT_TRUE(w.until([&] { return streaming->closed; }, 1 * kSecond));
  w.expectOrderlyEnd();
}

TEST_F(ProgramTest, TerminationWaitsForTheFinalAnswerOfARequestAtAHungEngine) {
  constexpr int kExpiresInMs = 1500;
  constexpr net::Micros kSlack = 500 * kMillisecond;
  w.writer.script = [](Request& r) { answerCalls(r); };
  ASSERT_NO_FATAL_FAILURE(w.start());
  const auto repeatable = w.client();
  const auto unsafe = w.client();
  repeatable->expiresInMs = unsafe->expiresInMs = kExpiresInMs;
  const net::Micros due = w.loop.now() + kExpiresInMs * kMillisecond + kSlack;
  repeatable->ask("h1", "chat");
  unsafe->ask("h2", "order");
  ASSERT_TRUE(w.until([&] { return w.writer.count("POST") >= 2; }, 1 * kSecond));
  w.program->signal(SIGTERM);
  const auto answered = [](const RawClient& c) { return c.has("HTTP/1.1 ") && c.has("\r\n\r\n"); };
  EXPECT_TRUE(w.until([&] { return answered(*repeatable) && answered(*unsafe); }, due - w.loop.now()))
      << repeatable->got << unsafe->got;
  for (const RawClient* c : {repeatable.get(), unsafe.get()}) {
    EXPECT_EQ(c->count("HTTP/1.1 "), 1u);
    EXPECT_TRUE(c->has("HTTP/1.1 5") || c->has("HTTP/1.1 429")) << c->got;
  }
  EXPECT_TRUE(unsafe->has("HTTP/1.1 50")) << unsafe->got;
  EXPECT_TRUE(w.until([&] { return repeatable->closed && unsafe->closed; }, 1 * kSecond));
  w.expectOrderlyEnd();
}

// Adds what comes to its connection's end; throws where that is a reset, or takes too long.
void readToEnd(Poco::Net::StreamSocket& socket, std::string& got) {
  std::array<char, 4096> piece{};
  while (const int count = socket.receiveBytes(piece.data(), static_cast<int>(piece.size())))
    got.append(piece.data(), static_cast<std::size_t>(count));
}

// One that asks at a time of its own around the signal.
struct Asker {
  std::string id;
  std::unique_ptr<RawClient> client;
  std::size_t bytesBefore = 0;
  bool asked = false;

  void ask() {
    if (client->closed) return;
    asked = true;
    client->ask(id);
  }
  bool served() const { return client->got.size() > bytesBefore && client->got.ends_with(kLast); }
  // A refusal, whole: its text ends in a line feed alone.
  bool refused() const { return refusedWith("503"); }
  bool tooMany() const { return refusedWith("429"); }
  bool refusedWith(const std::string& status) const {
    const std::string& got = client->got;
    const bool whole = got.ends_with("\n") && !got.ends_with("\r\n");
    return whole && got.find("HTTP/1.1 " + status, bytesBefore) != std::string::npos;
  }
  bool answered() const { return served() || refused() || tooMany(); }
  bool settled() const { return !asked || client->closed || answered(); }
};

struct RestingConnections : ProgramTest {
  // Connections that each have had an answer; one after the other, so that none is refused as one too many.
  void open(std::size_t count) {
    askers.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      Asker& asker = askers[i];
      asker.client = w.client();
      asker.client->ask("first" + std::to_string(i));
      ASSERT_TRUE(w.until([&] { return asker.served(); }, 3 * kSecond)) << asker.client->got;
      asker.id = "again" + std::to_string(i);
      asker.bytesBefore = asker.client->got.size();
    }
  }
  // Each request gets its whole answer, or its connection ends with nothing said and nothing sent on.
  void expectAnsweredOrUnread() {
    const auto settled = [](const Asker& asker) { return asker.settled(); };
    EXPECT_TRUE(w.until([&] { return std::all_of(askers.begin(), askers.end(), settled); }, 4 * kSecond));
    for (const Asker& asker : askers) {
      const std::size_t answers = asker.client->count("HTTP/1.1 ") - 1;
      if (asker.asked && asker.answered()) {
        ++answered;
        EXPECT_EQ(answers, 1u) << asker.client->got;
        continue;
      }
      EXPECT_EQ(asker.client->got.size(), asker.bytesBefore) << asker.client->got;
      EXPECT_FALSE(w.seenAtEngines(asker.id)) << asker.id;
      if (asker.asked) ++unread;
    }
    std::cout << "answered " << answered << ", ended unread " << unread << ", had not asked "
              << askers.size() - answered - unread << "\n";
  }

  std::vector<Asker> askers;
  std::size_t answered = 0;
  std::size_t unread = 0;
};

TEST_F(RestingConnections, RequestsInStepsAroundATerminationAreAnsweredOrLeftUnread) {
  constexpr std::size_t kConnections = 24;
  constexpr net::Micros kStep = 2 * kMillisecond;  // from one request to the next
  constexpr net::Micros kSignalAt = 4 * kStep;
  ASSERT_NO_FATAL_FAILURE(w.start());
  ASSERT_NO_FATAL_FAILURE(open(kConnections));
  w.loop.after(kSignalAt, [&] { w.program->signal(SIGTERM); });
  for (std::size_t i = 0; i < kConnections; ++i)
    w.loop.after(static_cast<net::Micros>(i) * kStep, [&asker = askers[i]] { asker.ask(); });
  const net::Micros lastAsks = w.loop.now() + static_cast<net::Micros>(kConnections) * kStep;
  ASSERT_TRUE(w.until([&] { return w.loop.now() > lastAsks && w.linesWith(R"("draining")") == 1; }));
  expectAnsweredOrUnread();
  w.expectOrderlyEnd();
}

// The process stands still while both the requests and the signal come, so that it meets them in one turn.
TEST_F(RestingConnections, RequestsInTheInstantOfATerminationAreAnsweredOrLeftUnread) {
  constexpr std::size_t kConnections = 24;
  ASSERT_NO_FATAL_FAILURE(w.start());
  ASSERT_NO_FATAL_FAILURE(open(kConnections));
  w.program->signal(SIGSTOP);
  ASSERT_TRUE(w.until([&] { return w.program->stopped(); }, 1 * kSecond));
  for (std::size_t i = 0; i < kConnections; i += 3) askers[i].ask();
  w.program->signal(SIGTERM);
  for (std::size_t i = 1; i < kConnections; i += 3) askers[i].ask();
  w.program->signal(SIGCONT);
  ASSERT_TRUE(w.until([&] { return w.linesWith(R"("draining")") == 1; }, 2 * kSecond));
  expectAnsweredOrUnread();
  w.expectOrderlyEnd();
}

// Its client writes on although the end of the connection has come: it reads that end, not a reset.
TEST_F(RestingConnections, ARequestBehindTheEndOfItsConnectionIsLeftUnread) {
  const std::string late =
      "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: late\r\nX-Qos: chat\r\nX-Expires-In-Ms: "
      "3000\r\nContent-Length: 2\r\n\r\n{}";
  ASSERT_NO_FATAL_FAILURE(w.start());
  Poco::Net::StreamSocket client{Poco::Net::SocketAddress(w.address())};
  const std::string first = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
  client.sendBytes(first.data(), static_cast<int>(first.size()));
  ASSERT_TRUE(w.until([&] { return client.available() > 0; }, 1 * kSecond));
  w.program->signal(SIGTERM);
  ASSERT_TRUE(w.until([&] { return w.linesWith(R"("draining")") == 1; }, 2 * kSecond));
  std::string got;
  client.setReceiveTimeout(Poco::Timespan(2, 0));
  ASSERT_NO_THROW(readToEnd(client, got)) << got;
  client.sendBytes(late.data(), static_cast<int>(late.size()));
  EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << got;
  EXPECT_NO_THROW(readToEnd(client, got));
  EXPECT_TRUE(got.ends_with("ready\n")) << got;
  client.close();
  w.expectOrderlyEnd();
  EXPECT_FALSE(w.seenAtEngines("late"));
}

TEST_F(ProgramTest, TerminationStillServesConnectionsThatComeForAWhile) {
  constexpr std::size_t kNewcomers = 7;
  constexpr net::Micros kApart = 50 * kMillisecond;  // the last 0.3 s after the signal
  ASSERT_NO_FATAL_FAILURE(w.start());
  const std::string address = w.address();
  std::vector<Asker> newcomers(kNewcomers);
  w.program->signal(SIGTERM);
  for (std::size_t i = 0; i < kNewcomers; ++i) {
    Asker& asker = newcomers[i];
    asker.id = "new" + std::to_string(i);
    w.loop.after(static_cast<net::Micros>(i) * kApart, [&asker, &address, this] {
      asker.client = w.clientOf(address);
      asker.ask();
    });
  }
  EXPECT_TRUE(w.until(
      [&] {
        return std::all_of(newcomers.begin(), newcomers.end(),
                           [](auto& a) { return a.client && a.asked && a.settled(); });
      },
      4 * kSecond));
  for (const Asker& asker : newcomers) {
    ASSERT_TRUE(asker.client);
    EXPECT_TRUE(asker.served() || asker.refused()) << asker.id << ": " << asker.client->got;
    EXPECT_EQ(asker.client->count("HTTP/1.1 "), 1u);
  }
  w.expectOrderlyEnd();
}

struct SignalOrder : ProgramTest, testing::WithParamInterface<std::vector<int>> {};

TEST_P(SignalOrder, EndsOnceAndLeavesTheOpenStreamWhole) {
  ASSERT_NO_FATAL_FAILURE(w.start());
  ScriptedDiscovery second(w.loop);
  second.list = listText(2, false, memberText("w2", w.otherWriter, "m2"));
  const auto streaming = openStream("s1");
  w.writeConfig(platformConfigText(second.address()));
  for (const int signal : GetParam()) w.program->signal(signal);
  ASSERT_TRUE(untilRefused());
  EXPECT_FALSE(w.program->ended());
  w.program->signal(GetParam().back());  // once more, long after the first ones
  expectWholeStream(*streaming);
  w.expectOrderlyEnd();
}

INSTANTIATE_TEST_SUITE_P(Orders, SignalOrder,
                         testing::Values(std::vector{SIGTERM, SIGTERM}, std::vector{SIGHUP, SIGTERM},
                                         std::vector{SIGTERM, SIGHUP},
                                         std::vector{SIGHUP, SIGTERM, SIGHUP, SIGTERM}));

TEST_F(ProgramTest, TerminationRightAfterTheReadyAnswer) {
  ASSERT_NO_FATAL_FAILURE(w.start());
  w.program->signal(SIGTERM);
  w.expectOrderlyEnd();
}

TEST_F(ProgramTest, TerminationRightAfterConnectionsWithoutARequest) {
  constexpr net::Micros kAsksAfter = 100 * kMillisecond;
  ASSERT_NO_FATAL_FAILURE(w.start());
  const auto silent = w.client();
  const auto late = w.client();
  ASSERT_TRUE(w.until([&] { return silent->stream.connected() && late->stream.connected(); }, 1 * kSecond));
  w.program->signal(SIGTERM);
  w.loop.after(kAsksAfter, [&] { late->ask("late"); });
  EXPECT_TRUE(w.until([&] { return late->has(kLast); }, 2 * kSecond)) << late->got;
  EXPECT_TRUE(w.until([&] { return silent->closed && late->closed; }, 2 * kSecond));
  EXPECT_EQ(silent->got, "");
  w.expectOrderlyEnd();
}

TEST_F(ProgramTest, ReadinessEndsWithTheTermination) {
  ASSERT_NO_FATAL_FAILURE(w.start());
  const std::string address = w.address();
  const auto streaming = openStream("s1");
  w.program->signal(SIGTERM);
  ASSERT_TRUE(w.until([&] { return w.linesWith(R"("draining")") == 1; }, kHangs));
  const auto asking = w.clientOf(address);
  asking->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(w.until([&] { return asking->has("HTTP/1.1 503"); }, 500 * kMillisecond)) << asking->got;
  expectWholeStream(*streaming);
  w.expectOrderlyEnd();
}

// ---- bad input ----

TEST_F(ProgramTest, BadRequestsAreToldOnceForEachCause) {
  constexpr int kOfEach = 20;
  const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: x\r\nX-Expires-In-Ms: 1000\r\n";
  const std::array<std::string, 4> bad{
      "\x01\x02\r\n\r\n", head + "X-Qos: none\r\nContent-Length: 2\r\n\r\n{}",
      head + "X-Qos: chat\r\nContent-Length: 3\r\n\r\n{,}", "GET / HTTP/1.1\r\n\r\n"};
  ASSERT_NO_FATAL_FAILURE(w.start());
  for (int i = 0; i < kOfEach; ++i) {
    for (const std::string& text : bad) {
      const auto client = w.client();
      client->stream.send(text);
      ASSERT_TRUE(w.until([&] { return client->closed; }, kHangs));
      EXPECT_TRUE(client->has("HTTP/1.1 4")) << client->got;
    }
  }
  ASSERT_TRUE(w.until([&] { return w.linesWith(R"("event":"rejected")") >= bad.size(); }, kHangs));
  for (const char* cause : {"malformed", "X-Qos: no such class", "no JSON object", "no such resource"}) {
    EXPECT_GE(w.linesWith(R"("event":"rejected")", cause), 1u) << w.errors();
    EXPECT_LE(w.linesWith(R"("event":"rejected")", cause), 1 + w.linesWith(R"("event":"status")")) << w.errors();
  }
  EXPECT_TRUE(w.served("good"));
}

TEST_F(ProgramTest, SettingsWithoutTimesHaveUsableOnes) {
  std::string text = platformConfigText(w.discovery.address());
  for (const std::string& key :
       {std::string(R"(,"dialTimeoutMs":250.0)"), std::string(R"("releaseWithinMs":500.0,)")}) {
    const auto at = text.find(key);
    ASSERT_NE(at, std::string::npos) << key;
    text.erase(at, key.size());
  }
  w.writeConfig(text);
  ASSERT_NO_FATAL_FAILURE(w.start());
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(w.served("r" + std::to_string(i), 2 * kSecond));
}

// ---- SIGHUP ----

// A silent watch is given up after 2.4 s. A discovery that takes longer for its first list was never heard.
TEST_F(ProgramTest, ADiscoveryThatAnswersLateIsHeard) {
  constexpr net::Micros kAnswersAfter = 3200 * kMillisecond;
  w.discovery.answersAfter = kAnswersAfter;
  w.launch();
  EXPECT_TRUE(w.untilReady(kAnswersAfter + 2 * kSecond)) << w.errors();
}

TEST_F(ProgramTest, AReloadMovesTheWatchAndOpenStreamsGoOn) {
  constexpr int kRequestsAfter = 10;
  ASSERT_NO_FATAL_FAILURE(w.start());
  ScriptedDiscovery second(w.loop);
  second.list = listText(2, false, memberText("w2", w.otherWriter, "m2"));
  const auto streaming = openStream("s1");
  w.writeConfig(platformConfigText(second.address()));
  w.program->signal(SIGHUP);
  ASSERT_TRUE(w.until([&] { return second.begun() >= 1 && w.linesWith("w2+") == 1; }, kHangs));
  EXPECT_TRUE(w.until([&] { return w.discovery.open() == 0; }, 1 * kSecond));
  second.tell(listText(3, false, memberText("w", w.writer, "m2", "draining")));
  ASSERT_TRUE(w.until([&] { return w.linesWith("w~") == 1; }, 2 * kSecond));
  w.pass(kDrainGrace);
  const auto before = w.writer.count("POST");
  for (int i = 0; i < kRequestsAfter; ++i) EXPECT_TRUE(w.served("r" + std::to_string(i)));
  EXPECT_EQ(w.writer.count("POST"), before);
  EXPECT_GE(w.otherWriter.count("POST"), static_cast<std::size_t>(kRequestsAfter));
  expectWholeStream(*streaming);
  // A watch is begun anew only where the end of the one before was told.
  EXPECT_LE(w.discovery.begun(), 1 + w.linesWith(R"("event":"discovery")"));
}

// A configuration that can't be used, and what the line about it has to tell.
struct BadFile {
  std::string name;
  std::function<void(ProcessWorld&)> spoil;
  std::string cause;
};

void PrintTo(const BadFile& file, std::ostream* out) { *out << file.name; }

std::function<void(ProcessWorld&)> replacedBy(const std::string& text) {
  return [text](ProcessWorld& w) { w.writeConfig(text); };
}

// The good text with one place changed.
std::function<void(ProcessWorld&)> changed(const std::string& from, const std::string& to) {
  return [from, to](ProcessWorld& w) {
    std::string text = platformConfigText(w.discovery.address());
    const auto at = text.find(from);
    ASSERT_NE(at, std::string::npos);
    w.writeConfig(text.replace(at, from.size(), to));
  };
}

std::function<void(ProcessWorld&)> cutInHalf() {
  return [](ProcessWorld& w) {
    const std::string text = platformConfigText(w.discovery.address());
    w.writeConfig(text.substr(0, text.size() / 2));
  };
}

std::function<void(ProcessWorld&)> removed() {
  return [](ProcessWorld& w) { std::filesystem::remove(w.configFile); };
}

struct BadReload : ProgramTest, testing::WithParamInterface<BadFile> {};

TEST_P(BadReload, KeepsWhatIsInForceAndTellsTheCauseOnce) {
  constexpr std::size_t kReloads = 3;
  ASSERT_NO_FATAL_FAILURE(w.start());
  const auto streaming = openStream("s1");
  GetParam().spoil(w);
  for (std::size_t i = 1; i <= kReloads; ++i) {
    w.program->signal(SIGHUP);
    ASSERT_TRUE(w.until([&] { return w.linesWith(w.configFile) >= i; }, kHangs)) << w.errors();
    EXPECT_EQ(w.linesWith(w.configFile, GetParam().cause), i) << w.errors();
  }
  expectWholeStream(*streaming);
  w.writer.script = w.otherWriter.script;
  EXPECT_TRUE(w.served("r1"));
  w.discovery.tell(listText(2, false, memberText("w2", w.otherWriter, "m2")));
  EXPECT_TRUE(w.until([&] { return w.linesWith("w2+") == 1; }, kHangs));
  // A watch is begun anew only where the end of the one before was told.
  EXPECT_LE(w.discovery.begun(), 1 + w.linesWith(R"("event":"discovery")"));
  EXPECT_EQ(w.linesWith(w.configFile), kReloads) << w.errors();
  EXPECT_EQ(w.linesWith("reload"), kReloads) << w.errors();
  EXPECT_FALSE(w.program->ended());
}

INSTANTIATE_TEST_SUITE_P(
    Files, BadReload,
    testing::Values(
        BadFile{"Absent", removed(), "can't be read"}, BadFile{"Empty", replacedBy(""), "config.json:1"},
        BadFile{"Truncated", cutInHalf(), "config.json:"},
        BadFile{"NoObject", replacedBy("[1, 2]"), "config.json:1"},
        BadFile{"Binary", replacedBy(std::string("\0\x01\xff\xfe", 4)), "config.json:1"},
        BadFile{"WrongTypeOfLimits", changed(R"("limits":{)", R"("limits":7,"x":{)"), "limits"},
        BadFile{"WrongTypeOfANumber", changed(R"("cores":1)", R"("cores":"one")"), "cores"},
        BadFile{"NoAddress", changed(R"("discovery":"127)", R"("discovery":"no address 127)"), "discovery"},
        BadFile{"ShareAboveOne", changed(R"("coldFrom":0.3)", R"("coldFrom":2.5)"), "coldFrom"},
        BadFile{"FewerDescriptorsThanAny", changed(R"("sockets":256)", R"("sockets":2)"), "sockets"},
        BadFile{"NoRouters", changed(R"("balancers":1)", R"("balancers":0)"), "routers"},
        BadFile{"NoSuchEffect", changed(R"("effect":"read_like")", R"("effect":"both")"), "effect"}),
    [](const auto& file) { return file.param.name; });

// ---- starts ----

enum class DiscoveryAtStart { answering, silent, refusing };

struct Starts : ProgramTest, testing::WithParamInterface<DiscoveryAtStart> {
  // From the start of the program until it has served a request; none where that took too long.
  std::optional<net::Micros> timeToServe(const std::string& id) {
    const net::Micros from = w.loop.now();
    w.launch();
    std::unique_ptr<RawClient> asking;
    int tries = 0;
    const bool served = w.until(
        [&] {
          if (asking && asking->has(kLast)) return true;
          if (asking && !asking->closed && !asking->has("HTTP/1.1 429") && !asking->has("HTTP/1.1 5"))
            return false;
          const std::string address = w.address();
          if (address.empty()) return false;
          asking = w.clientOf(address);
          asking->ask(id + "-" + std::to_string(++tries));
          return false;
        },
        kServesWithin);
    if (!served) return std::nullopt;
    return w.loop.now() - from;
  }
};

TEST_P(Starts, ServeInTime) {
  constexpr int kStarts = 5;
  w.discovery.silent = GetParam() == DiscoveryAtStart::silent;
  if (GetParam() == DiscoveryAtStart::refusing) w.discovery.stop();
  const std::string known = R"("known":)" + listText(1, true, w.members) + ",";
  const std::string more = GetParam() == DiscoveryAtStart::answering ? "" : known;
  w.writeConfig(platformConfigText(w.discovery.address(), 256, more));
  for (int i = 0; i < kStarts; ++i) {
    const auto took = timeToServe("start" + std::to_string(i));
    ASSERT_TRUE(took) << "start " << i;
    std::cout << "served after " << *took / kMillisecond << " ms\n";
    EXPECT_TRUE(w.untilReady(kServesWithin));
    EXPECT_LE(*took, kServesWithin);
  }
}

std::string startName(const testing::TestParamInfo<DiscoveryAtStart>& start) {
  if (start.param == DiscoveryAtStart::answering) return "Answering";
  return start.param == DiscoveryAtStart::silent ? "Silent" : "Refusing";
}

INSTANTIATE_TEST_SUITE_P(Discovery, Starts,
                         testing::Values(DiscoveryAtStart::answering, DiscoveryAtStart::silent,
                                         DiscoveryAtStart::refusing),
                         startName);

// ---- descriptors ----

// Clients that connect, say nothing and neither read nor close.
class IdleCrowd {
 public:
  IdleCrowd(net::Loop& loop, const std::string& address) : alarm_(loop), address_(address) {}
  void add(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      sockets_.emplace_back();
      sockets_.back().connectNB(Poco::Net::SocketAddress(address_));
    }
    while (sockets_.size() > kMost) sockets_.pop_front();
  }
  // One more comes every so often.
  void keepComing(net::Micros every) {
    add(1);
    alarm_.start(every, [this, every] { keepComing(every); });
  }

 private:
  static constexpr std::size_t kMost = 600;
  timing::Alarm alarm_;
  std::string address_;
  std::deque<Poco::Net::StreamSocket> sockets_;
};

enum class Crowd { stays, keepsComing };

struct DescriptorPressure : ProgramTest, testing::WithParamInterface<Crowd> {
  static constexpr int kDescriptors = 128;
  // The system's bound as well. The sanitizer's check of an object's type opens a pipe, and takes every
  // object for broken where that fails, so there the program is only told of its limit.
#ifdef __SANITIZE_ADDRESS__
  static constexpr rlim_t kSystemsLimit = 0;
#else
  static constexpr rlim_t kSystemsLimit = kDescriptors;
#endif
  // The share of clients' connections, as the program tells it; its own descriptors come on top.
  static constexpr std::size_t kClientShare = 52;
  static constexpr std::size_t kCrowd = 300;
  static constexpr net::Micros kComesEvery = 5 * kMillisecond;
};

TEST_P(DescriptorPressure, TheReturnOfDiscoveryIsHeardAndClientsAreServed) {
  constexpr std::size_t kFailedWatches = 4;
  w.writeConfig(platformConfigText(w.discovery.address(), kDescriptors));
  ASSERT_NO_FATAL_FAILURE(w.start(kSystemsLimit));
  ASSERT_TRUE(w.served("before"));
  w.discovery.stop();
  IdleCrowd crowd(w.loop, w.address());
  crowd.add(kCrowd);
  if (GetParam() == Crowd::keepsComing) crowd.keepComing(kComesEvery);
  ASSERT_TRUE(w.until([&] { return w.linesWith(R"("event":"discovery")") >= kFailedWatches; }, 5 * kSecond));
  ASSERT_TRUE(w.until([&] { return w.program->descriptors() > kClientShare; }, 2 * kSecond));
  std::cout << "descriptors taken: " << w.program->descriptors() << " of " << kDescriptors << "\n";
  w.discovery.list = listText(
      2, false, memberText("w", w.writer, "m2", "draining") + "," + memberText("w2", w.otherWriter, "m2"));
  w.discovery.start();
  const net::Micros returned = w.loop.now();
  EXPECT_TRUE(w.until([&] { return w.linesWith("w~") == 1; }, kToldWithin));
  std::cout << "told after " << (w.loop.now() - returned) / kMillisecond << " ms\n";
  w.pass(kDrainGrace);
  const auto before = w.writer.count("POST");
  EXPECT_TRUE(w.served("after"));
  EXPECT_EQ(w.writer.count("POST"), before);
  EXPECT_EQ(w.otherWriter.count("POST"), 1u);
  EXPECT_FALSE(w.program->ended());
  EXPECT_EQ(w.linesWith(R"("clients":52)"), 1u);
}

TEST_P(DescriptorPressure, ClientsThatComeTogetherAreServed) {
  constexpr std::size_t kClients = 12;
  w.writeConfig(platformConfigText(w.discovery.address(), kDescriptors));
  ASSERT_NO_FATAL_FAILURE(w.start(kSystemsLimit));
  ASSERT_TRUE(w.served("before"));
  IdleCrowd crowd(w.loop, w.address());
  crowd.add(kCrowd);
  if (GetParam() == Crowd::keepsComing) crowd.keepComing(kComesEvery);
  ASSERT_TRUE(w.until([&] { return w.program->descriptors() > kClientShare; }, 2 * kSecond));
  std::vector<Asker> askers(kClients);
  for (std::size_t i = 0; i < kClients; ++i) {
    askers[i].id = "c" + std::to_string(i);
    askers[i].client = w.client();
    askers[i].ask();
  }
  const auto settled = [](const Asker& asker) { return asker.settled(); };
  std::size_t most = 0;
  EXPECT_TRUE(w.until(
      [&] {
        if (!w.program->ended()) most = std::max(most, w.program->descriptors());
        return std::all_of(askers.begin(), askers.end(), settled);
      },
      4 * kSecond));
  EXPECT_LE(most, static_cast<std::size_t>(kDescriptors));
  for (const Asker& asker : askers) EXPECT_TRUE(asker.served()) << asker.id << ": " << asker.client->got;
  std::cout << "descriptors at the most: " << most << " of " << kDescriptors << "\n";
}

std::string crowdName(const testing::TestParamInfo<Crowd>& crowd) {
  return crowd.param == Crowd::stays ? "ThatStays" : "ThatKeepsComing";
}

INSTANTIATE_TEST_SUITE_P(Crowds, DescriptorPressure, testing::Values(Crowd::stays, Crowd::keepsComing),
                         crowdName);

// What is held for a request whose client left has to be let go of before the process ends.
TEST_F(ProgramTest, TerminationWaitsUntilWhatIsHeldIsLetGoOf) {
  constexpr net::Micros kUnanswered = 900 * kMillisecond;
  const net::Micros from = w.loop.now();
  std::size_t confirmed = 0;
  const auto callsInTime = [&](Request& r) {
    if (r.head.method == "POST") return;
    if (w.loop.now() - from < kUnanswered) return;  // an engine that says nothing to releases yet
    ++confirmed;
    answerCalls(r);
  };
  w.writer.script = w.otherWriter.script = callsInTime;
  w.reader.script = [&](Request& r) {
    if (r.head.method == "POST")
      r.stream->send(kRead);
    else
      callsInTime(r);
  };
  ASSERT_NO_FATAL_FAILURE(w.start());
  auto leaving = w.client();
  leaving->ask("h1");
  ASSERT_TRUE(w.until([&] { return w.writer.count("POST") == 1; }, 2 * kSecond));
  leaving->stream.close();
  w.program->signal(SIGTERM);
  EXPECT_TRUE(w.until([&] { return confirmed > 0; }, 4 * kSecond));
  w.expectOrderlyEnd();
  EXPECT_EQ(w.linesWith(R"("drained")", "kv reservations 0, releases in flight 0"), 1u);
  EXPECT_EQ(w.linesWith(R"("drained")", "abandoned 0"), 1u);
}

// The address is another process's for good: the reason on standard error, and status 2.
TEST_F(ProgramTest, AnAddressThatIsTakenEndsTheStartWithItsReason) {
  const net::Listener other(w.loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](auto) {});
  const std::string address = other.address().toString();
  std::string text = platformConfigText(w.discovery.address());
  const std::string any = R"("listen":"127.0.0.1:0")";
  text.replace(text.find(any), any.size(), R"("listen":")" + address + "\"");
  w.writeConfig(text);
  w.launch();
  ASSERT_TRUE(w.until([&] { return w.program->ended(); }, 8 * kSecond));
  EXPECT_EQ(w.program->exitStatus(), 2);
  EXPECT_NE(w.errors().find("can't listen on " + address), std::string::npos) << w.errors();
}

}  // namespace
}  // namespace garnethook::test
