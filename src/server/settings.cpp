#include "server/settings.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace garnethook::server {
namespace {

using config::Node;

constexpr double kHour = 3'600'000;

RequestClass readClass(const Node& n, std::string& name) {
  RequestClass c;
  name = n.text("name");
  c.ttftObjective = n.micros("aim_ms", 1000, 1, kHour);
  c.ttftObjectivePerKiloToken = n.micros("aim_ms_per_1000_tokens", 0, 0, kHour);
  c.deadline = n.micros("deadline_ms", 30'000, 1, kHour);
  c.timePerOutputTokenObjective = n.micros("token_aim_ms", 50, 0.001, kHour);
  c.priorityWeight = n.number("worth", 1, 0, 1e9);
  c.lateValueShare = n.number("late_share", 0, 0, 1);
  c.idempotency = static_cast<Idempotency>(n.choice("effect", {"safe", "keyed", "unsafe"}, 0));
  c.deduplicationScope =
      static_cast<DeduplicationScope>(n.choice("repeat_scope", {"everywhere", "zone", "cell"}, 0));
  c.deduplicationWindow = n.micros("repeat_window_ms", 0, 0, kHour);
  n.done();
  return c;
}

TokeniserFile readTokeniser(const Node& n) {
  TokeniserFile f;
  f.version.name = n.text("name");
  f.version.version = n.text("version", "");
  f.path = n.text("file");
  f.options.format =
      static_cast<tokeniser::Format>(n.choice("format", {"ranks", "huggingface", "sentencepiece"}, 1));
  f.options.pattern = n.text("pattern", "");
  if (f.options.format != tokeniser::Format::ranks && !f.options.pattern.empty())
    n.failAt("pattern", "belongs to ranks files only");
  const Node specials = n.object("special_tokens");
  if (specials.raw().is_object())
    for (const auto& [text, id] : specials.raw().items())
      f.options.specialTokens.emplace_back(text, static_cast<tokeniser::TokenId>(specials.integer(
                                                     text, 0, 0, tokeniser::Vocabulary::kMostTokens)));
  specials.done();
  if (f.options.format != tokeniser::Format::ranks && !f.options.specialTokens.empty())
    n.failAt("special_tokens", "belongs to ranks files only");
  for (const auto& [key, ids] :
       {std::pair{"before", &f.options.before}, std::pair{"behind", &f.options.behind}})
    for (const Node& id : n.array(key)) {
      if (!id.raw().is_number_unsigned() || id.raw() >= tokeniser::Vocabulary::kMostTokens)
        n.failAt(key, "is no list of token ids");
      ids->push_back(id.raw().get<tokeniser::TokenId>());
    }
  if (f.options.format == tokeniser::Format::huggingFace &&
      !(f.options.before.empty() && f.options.behind.empty()))
    n.failAt("before", "a tokenizer.json tells this itself");
  n.done();
  return f;
}

void unique(const std::vector<std::string>& names, const Node& root, std::string_view key) {
  std::set<std::string> seen;
  for (const auto& name : names)
    if (!seen.insert(name).second) root.failAt(key, "\"" + name + "\" stands twice");
}

}  // namespace

RouterSettings readSettings(const Node& root, const std::string& listPath) {
  RouterSettings out;
  Settings& s = out.routing.settings;

  out.listen = root.text("listen", out.listen);
  try {
    static_cast<void>(Poco::Net::SocketAddress(out.listen));
  } catch (const Poco::Exception& e) { root.failAt("listen", "no address: " + e.displayText()); }

  for (const Node& n : root.array("classes")) {
    std::string name;
    s.classes.push_back(readClass(n, name));
    out.classNames.push_back(name);
  }
  if (s.classes.empty()) root.failAt("classes", "at least one class of requests is needed");
  unique(out.classNames, root, "classes");
  for (const Node& n : root.array("kinds")) {
    EndpointKind kind;
    out.names.kinds.push_back(n.text("name"));
    kind.role = static_cast<Role>(n.choice("role", {"reader", "writer", "both"}, 2));
    kind.memoryTokens = n.number("memory_tokens", 0, 0, 1e12);
    n.done();
    s.kinds.push_back(kind);
  }
  if (s.kinds.empty()) root.failAt("kinds", "at least one kind of engine is needed");
  unique(out.names.kinds, root, "kinds");

  out.names.zones = root.texts("zones");
  if (out.names.zones.empty()) out.names.zones.emplace_back("");
  unique(out.names.zones, root, "zones");
  s.zones = out.names.zones.size();
  const std::string own = root.text("zone", out.names.zones.front());
  const auto zone = std::find(out.names.zones.begin(), out.names.zones.end(), own);
  if (zone == out.names.zones.end()) root.failAt("zone", "\"" + own + "\" is not among the zones");
  s.ownZone = static_cast<std::size_t>(zone - out.names.zones.begin());

  s.routers = static_cast<std::size_t>(root.integer("routers", 1, 1, 100'000));
  s.maxAttempts = static_cast<int>(root.integer("attempts", 4, 1, 100));
  s.decodeEndpointsPrefill = root.flag("writers_read", false);
  out.routing.maxPendingRequests =
      static_cast<std::size_t>(root.integer("open_requests", 20'000, 1, 10'000'000));
  out.stopWithin = root.micros("stop_within_ms", 10'000, 0, kHour);

  const Node release = root.object("release");
  s.kvReleaseTimeout = release.micros("within_ms", 500, 1, kHour);
  out.routing.kvReservations.kvReleaseTimeout = s.kvReleaseTimeout;
  out.routing.kvReservations.maxReleaseAttempts = static_cast<int>(release.integer("tries", 40, 1, 1000));
  out.routing.kvReservations.releaseRetryDelay = release.micros("pause_ms", 100, 1, kHour);
  release.done();

  const Node retry = root.object("retry_after");
  s.passesRetryAfter = retry.flag("tell", true);
  s.maxRetryAfter = retry.micros("most_ms", 10'000, 1, kHour);
  retry.done();

  const Node cold = root.object("cold_engines");
  s.warmUpMinCapacity = cold.number("from", 1, 0, 1);
  s.warmUpDuration = cold.micros("warm_within_ms", 0, 0, kHour);
  s.overloadMultiple = cold.number("fall_multiple", 0, 0, 1e6);
  s.overloadWindow = cold.micros("fall_after_ms", 0, 0, kHour);
  cold.done();

  const Node streams = root.object("streams");
  out.routing.streamGuard.stallTimeout = streams.micros("silence_ms", 10'000, 1, kHour);
  out.routing.streamGuard.deadlineMargin = streams.micros("deadline_margin_ms", 50, 0, kHour);
  streams.done();

  const Node engines = root.object("engines");
  out.listPath = listPath.empty() ? engines.text("list") : (engines.has("list"), listPath);
  out.listPoll = engines.micros("poll_ms", 250, 10, kHour);
  out.stateFolder = engines.text("state_folder", "");
  out.engine.model = engines.text("model", out.engine.model);
  out.engine.completionsPath = engines.text("completions_path", out.engine.completionsPath);
  out.engine.releasePath = engines.text("release_path", "");
  out.engine.probePath = engines.text("probe_path", out.engine.probePath);
  out.engine.tokeniserPath = engines.text("tokeniser_path", out.engine.tokeniserPath);
  out.engine.sourceAddress = engines.text("source_address", "");
  s.canProbe = engines.flag("probe", true);
  s.canCancel = engines.flag("cancel", true);
  out.engine.connectTimeout = engines.micros("connect_timeout_ms", 250, 1, kHour);
  s.connectTimeout = out.engine.connectTimeout;
  out.engine.controlTimeout = engines.micros("control_timeout_ms", 400, 1, kHour);
  out.engine.connections = static_cast<std::size_t>(engines.integer("connections", 1024, 1, 1'000'000));
  out.engine.idle = static_cast<std::size_t>(engines.integer("idle_connections", 64, 0, 1'000'000));
  out.engine.idleTimeout = engines.micros("idle_timeout_ms", 30'000, 1, kHour);
  out.engine.eventBytes = static_cast<std::size_t>(engines.integer("event_bytes", 256 << 10, 1024, 1 << 30));
  out.engine.answerBytes = static_cast<std::size_t>(engines.integer("answer_bytes", 4 << 20, 1024, 1 << 30));
  engines.done();

  const Node grpc = root.object("grpc");
  out.grpc.http2.streams =
      static_cast<std::uint32_t>(grpc.integer("streams_per_connection", 1000, 1, 1'000'000));
  out.grpc.connections = static_cast<std::size_t>(grpc.integer("connections", 20'000, 1, 10'000'000));
  out.grpc.messageBytes = static_cast<std::size_t>(grpc.integer("message_bytes", 8 << 20, 1024, 1 << 30));
  out.grpc.waitingMost = static_cast<std::size_t>(grpc.integer("waiting_bytes", 1 << 20, 1024, 1 << 30));
  out.grpc.prefaceWithin = grpc.micros("preface_within_ms", 10'000, 1, kHour);
  out.grpc.idleWithin = grpc.micros("idle_within_ms", 300'000, 1, 24 * kHour);
  grpc.done();

  out.grpc.deadlineMargin = out.routing.streamGuard.deadlineMargin;
  const Node requests = root.object("requests");
  out.intake.maxOutput = static_cast<std::uint32_t>(requests.integer("output_tokens", 1024, 1, 10'000'000));
  out.intake.mostOutput =
      static_cast<std::uint32_t>(requests.integer("most_output_tokens", 32'768, 1, 10'000'000));
  out.intake.promptBytes = static_cast<std::size_t>(requests.integer("prompt_bytes", 4 << 20, 1, 1 << 30));
  out.intake.longest = requests.micros("longest_deadline_ms", kHour, 1, 24 * kHour);
  out.intake.charactersPerToken = requests.number("characters_per_token", 4, 0.1, 100);
  requests.done();
  out.intake.classNames = out.classNames;
  for (const auto& c : s.classes) out.intake.deadlines.push_back(c.deadline);

  std::set<counting::VersionName> versions;
  for (const Node& n : root.array("tokenisers")) {
    out.counting.files.push_back(readTokeniser(n));
    if (!versions.insert(out.counting.files.back().version).second)
      n.failAt("version", "\"" + counting::text(out.counting.files.back().version) + "\" stands twice");
  }
  const Node counting = root.object("counting");
  auto& c = out.counting.counter;
  c.pool.queue.workers = static_cast<unsigned>(counting.integer("workers", 2, 1, 256));
  c.pool.queue.budgets[0].jobs =
      static_cast<std::size_t>(counting.integer("waiting_prompts", 1024, 1, 1'000'000));
  c.pool.queue.budgets[0].cost =
      static_cast<std::size_t>(counting.number("waiting_mb", 64, 0.001, 1e5) * 1e6);
  c.store.countBytes = static_cast<std::size_t>(counting.number("count_cache_mb", 32, 0.1, 1e5) * 1e6);
  c.store.sessionBytes = static_cast<std::size_t>(counting.number("session_ids_mb", 64, 0.1, 1e5) * 1e6);
  c.sessionIds = counting.flag("session_ids", false);
  c.inlineBytes = static_cast<std::size_t>(counting.integer("inline_bytes", 2048, 0, 1 << 20));
  c.timeout = counting.micros("within_ms", 200, 1, kHour);
  c.charactersPerToken = out.intake.charactersPerToken;
  out.counting.versions.queryInterval = counting.micros("ask_every_ms", 5000, 10, kHour);
  const std::string usual = counting.text("usual", "");
  const std::string usualVersion = counting.text("usual_version", "");
  if (!usual.empty()) {
    out.counting.versions.usual = counting::VersionName{usual, usualVersion};
    if (!versions.contains(*out.counting.versions.usual))
      counting.failAt("usual", "is not among the tokenisers");
  }
  counting.done();

  const Node log = root.object("log");
  const std::vector<std::string> levels{"debug", "info", "warn", "error"};
  out.log.level = levels[log.choice("level", levels, 1)];
  out.log.file = log.text("file", "");
  log.done();
  root.done();

  try {  // what the decision module itself asks of its settings
    static_cast<void>(RoutingPolicy(s, 1));
  } catch (const std::invalid_argument& e) { root.fail(e.what()); }
  return out;
}

}  // namespace garnethook::server
