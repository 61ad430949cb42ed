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

std::string event(const json& body) {
  return "data: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

}  // namespace

Engine::Engine(net::Loop& loop, const EngineOptions& options, Recorder& recorder, Finder finder)
    : loop_(loop),
      options_(options),
      recorder_(recorder),
      finder_(std::move(finder)),
      cache_(static_cast<std::size_t>(options.cacheTokens * 4 / PrefixCache::kBlock)),
      port_(options.port) {
  const Micros warm = options_.warmUpDuration;
  options_.warmUpDuration = 0;  // the first start was long ago
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
  server_->frozen = frozen_;
  server_->trickle = faults.trickle;
  port_ = server_->address().port();
  startedAt_ = loop_.now();
  startedUnix_ = timing::unixNow().sinceEpoch;
  fell_ = false;
  recorder_.note("engine.start", {{"engine", options_.name}});
}

void Engine::stop() {
  if (!server_) return;
  recorder_.note("engine.stop", {{"engine", options_.name}});
  epoch_ = std::make_shared<int>(*epoch_ + 1);
  for (auto& [block, s] : states_) {
    loop_.cancel(s.life);
    recorder_.note("state.lost", {{"engine", options_.name}, {"marker", s.marker}, {"block", block}});
  }
  states_.clear();
  reads_.clear();
  waiting_.clear();
  running_ = 0;
  memory_ = 0;
  recent_.clear();
  cache_.clear();
  const auto server = std::move(server_);
  server->down();
}

void Engine::cutFrom(std::function<bool(const std::string& host)> filter) {
  frozen_ = std::move(filter);
  if (!server_) return;
  server_->frozen = frozen_;
  if (!frozen_) server_->thaw();
}

void Engine::setTrickle(Micros apart) {
  faults.trickle = apart;
  if (server_) server_->trickle = apart;
}

void Engine::after(Micros delay, const WorkPtr& work, void (Engine::*step)(const WorkPtr&)) {
  loop_.after(delay, [this, work, step, epoch = std::weak_ptr<int>(epoch_)] {
    if (!epoch.expired()) (this->*step)(work);
  });
}

json Engine::tag(const Work& work) const {
  return {{"engine", options_.name},
          {"marker", work.marker},
          {"id", work.id},
          {"job", work.read                ? "read"
                  : work.fetchFrom.empty() ? "whole"
                                           : "write"}};
}

http1::Fields Engine::fields(const std::string& type) const {
  double waitingTokens = 0;
  for (const auto& w : waiting_) waitingTokens += w->read ? w->promptTokens : 0;
  char load[200];
  std::snprintf(load, sizeof load,
                "TEXT named_metrics.kv_cache_usage_perc=%.4f, named_metrics.num_requests_waiting=%zu, "
                "named_metrics.num_tokens_waiting=%.0f",
                std::min(1.0, memory_ / options_.memoryTokens), waiting_.size(), waitingTokens);
  return {{"content-type", type}, {"endpoint-load-metrics", load}};
}

void Engine::onRequest(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  if (faults.reset) return reply->cut();
  const auto& target = request.head.target;
  if (target == "/v1/completions" && request.head.method == "POST") return onCompletion(request, reply);
  if (target == "/v1/kv/release" && request.head.method == "POST") return onRelease(request, reply);
  if (faults.silent || fell_) return;
  if (target == "/health") return reply->send(faults.error ? 500 : 200, fields("text/plain"), "");
  if (target == "/tokenize" && request.head.method == "POST") return onTokenise(request, reply);
  if (target == "/tokenizer_info" && options_.tokeniser && options_.tellsTokeniser)
    return reply->send(200, fields("application/json"),
                       json{{"tokenizer_class", "ByteLevelBPE"},
                            {"name_or_path", options_.tokeniser->name()},
                            {"version", options_.tokeniser->version()}}
                           .dump());
  if (target == "/version") return reply->send(200, fields("application/json"), R"({"version":"stand-in"})");
  reply->send(404, fields("application/json"), R"({"error":{"message":"no such path"}})");
}

std::uint32_t Engine::tokensOf(const std::string& text, bool special) const {
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
  if (faults.silent || fell_) return;
  const json body = json::parse(request.body, nullptr, false);
  const std::string id = body.is_object() ? body.value("request_id", "") : "";
  bool known = false;
  for (auto at = states_.begin(); at != states_.end();) {
    const auto block = at->first;
    const bool same = at++->second.id == id;
    if (same) drop(block, "state.released");
    known |= same;
  }
  if (const auto at = reads_.find(id); at != reads_.end()) {
    at->second->released = true;
    known = true;
  }
  reply->send(known ? 200 : 404, fields("application/json"), "{}");
}

void Engine::drop(std::uint64_t block, const char* how) {
  const auto at = states_.find(block);
  if (at == states_.end()) return;
  memory_ -= at->second.tokens;
  loop_.cancel(at->second.life);
  recorder_.note(how, {{"engine", options_.name}, {"marker", at->second.marker}, {"block", block}});
  states_.erase(at);
}

void Engine::refuse(const WorkPtr& work, int status, const std::string& code, const std::string& text) {
  recorder_.note("engine.refused", [&] {
    auto t = tag(*work);
    t["status"] = status;
    return t;
  }());
  work->over = true;
  work->reply->send(status, fields("application/json"),
                    json{{"error", {{"message", text}, {"code", code}}}}.dump());
}

void Engine::onCompletion(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  auto work = std::make_shared<Work>();
  work->reply = reply;
  work->id = http1::find(request.head.fields, "x-request-id").value_or("");
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("prompt"))
    return reply->send(400, fields("application/json"), R"({"error":{"message":"prompt: is missing"}})");
  if (body["prompt"].is_string()) {
    work->prompt = body["prompt"].get<std::string>();
    work->promptTokens = std::max(1U, tokensOf(work->prompt, body.value("special_tokens", false)));
  } else {
    work->prompt = body["prompt"].dump();
    work->promptTokens = static_cast<std::uint32_t>(body["prompt"].size());
  }
  work->marker = lastWord(work->prompt);
  work->maxTokens = body.value("max_tokens", 16u);
  const json params = body.contains("kv_transfer_params") ? body["kv_transfer_params"] : json::object();
  work->read = params.value("do_remote_decode", false);
  if (params.value("do_remote_prefill", false)) {
    work->fetchFrom = params.value("remote_engine_id", "");
    const auto blocks = params.value("remote_block_ids", json::array());
    work->block = blocks.empty() ? 0 : blocks[0].get<std::uint64_t>();
  }
  recorder_.note("engine.request", tag(*work));
  if (faults.silent || fell_) {  // taken, and never answered
    reply->onGone = [this, work, epoch = std::weak_ptr<int>(epoch_)] {
      if (!epoch.expired()) recorder_.note("engine.closed", tag(*work));
    };
    return;
  }
  if (faults.error ||
      (!faults.failsClass.empty() && work->prompt.find(faults.failsClass) != std::string::npos))
    return refuse(work, 500, "internal", "simulated failure");
  if (faults.badHttp) {
    recorder_.note("engine.closed", tag(*work));
    work->reply->begin(99999, {{"bad", "\x01"}});
    return;
  }
  if (faults.full) return refuse(work, 429, "full", "no room");
  if (work->promptTokens > options_.memoryTokens)
    return refuse(work, 400, "too_long", "the prompt is longer than the memory");
  if (work->read && options_.role == Role::decode)
    return refuse(work, 400, "role", "this engine does not read for others");
  if (!work->fetchFrom.empty()) {
    Engine* reader = finder_(work->fetchFrom);
    if (reader == nullptr || !reader->up() || !reader->holds(work->block))
      return refuse(work, 409, "kv_state_missing", "the state is not there");
  } else if (!work->read && options_.role == Role::prefill) {
    return refuse(work, 400, "role", "this engine does not answer");
  }
  if (!weigh(*work)) return;
  if (running_ >= options_.slots && waiting_.size() >= options_.queue)
    return refuse(work, 429, "full", "no room");
  work->reply->onGone = [this, work, epoch = std::weak_ptr<int>(epoch_)] {
    if (epoch.expired() || work->over) return;
    work->gone = true;
    recorder_.note("engine.closed", tag(*work));
    ++cancelled_;
    if (work->running && work->read && !options_.cancelStops) return;  // the read goes on, and leaves a state
    leave(work);
  };
  if (work->read) reads_[work->id] = work;
  enter(work);
}

// Rule 4 in the stand-in: what reaches a cold engine in any window, against what it can do by now.
double Engine::capacity() const {
  if (options_.warmUpDuration <= 0 || startedAt_ == 0) return 1;
  const double warm =
      static_cast<double>(loop_.now() - startedAt_) / static_cast<double>(options_.warmUpDuration);
  return std::min(1.0, options_.warmUpMinCapacity + (1 - options_.warmUpMinCapacity) * warm);
}

bool Engine::weigh(const Work& work) {
  const Micros now = loop_.now();
  while (!recent_.empty() && recent_.front().first < now - options_.overloadWindow) recent_.pop_front();
  // As seconds of one slot's work.
  const double seconds = work.read || work.fetchFrom.empty()
                             ? work.promptTokens / options_.readPerSecond
                             : 38 * static_cast<double>(options_.tokenInterval) / 1e6;
  recent_.emplace_back(now, seconds);
  if (capacity() >= 1) return true;
  double sum = 0;
  for (const auto& [at, s] : recent_) sum += s;
  const double window = static_cast<double>(options_.overloadWindow) / 1e6;
  if (sum <= options_.overloadMultiple * capacity() * options_.slots * window) return true;
  fell_ = true;
  recorder_.note("engine.fell", {{"engine", options_.name}, {"work", sum}, {"capacity", capacity()}});
  return false;
}

Micros Engine::scaled(double micros) const { return static_cast<Micros>(micros * faults.slow / capacity()); }

void Engine::enter(const WorkPtr& work) {
  if (running_ < options_.slots)
    run(work);
  else
    waiting_.push_back(work);
}

void Engine::run(const WorkPtr& work) {
  ++running_;
  work->running = true;
  if (!work->fetchFrom.empty()) {
    Engine* reader = finder_(work->fetchFrom);
    const double far = reader != nullptr && reader->options_.cell != options_.cell ? options_.farFactor : 1;
    const double link = reader != nullptr ? reader->faults.link : 1;
    return after(scaled(work->promptTokens / options_.linkPerSecond * 1e6 * far * link), work,
                 &Engine::fetched);
  }
  const double kept = static_cast<double>(cache_.find(work->prompt)) /
                      static_cast<double>(std::max<std::size_t>(work->prompt.size(), 1));
  work->cached = static_cast<std::uint32_t>(std::min(1.0, kept) * work->promptTokens);
  const double micros = static_cast<double>(options_.readBase) +
                        (work->promptTokens - work->cached) / options_.readPerSecond * 1e6;
  after(scaled(micros), work, &Engine::readDone);
}

void Engine::readDone(const WorkPtr& work) {
  if (work->over) return;
  cache_.keep(work->prompt);
  if (!work->read) {  // whole: it answers right away
    work->memory = work->promptTokens;
    memory_ += work->memory;
    return writeToken(work);
  }
  const std::uint64_t block = nextBlock_++;
  reads_.erase(work->id);
  if (work->released) {
    recorder_.note("engine.done", tag(*work));
    return leave(work);
  }
  memory_ += work->promptTokens;
  State& s = states_[block];
  s = {work->id, work->marker, static_cast<double>(work->promptTokens), {}};
  s.life = loop_.after(options_.stateLife, [this, block] { drop(block, "state.expired"); });
  recorder_.note("state.held", {{"engine", options_.name}, {"marker", work->marker}, {"block", block}});
  if (!work->gone) recorder_.note("engine.done", tag(*work));
  ++answered_;
  work->over = true;
  const json body{{"id", work->id},
                  {"object", "text_completion"},
                  {"choices", {{{"index", 0}, {"text", " "}, {"finish_reason", "length"}}}},
                  {"usage",
                   {{"prompt_tokens", work->promptTokens},
                    {"completion_tokens", 1},
                    {"prompt_tokens_details", {{"cached_tokens", work->cached}}}}},
                  {"kv_transfer_params",
                   {{"do_remote_prefill", true},
                    {"do_remote_decode", false},
                    {"remote_engine_id", options_.name},
                    {"remote_block_ids", {block}},
                    {"remote_host", options_.host},
                    {"remote_port", port_}}}};
  work->reply->send(200, fields("application/json"), body.dump());
  leave(work);
}

void Engine::fetched(const WorkPtr& work) {
  if (work->over) return;
  Engine* reader = finder_(work->fetchFrom);
  if (reader == nullptr || !reader->up() || !reader->holds(work->block)) {
    refuse(work, 409, "kv_state_missing", "the state is not there any more");
    return leave(work);
  }
  reader->drop(work->block, "state.fetched");
  work->memory = work->promptTokens;
  memory_ += work->memory;
  writeToken(work);
}

void Engine::writeToken(const WorkPtr& work) {
  if (work->over || work->gone) return;
  if (!work->answer) {
    work->answer = std::make_shared<Answer>(work->prompt, work->maxTokens);
    work->reply->begin(200, fields("text/event-stream"));
  }
  if (faults.hugeEvent) return work->reply->piece("data: " + std::string(1 << 20, 'x'));
  if (faults.stallAfter >= 0 && static_cast<int>(work->sent) >= faults.stallAfter) return;
  if (faults.dieAfter >= 0 && static_cast<int>(work->sent) >= faults.dieAfter) {
    recorder_.note("engine.closed", tag(*work));
    const auto reply = work->reply;
    leave(work);
    return reply->cut();
  }
  const Answer& answer = *work->answer;
  if (work->sent < answer.tokens()) {
    const auto i = work->sent++;
    ++memory_;
    ++work->memory;
    const bool last = work->sent == answer.tokens();
    json choice{
        {"index", 0}, {"text", answer.token(i)}, {"token_ids", {answer.id(i)}}, {"finish_reason", nullptr}};
    if (last) choice["finish_reason"] = answer.cut() ? "length" : "stop";
    work->reply->piece(
        event({{"id", work->id}, {"object", "text_completion"}, {"choices", json::array({choice})}}));
    return after(last ? 0 : scaled(static_cast<double>(options_.tokenInterval)), work, &Engine::writeToken);
  }
  work->reply->piece(event({{"id", work->id},
                            {"choices", json::array()},
                            {"usage",
                             {{"prompt_tokens", work->promptTokens},
                              {"completion_tokens", work->sent},
                              {"prompt_tokens_details", {{"cached_tokens", work->cached}}}}}}));
  work->reply->piece("data: [DONE]\n\n");
  ++answered_;
  recorder_.note("engine.done", tag(*work));
  work->over = true;
  work->reply->end();
  leave(work);
}

// Frees what the work took; the next one in the queue starts.
void Engine::leave(const WorkPtr& work) {
  work->over = true;
  if (work->read) reads_.erase(work->id);
  memory_ -= std::exchange(work->memory, 0);
  if (std::exchange(work->running, false)) {
    --running_;
    while (running_ < options_.slots && !waiting_.empty()) {
      const auto next = waiting_.front();
      waiting_.pop_front();
      if (!next->over) run(next);
    }
  } else {
    std::erase(waiting_, work);
  }
}

}  // namespace garnethook::fake_engine
