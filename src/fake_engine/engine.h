// A fake engine: an OpenAI-compatible server that prefills prompts, holds and transfers KV states and decodes
// answers at configured speeds, and injects the configured faults. It runs no model: answers are generated
// from the prompt (answer.h), and timers simulate durations.
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
#include "fake_engine/prefix_cache.h"
#include "fake_engine/recorder.h"
#include "fake_engine/reference_tokeniser.h"
#include "policy/routing_policy.h"

namespace garnethook::fake_engine {

struct EngineOptions {
  std::string name;
  Role role = Role::combined;
  std::string kind;
  std::string zone;
  std::string cell;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;                  // 0: any free port; kept across restarts
  double prefillTokensPerSecond = 20'000;  // prompt tokens, per slot
  Micros prefillBaseTime = 2'000;          // fixed part of a prefill
  unsigned slots = 8;                      // jobs that run concurrently
  unsigned queue = 32;                     // jobs that may wait
  double memoryTokens = 200'000;
  double cacheTokens = 1'000'000;            // capacity of the prefix cache
  Micros tokenInterval = 5'000;              // time between two tokens of an answer
  double transferTokensPerSecond = 250'000;  // KV transfer rate within a cell
  double crossCellFactor = 2;                // factor on the transfer time from another cell
  double warmUpMinCapacity = 0.3;            // share of the full capacity right after a start
  Micros warmUpDuration = 0;                 // 0: no warm-up
  double overloadMultiple = 2.5;
  Micros overloadWindow = 2'000'000;
  Micros kvStateLifetime = 20'000'000;                  // after which an unused KV state is dropped
  bool cancelStopsPrefill = true;                       // a running prefill ends when its client disconnects
  std::shared_ptr<const ReferenceTokeniser> tokeniser;  // null: one token per four characters
  bool reportsTokeniser = true;                         // in /tokenizer_info
};

struct Faults {
  bool silent = false;             // accepts requests without answering
  double slow = 1;                 // factor on all durations
  bool error = false;              // HTTP 500 for every request
  bool reset = false;              // resets the connection of every request
  bool full = false;               // HTTP 429 for every request
  int stallAfter = -1;             // streams stall after this many tokens; -1: never
  int dieAfter = -1;               // connections are reset after this many tokens; -1: never
  Micros trickle = 0;              // interval between single bytes of answers; 0: no trickling
  double link = 1;                 // factor on transfer times of KV states held here
  bool badHttp = false;            // answers with malformed HTTP
  bool hugeEvent = false;          // sends an event that never ends
  std::string errorForPromptText;  // HTTP 500 for prompts that contain this text
};

class Engine {
 public:
  // Returns the fake engine of this process with the given name, or null. Decode engines use it to find the
  // prefill engine that holds a KV state.
  using EngineLookup = std::function<Engine*(const std::string& name)>;
  Engine(net::Loop& loop, const EngineOptions& options, Recorder& recorder, EngineLookup lookup);
  ~Engine();

  const EngineOptions& options() const { return options_; }
  std::uint16_t port() const { return port_; }
  // Unix time of the latest start; 0 before the first restart.
  Micros startedUnix() const { return startedUnix_; }
  bool up() const { return server_ != nullptr; }
  bool overloaded() const { return overloaded_; }
  Faults faults;
  void setTrickle(Micros interval);

  // Replaces the tokeniser.
  void setTokeniser(std::shared_ptr<const ReferenceTokeniser> tokeniser) {
    options_.tokeniser = std::move(tokeniser);
  }
  // Stops the engine: resets its connections and discards its jobs and KV states.
  void stop();
  // Restarts the engine with an empty cache. It warms up if the options configure a warm-up.
  void start();
  // Blocks traffic with the hosts that the filter matches; an empty filter ends the partition.
  void partitionFrom(std::function<bool(const std::string& host)> filter);

  std::size_t held() const { return kvStates_.size(); }
  std::uint64_t answered() const { return answered_; }
  std::uint64_t cancelled() const { return cancelled_; }

 private:
  struct Job {
    std::string id;      // X-Request-Id
    std::string marker;  // last word of the prompt; identifies the request in the audit
    std::string prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t maxTokens = 16;
    bool isPrefill = false;
    std::string kvSourceEngine;
    std::uint64_t blockId = 0;
    std::shared_ptr<HttpReply> reply;
    bool clientGone = false;  // the client disconnected
    bool released = false;    // a release arrived before the prefill ended
    bool running = false;
    bool finished = false;
    std::uint32_t sentTokens = 0;
    double usedTokens = 0;
    std::shared_ptr<Answer> answer;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct KvState {
    std::string id;
    std::string marker;
    double tokens = 0;
    timing::TimerKey expiryTimer;
  };

  void onRequest(HttpRequest request, std::shared_ptr<HttpReply> reply);
  void onCompletion(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void onTokenise(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  std::uint32_t countPromptTokens(const std::string& text, bool special) const;
  void onRelease(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
  void enqueueOrStart(const JobPtr& job);
  void startJob(const JobPtr& job);
  void onPrefillDone(const JobPtr& job);
  void onKvTransferDone(const JobPtr& job);
  void sendNextToken(const JobPtr& job);
  void finishJob(const JobPtr& job);
  void rejectJob(const JobPtr& job, int status, const std::string& code, const std::string& text);
  bool admitJob(const Job& job);
  double capacity() const;
  Micros scaled(double micros) const;
  http1::Fields fields(const std::string& type) const;
  bool holdsKvState(std::uint64_t blockId) const { return kvStates_.contains(blockId); }
  void dropKvState(std::uint64_t blockId, const char* eventName);
  void after(Micros delay, const JobPtr& job, void (Engine::*step)(const JobPtr&));
  nlohmann::json jobFields(const Job& job) const;

  net::Loop& loop_;
  EngineOptions options_;
  Recorder& recorder_;
  EngineLookup lookup_;
  PrefixCache cache_;
  std::unique_ptr<HttpServer> server_;
  std::function<bool(const std::string&)> partitionFilter_;
  std::uint16_t port_ = 0;
  Micros startedAt_ = 0;  // on the loop's clock; 0 before the first restart
  Micros startedUnix_ = 0;
  std::deque<JobPtr> waiting_;
  unsigned running_ = 0;
  double usedMemoryTokens_ = 0;
  std::map<std::uint64_t, KvState> kvStates_;
  std::map<std::string, JobPtr> prefills_;  // by request id, until done
  std::deque<std::pair<Micros, double>> recentWork_;
  bool overloaded_ = false;
  std::uint64_t nextBlockId_ = 1;
  std::uint64_t answered_ = 0;
  std::uint64_t cancelled_ = 0;
  std::shared_ptr<int> epoch_ = std::make_shared<int>(0);
};

}  // namespace garnethook::fake_engine
