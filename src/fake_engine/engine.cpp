#include "fake_engine/engine.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "timing/wall_clock.h"

namespace garnethook::fake_engine {
namespace {

using nlohmann::json;

std::string lastWord(std::string_view text) {
  const auto space = text.rfind(' ');
  return std::string(space == std::string_view::npos ? text : text.substr(space + 1));
}

std::string sseEvent(const json& body) {
  return "data: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

}  // namespace

Engine::Engine(net::Loop& loop, const EngineOptions& options, Recorder& recorder, EngineLookup lookup)
    : loop_(loop),
      options_(options),
      recorder_(recorder),
      lookup_(std::move(lookup)),
      cache_(static_cast<std::size_t>(options.cacheTokens * 4 / PrefixCache::kBlockBytes)),
      port_(options.port) {
  const Micros warm = options_.warmUpDuration;
  options_.warmUpDuration = 0;  // the initial start has no warm-up
  start();
  options_.warmUpDuration = warm;
  startedAt_ = startedUnix_ = 0;
}

Engine::~Engine() { stop(); }

void Engine::start() {
  stop();
  server_ = std::make_unique<HttpServer>(
      loop_, Poco::Net::SocketAddress(options_.host, port_),
      [this](HttpRequest r, std::shared_ptr<HttpReply> reply) { onRequest(std::move(r), std::move(reply)); });
  server_->blocksHost = partitionFilter_;
  server_->trickle = faults.trickle;
  port_ = server_->address().port();
  startedAt_ = loop_.now();
  startedUnix_ = timing::unixNow().sinceEpoch;
  overloaded_ = false;
  recorder_.note("engine.start", {{"engine", options_.name}});
}

void Engine::stop() {
  if (!server_) return;
  recorder_.note("engine.stop", {{"engine", options_.name}});
  epoch_ = std::make_shared<int>(*epoch_ + 1);
  for (auto& [blockId, state] : kvStates_) {
    loop_.cancel(state.expiryTimer);
    recorder_.note("state.lost", {{"engine", options_.name}, {"marker", state.marker}, {"block", blockId}});
  }
  kvStates_.clear();
  prefills_.clear();
  waiting_.clear();
  running_ = 0;
  usedMemoryTokens_ = 0;
  recentWork_.clear();
  cache_.clear();
  const auto server = std::move(server_);
  server->shutDown();
}

void Engine::partitionFrom(std::function<bool(const std::string& host)> filter) {
  partitionFilter_ = std::move(filter);
  if (!server_) return;
  server_->blocksHost = partitionFilter_;
  if (!partitionFilter_) server_->unblock();
}

void Engine::setTrickle(Micros interval) {
  faults.trickle = interval;
  if (server_) server_->trickle = interval;
}

void Engine::after(Micros delay, const JobPtr& job, void (Engine::*step)(const JobPtr&)) {
  loop_.after(delay, [this, job, step, epoch = std::weak_ptr<int>(epoch_)] {
    if (!epoch.expired()) (this->*step)(job);
  });
}

json Engine::jobFields(const Job& job) const {
  return {{"engine", options_.name},
          {"marker", job.marker},
          {"id", job.id},
          {"job", job.isPrefill                ? "read"
                  : job.kvSourceEngine.empty() ? "whole"
                                               : "write"}};
}

http1::Fields Engine::fields(const std::string& type) const {
  double waitingTokens = 0;
  for (const auto& waitingJob : waiting_)
    waitingTokens += waitingJob->isPrefill ? waitingJob->promptTokens : 0;
  char load[200];
  std::snprintf(load, sizeof load,
                "TEXT named_metrics.kv_cache_usage_perc=%.4f, named_metrics.num_requests_waiting=%zu, "
                "named_metrics.num_tokens_waiting=%.0f",
                std::min(1.0, usedMemoryTokens_ / options_.memoryTokens), waiting_.size(), waitingTokens);
  return {{"content-type", type}, {"endpoint-load-metrics", load}};
}

void Engine::onRequest(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  if (faults.reset) return reply->cut();
  const auto& target = request.head.target;
  if (target == "/v1/completions" && request.head.method == "POST") return onCompletion(request, reply);
  if (target == "/v1/kv/release" && request.head.method == "POST") return onRelease(request, reply);
  if (faults.silent || overloaded_) return;
  if (target == "/health") return reply->send(faults.error ? 500 : 200, fields("text/plain"), "");
  if (target == "/tokenize" && request.head.method == "POST") return onTokenise(request, reply);
  if (target == "/tokenizer_info" && options_.tokeniser && options_.reportsTokeniser)
    return reply->send(200, fields("application/json"),
                       json{{"tokenizer_class", "ByteLevelBPE"},
                            {"name_or_path", options_.tokeniser->name()},
                            {"version", options_.tokeniser->version()}}
                           .dump());
  if (target == "/version") return reply->send(200, fields("application/json"), R"({"version":"stand-in"})");
  reply->send(404, fields("application/json"), R"({"error":{"message":"no such path"}})");
}

std::uint32_t Engine::countPromptTokens(const std::string& text, bool special) const {
  if (!options_.tokeniser) return countTokens(text);
  return static_cast<std::uint32_t>(options_.tokeniser->encode(text, special).size());
}

void Engine::onTokenise(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("prompt") || !body["prompt"].is_string() || !options_.tokeniser)
    return reply->send(400, fields("application/json"), R"({"error":{"message":"prompt: is missing"}})");
  const auto ids =
      options_.tokeniser->encode(body["prompt"].get<std::string>(), body.value("special_tokens", false));
  reply->send(200, fields("application/json"),
              json{{"count", ids.size()}, {"max_model_len", options_.memoryTokens}, {"tokens", ids}}.dump());
}

void Engine::onRelease(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  if (faults.silent || overloaded_) return;
  const json body = json::parse(request.body, nullptr, false);
  const std::string id = body.is_object() ? body.value("request_id", "") : "";
  bool known = false;
  for (auto at = kvStates_.begin(); at != kvStates_.end();) {
    const auto blockId = at->first;
    const bool matches = at++->second.id == id;
    if (matches) dropKvState(blockId, "state.released");
    known |= matches;
  }
  if (const auto at = prefills_.find(id); at != prefills_.end()) {
    at->second->released = true;
    known = true;
  }
  reply->send(known ? 200 : 404, fields("application/json"), "{}");
}

void Engine::dropKvState(std::uint64_t blockId, const char* eventName) {
  const auto at = kvStates_.find(blockId);
  if (at == kvStates_.end()) return;
  usedMemoryTokens_ -= at->second.tokens;
  loop_.cancel(at->second.expiryTimer);
  recorder_.note(eventName, {{"engine", options_.name}, {"marker", at->second.marker}, {"block", blockId}});
  kvStates_.erase(at);
}

void Engine::rejectJob(const JobPtr& job, int status, const std::string& code, const std::string& text) {
  recorder_.note("engine.refused", [&] {
    auto details = jobFields(*job);
    details["status"] = status;
    return details;
  }());
  job->finished = true;
  job->reply->send(status, fields("application/json"),
                   json{{"error", {{"message", text}, {"code", code}}}}.dump());
}

void Engine::onCompletion(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  auto job = std::make_shared<Job>();
  job->reply = reply;
  job->id = http1::find(request.head.fields, "x-request-id").value_or("");
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("prompt"))
    return reply->send(400, fields("application/json"), R"({"error":{"message":"prompt: is missing"}})");
  if (body["prompt"].is_string()) {
    job->prompt = body["prompt"].get<std::string>();
    job->promptTokens = std::max(1U, countPromptTokens(job->prompt, body.value("special_tokens", false)));
  } else {
    job->prompt = body["prompt"].dump();
    job->promptTokens = static_cast<std::uint32_t>(body["prompt"].size());
  }
  job->marker = lastWord(job->prompt);
  job->maxTokens = body.value("max_tokens", 16u);
  const json params = body.contains("kv_transfer_params") ? body["kv_transfer_params"] : json::object();
  job->isPrefill = params.value("do_remote_decode", false);
  if (params.value("do_remote_prefill", false)) {
    job->kvSourceEngine = params.value("remote_engine_id", "");
    const auto blocks = params.value("remote_block_ids", json::array());
    job->blockId = blocks.empty() ? 0 : blocks[0].get<std::uint64_t>();
  }
  recorder_.note("engine.request", jobFields(*job));
  if (faults.silent || overloaded_) {  // accepted but never answered
    reply->onDisconnect = [this, job, epoch = std::weak_ptr<int>(epoch_)] {
      if (!epoch.expired()) recorder_.note("engine.closed", jobFields(*job));
    };
    return;
  }
  if (faults.error || (!faults.errorForPromptText.empty() &&
                       job->prompt.find(faults.errorForPromptText) != std::string::npos))
    return rejectJob(job, 500, "internal", "simulated failure");
  if (faults.badHttp) {
    recorder_.note("engine.closed", jobFields(*job));
    job->reply->begin(99999, {{"bad", "\x01"}});
    return;
  }
  if (faults.full) return rejectJob(job, 429, "full", "no room");
  if (job->promptTokens > options_.memoryTokens)
    return rejectJob(job, 400, "too_long", "the prompt is longer than the memory");
  if (job->isPrefill && options_.role == Role::decode)
    return rejectJob(job, 400, "role", "this engine does not read for others");
  if (!job->kvSourceEngine.empty()) {
    Engine* prefillEngine = lookup_(job->kvSourceEngine);
    if (prefillEngine == nullptr || !prefillEngine->up() || !prefillEngine->holdsKvState(job->blockId))
      return rejectJob(job, 409, "kv_state_missing", "the state is not there");
  } else if (!job->isPrefill && options_.role == Role::prefill) {
    return rejectJob(job, 400, "role", "this engine does not answer");
  }
  if (!admitJob(*job)) return;
  if (running_ >= options_.slots && waiting_.size() >= options_.queue)
    return rejectJob(job, 429, "full", "no room");
  job->reply->onDisconnect = [this, job, epoch = std::weak_ptr<int>(epoch_)] {
    if (epoch.expired() || job->finished) return;
    job->clientGone = true;
    recorder_.note("engine.closed", jobFields(*job));
    ++cancelled_;
    if (job->running && job->isPrefill && !options_.cancelStopsPrefill)
      return;  // the prefill continues and leaves a KV state
    finishJob(job);
  };
  if (job->isPrefill) prefills_[job->id] = job;
  enqueueOrStart(job);
}

// Current share of the full capacity. Grows linearly during warm-up; admitJob() compares the work that
// arrives within a window with it.
double Engine::capacity() const {
  if (options_.warmUpDuration <= 0 || startedAt_ == 0) return 1;
  const double warm =
      static_cast<double>(loop_.now() - startedAt_) / static_cast<double>(options_.warmUpDuration);
  return std::min(1.0, options_.warmUpMinCapacity + (1 - options_.warmUpMinCapacity) * warm);
}

bool Engine::admitJob(const Job& job) {
  const Micros now = loop_.now();
  while (!recentWork_.empty() && recentWork_.front().first < now - options_.overloadWindow)
    recentWork_.pop_front();
  // Measured in seconds of work of one slot.
  const double seconds = job.isPrefill || job.kvSourceEngine.empty()
                             ? job.promptTokens / options_.prefillTokensPerSecond
                             : 38 * static_cast<double>(options_.tokenInterval) / 1e6;
  recentWork_.emplace_back(now, seconds);
  if (capacity() >= 1) return true;
  double sum = 0;
  for (const auto& [at, slotSeconds] : recentWork_) sum += slotSeconds;
  const double window = static_cast<double>(options_.overloadWindow) / 1e6;
  if (sum <= options_.overloadMultiple * capacity() * options_.slots * window) return true;
  overloaded_ = true;
  recorder_.note("engine.fell", {{"engine", options_.name}, {"work", sum}, {"capacity", capacity()}});
  return false;
}

Micros Engine::scaled(double micros) const { return static_cast<Micros>(micros * faults.slow / capacity()); }

void Engine::enqueueOrStart(const JobPtr& job) {
  if (running_ < options_.slots)
    startJob(job);
  else
    waiting_.push_back(job);
}

void Engine::startJob(const JobPtr& job) {
  ++running_;
  job->running = true;
  if (!job->kvSourceEngine.empty()) {
    Engine* prefillEngine = lookup_(job->kvSourceEngine);
    const double distanceFactor = prefillEngine != nullptr && prefillEngine->options_.cell != options_.cell
                                      ? options_.crossCellFactor
                                      : 1;
    const double link = prefillEngine != nullptr ? prefillEngine->faults.link : 1;
    return after(scaled(job->promptTokens / options_.transferTokensPerSecond * 1e6 * distanceFactor * link),
                 job, &Engine::onKvTransferDone);
  }
  const double cachedShare = static_cast<double>(cache_.find(job->prompt)) /
                             static_cast<double>(std::max<std::size_t>(job->prompt.size(), 1));
  job->cachedTokens = static_cast<std::uint32_t>(std::min(1.0, cachedShare) * job->promptTokens);
  const double micros = static_cast<double>(options_.prefillBaseTime) +
                        (job->promptTokens - job->cachedTokens) / options_.prefillTokensPerSecond * 1e6;
  after(scaled(micros), job, &Engine::onPrefillDone);
}

void Engine::onPrefillDone(const JobPtr& job) {
  if (job->finished) return;
  cache_.insert(job->prompt);
  if (!job->isPrefill) {  // combined: decoding starts at once
    job->usedTokens = job->promptTokens;
    usedMemoryTokens_ += job->usedTokens;
    return sendNextToken(job);
  }
  const std::uint64_t blockId = nextBlockId_++;
  prefills_.erase(job->id);
  if (job->released) {
    recorder_.note("engine.done", jobFields(*job));
    return finishJob(job);
  }
  usedMemoryTokens_ += job->promptTokens;
  KvState& state = kvStates_[blockId];
  state = {job->id, job->marker, static_cast<double>(job->promptTokens), {}};
  state.expiryTimer =
      loop_.after(options_.kvStateLifetime, [this, blockId] { dropKvState(blockId, "state.expired"); });
  recorder_.note("state.held", {{"engine", options_.name}, {"marker", job->marker}, {"block", blockId}});
  if (!job->clientGone) recorder_.note("engine.done", jobFields(*job));
  ++answered_;
  job->finished = true;
  const json body{{"id", job->id},
                  {"object", "text_completion"},
                  {"choices", {{{"index", 0}, {"text", " "}, {"finish_reason", "length"}}}},
                  {"usage",
                   {{"prompt_tokens", job->promptTokens},
                    {"completion_tokens", 1},
                    {"prompt_tokens_details", {{"cached_tokens", job->cachedTokens}}}}},
                  {"kv_transfer_params",
                   {{"do_remote_prefill", true},
                    {"do_remote_decode", false},
                    {"remote_engine_id", options_.name},
                    {"remote_block_ids", {blockId}},
                    {"remote_host", options_.host},
                    {"remote_port", port_}}}};
  job->reply->send(200, fields("application/json"), body.dump());
  finishJob(job);
}

void Engine::onKvTransferDone(const JobPtr& job) {
  if (job->finished) return;
  Engine* prefillEngine = lookup_(job->kvSourceEngine);
  if (prefillEngine == nullptr || !prefillEngine->up() || !prefillEngine->holdsKvState(job->blockId)) {
    rejectJob(job, 409, "kv_state_missing", "the state is not there any more");
    return finishJob(job);
  }
  prefillEngine->dropKvState(job->blockId, "state.fetched");
  job->usedTokens = job->promptTokens;
  usedMemoryTokens_ += job->usedTokens;
  sendNextToken(job);
}

void Engine::sendNextToken(const JobPtr& job) {
  if (job->finished || job->clientGone) return;
  if (!job->answer) {
    job->answer = std::make_shared<Answer>(job->prompt, job->maxTokens);
    job->reply->begin(200, fields("text/event-stream"));
  }
  if (faults.hugeEvent) return job->reply->piece("data: " + std::string(1 << 20, 'x'));
  if (faults.stallAfter >= 0 && static_cast<int>(job->sentTokens) >= faults.stallAfter) return;
  if (faults.dieAfter >= 0 && static_cast<int>(job->sentTokens) >= faults.dieAfter) {
    recorder_.note("engine.closed", jobFields(*job));
    const auto reply = job->reply;
    finishJob(job);
    return reply->cut();
  }
  const Answer& answer = *job->answer;
  if (job->sentTokens < answer.tokens()) {
    const auto i = job->sentTokens++;
    ++usedMemoryTokens_;
    ++job->usedTokens;
    const bool last = job->sentTokens == answer.tokens();
    json choice{{"index", 0},
                {"text", answer.tokenText(i)},
                {"token_ids", {answer.tokenId(i)}},
                {"finish_reason", nullptr}};
    if (last) choice["finish_reason"] = answer.truncated() ? "length" : "stop";
    job->reply->piece(
        sseEvent({{"id", job->id}, {"object", "text_completion"}, {"choices", json::array({choice})}}));
    return after(last ? 0 : scaled(static_cast<double>(options_.tokenInterval)), job, &Engine::sendNextToken);
  }
  job->reply->piece(sseEvent({{"id", job->id},
                              {"choices", json::array()},
                              {"usage",
                               {{"prompt_tokens", job->promptTokens},
                                {"completion_tokens", job->sentTokens},
                                {"prompt_tokens_details", {{"cached_tokens", job->cachedTokens}}}}}}));
  job->reply->piece("data: [DONE]\n\n");
  ++answered_;
  recorder_.note("engine.done", jobFields(*job));
  job->finished = true;
  job->reply->end();
  finishJob(job);
}

// Frees the slot and memory of a job and starts the next job in the queue.
void Engine::finishJob(const JobPtr& job) {
  job->finished = true;
  if (job->isPrefill) prefills_.erase(job->id);
  usedMemoryTokens_ -= std::exchange(job->usedTokens, 0);
  if (std::exchange(job->running, false)) {
    --running_;
    while (running_ < options_.slots && !waiting_.empty()) {
      const auto next = waiting_.front();
      waiting_.pop_front();
      if (!next->finished) startJob(next);
    }
  } else {
    std::erase(waiting_, job);
  }
}

}  // namespace garnethook::fake_engine
