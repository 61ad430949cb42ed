// A stand-in engine: an OpenAI-compatible server that reads prompts, holds states, fetches them and writes
// answers, at speeds that are set, and misbehaves by script. It is no model: answers are made up
// (answer.h), times are simulated by timers.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fake_engine/answer.h"
#include "fake_engine/http_server.h"
#include "fake_engine/own_tokeniser.h"
#include "fake_engine/prefix_cache.h"
#include "fake_engine/recorder.h"
#include "policy/routing_policy.h"

namespace garnethook::fake_engine {

struct EngineOptions {
  std::string name;
  Role role = Role::combined;
  std::string kind;
  std::string zone;
  std::string cell;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;         // 0: any; kept over restarts
  double readPerSecond = 20'000;  // prompt tokens, in each slot
  Micros readBase = 2'000;        // fixed part of a read
  unsigned slots = 8;             // at once
  unsigned queue = 32;            // waiting
  double memoryTokens = 200'000;
  double cacheTokens = 1'000'000;  // of the prefix cache
  Micros tokenInterval = 5'000;    // between two tokens of an answer
  double linkPerSecond = 250'000;  // tokens of a state fetched within a cell
  double farFactor = 2;            // and how much longer from another cell
  double warmUpMinCapacity = 0.3;  // capacity right after a start
  Micros warmUpDuration = 0;       // 0: never cold
  double overloadMultiple = 2.5;
  Micros overloadWindow = 2'000'000;
  Micros stateLife = 20'000'000;                  // a state that nobody fetches or releases is dropped
  bool cancelStops = true;                        // a running read ends when its client goes away
  std::shared_ptr<const OwnTokeniser> tokeniser;  // none: a token for every four characters
  bool tellsTokeniser = true;                     // at /tokenizer_info
};

struct Faults {
  bool silent = false;     // takes requests, answers nothing
  double slow = 1;         // factor on all times
  bool error = false;      // HTTP 500 to every request
  bool reset = false;      // cuts every connection that asks something
  bool full = false;       // 429 to every request
  int stallAfter = -1;     // answers go quiet after so many tokens
  int dieAfter = -1;       // and break off after so many
  Micros trickle = 0;      // bytes of answers one at a time
  double link = 1;         // factor on fetches of states that it holds
  bool badHttp = false;    // bytes that are no HTTP
  bool hugeEvent = false;  // an event without an end
  std::string failsClass;  // 500 to prompts with this text in them
};

class Engine {
 public:
  // How a writer finds the reader that holds a state: all stand-ins of one process.
  using Finder = std::function<Engine*(const std::string& name)>;
  Engine(net::Loop& loop, const EngineOptions& options, Recorder& recorder, Finder finder);
  ~Engine();

  const EngineOptions& options() const { return options_; }
  std::uint16_t port() const { return port_; }
  // Unix time of its latest start; 0: long ago.
  Micros startedUnix() const { return startedUnix_; }
  bool up() const { return server_ != nullptr; }
  bool fell() const { return fell_; }
  Faults faults;
  void setTrickle(Micros apart);

  // With another one from the next start.
  void setTokeniser(std::shared_ptr<const OwnTokeniser> tokeniser) {
    options_.tokeniser = std::move(tokeniser);
  }
  // Stops: connections are reset, work and states are gone.
  void stop();
  // Starts again, with an empty cache; cold where the options say so.
  void start();
  // Cut off from the hosts for which the filter says so, until it is empty again.
  void cutFrom(std::function<bool(const std::string& host)> filter);

  std::size_t held() const { return states_.size(); }
  std::uint64_t answered() const { return answered_; }
  std::uint64_t cancelled() const { return cancelled_; }

 private:
  struct Work {
    std::string id;      // X-Request-Id
    std::string marker;  // last word of the prompt: how the audit knows the request
    std::string prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t cached = 0;
    std::uint32_t maxTokens = 16;
    bool read = false;
    std::string fetchFrom;
    std::uint64_t block = 0;
    std::shared_ptr<HttpReply> reply;
    bool gone = false;      // its client went away
    bool released = false;  // a release came before the read was done
    bool running = false;
    bool over = false;
    std::uint32_t sent = 0;
    double memory = 0;
    std::shared_ptr<Answer> answer;
  };
  using WorkPtr = std::shared_ptr<Work>;
  struct State {
    std::string id;
    std::string marker;
    double tokens = 0;
    timing::TimerKey life;
  };

  void onRequest(HttpRequest request, std::shared_ptr<HttpReply> reply);
  void onCompletion(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void onTokenise(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  std::uint32_t tokensOf(const std::string& text, bool special) const;
  void onRelease(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void enter(const WorkPtr& work);
  void run(const WorkPtr& work);
  void readDone(const WorkPtr& work);
  void fetched(const WorkPtr& work);
  void writeToken(const WorkPtr& work);
  void leave(const WorkPtr& work);
  void refuse(const WorkPtr& work, int status, const std::string& code, const std::string& text);
  bool weigh(const Work& work);
  double capacity() const;
  Micros scaled(double micros) const;
  http1::Fields fields(const std::string& type) const;
  bool holds(std::uint64_t block) const { return states_.contains(block); }
  void drop(std::uint64_t block, const char* how);
  void after(Micros delay, const WorkPtr& work, void (Engine::*step)(const WorkPtr&));
  nlohmann::json tag(const Work& work) const;

  net::Loop& loop_;
  EngineOptions options_;
  Recorder& recorder_;
  Finder finder_;
  PrefixCache cache_;
  std::unique_ptr<HttpServer> server_;
  std::function<bool(const std::string&)> frozen_;
  std::uint16_t port_ = 0;
  Micros startedAt_ = 0;  // on the loop's clock
  Micros startedUnix_ = 0;
  std::deque<WorkPtr> waiting_;
  unsigned running_ = 0;
  double memory_ = 0;
  std::map<std::uint64_t, State> states_;
  std::map<std::string, WorkPtr> reads_;  // by work id, until done
  std::deque<std::pair<Micros, double>> recent_;
  bool fell_ = false;
  std::uint64_t nextBlock_ = 1;
  std::uint64_t answered_ = 0;
  std::uint64_t cancelled_ = 0;
  std::shared_ptr<int> epoch_ = std::make_shared<int>(0);
};

}  // namespace garnethook::fake_engine
