#include "server/settings.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace garnethook::server {
namespace {

using config::Node;

constexpr double kHourMs = 3'600'000;

RequestClass readClass(const Node& node, std::string& name) {
  RequestClass requestClass;
  name = node.text("name");
  requestClass.ttftObjective = node.micros("aim_ms", 1000, 1, kHourMs);
  requestClass.ttftObjectivePerKiloToken = node.micros("aim_ms_per_1000_tokens", 0, 0, kHourMs);
  requestClass.deadline = node.micros("deadline_ms", 30'000, 1, kHourMs);
  requestClass.timePerOutputTokenObjective = node.micros("token_aim_ms", 50, 0.001, kHourMs);
  requestClass.priorityWeight = node.number("worth", 1, 0, 1e9);
  requestClass.lateValueShare = node.number("late_share", 0, 0, 1);
  requestClass.idempotency = static_cast<Idempotency>(node.choice("effect", {"safe", "keyed", "unsafe"}, 0));
  requestClass.deduplicationScope =
      static_cast<DeduplicationScope>(node.choice("repeat_scope", {"everywhere", "zone", "cell"}, 0));
  requestClass.deduplicationWindow = node.micros("repeat_window_ms", 0, 0, kHourMs);
  node.done();
  return requestClass;
}

TokeniserFile readTokeniser(const Node& node) {
  TokeniserFile tokeniserFile;
  tokeniserFile.version.name = node.text("name");
  tokeniserFile.version.version = node.text("version", "");
  tokeniserFile.path = node.text("file");
  tokeniserFile.options.format =
      static_cast<tokeniser::Format>(node.choice("format", {"ranks", "huggingface", "sentencepiece"}, 1));
  tokeniserFile.options.pattern = node.text("pattern", "");
  if (tokeniserFile.options.format != tokeniser::Format::ranks && !tokeniserFile.options.pattern.empty())
    node.failAt("pattern", "applies to ranks files only");
  const Node specials = node.object("special_tokens");
  if (specials.raw().is_object())
    for (const auto& [text, id] : specials.raw().items())
      tokeniserFile.options.specialTokens.emplace_back(
          text,
          static_cast<tokeniser::TokenId>(specials.integer(text, 0, 0, tokeniser::Vocabulary::kMostTokens)));
  specials.done();
  if (tokeniserFile.options.format != tokeniser::Format::ranks &&
      !tokeniserFile.options.specialTokens.empty())
    node.failAt("special_tokens", "applies to ranks files only");
  for (const auto& [key, ids] : {std::pair{"before", &tokeniserFile.options.before},
                                 std::pair{"behind", &tokeniserFile.options.behind}})
    for (const Node& id : node.array(key)) {
      if (!id.raw().is_number_unsigned() || id.raw() >= tokeniser::Vocabulary::kMostTokens)
        node.failAt(key, "must be a list of token ids");
      ids->push_back(id.raw().get<tokeniser::TokenId>());
    }
  if (tokeniserFile.options.format == tokeniser::Format::huggingFace &&
      !(tokeniserFile.options.before.empty() && tokeniserFile.options.behind.empty()))
    node.failAt("before", "must be empty: tokenizer.json defines these tokens itself");
  node.done();
  return tokeniserFile;
}

void requireUnique(const std::vector<std::string>& names, const Node& root, std::string_view key) {
  std::set<std::string> seen;
  for (const auto& name : names)
    if (!seen.insert(name).second) root.failAt(key, "\"" + name + "\" is listed twice");
}

}  // namespace

RouterSettings readSettings(const Node& root, const std::string& listPath) {
  RouterSettings result;
  Settings& policySettings = result.routing.settings;

  result.listen = root.text("listen", result.listen);
  try {
    static_cast<void>(Poco::Net::SocketAddress(result.listen));
  } catch (const Poco::Exception& e) { root.failAt("listen", "invalid address: " + e.displayText()); }

  for (const Node& node : root.array("classes")) {
    std::string name;
    policySettings.classes.push_back(readClass(node, name));
    result.classNames.push_back(name);
  }
  if (policySettings.classes.empty()) root.failAt("classes", "at least one request class is required");
  requireUnique(result.classNames, root, "classes");
  for (const Node& node : root.array("kinds")) {
    EndpointKind kind;
    result.names.kinds.push_back(node.text("name"));
    kind.role = static_cast<Role>(node.choice("role", {"reader", "writer", "both"}, 2));
    kind.memoryTokens = node.number("memory_tokens", 0, 0, 1e12);
    node.done();
    policySettings.kinds.push_back(kind);
  }
  if (policySettings.kinds.empty()) root.failAt("kinds", "at least one kind of engine is required");
  requireUnique(result.names.kinds, root, "kinds");

  result.names.zones = root.texts("zones");
  if (result.names.zones.empty()) result.names.zones.emplace_back("");
  requireUnique(result.names.zones, root, "zones");
  policySettings.zones = result.names.zones.size();
  const std::string ownZoneName = root.text("zone", result.names.zones.front());
  const auto zone = std::find(result.names.zones.begin(), result.names.zones.end(), ownZoneName);
  if (zone == result.names.zones.end())
    root.failAt("zone", "\"" + ownZoneName + "\" is not one of the zones");
  policySettings.ownZone = static_cast<std::size_t>(zone - result.names.zones.begin());

  policySettings.routers = static_cast<std::size_t>(root.integer("routers", 1, 1, 100'000));
  policySettings.maxAttempts = static_cast<int>(root.integer("attempts", 4, 1, 100));
  policySettings.maxUncountedRejections =
      static_cast<int>(root.integer("refused_attempts", policySettings.maxAttempts, 0, 100));
  policySettings.decodeEndpointsPrefill = root.flag("writers_read", false);
  result.routing.maxPendingRequests =
      static_cast<std::size_t>(root.integer("open_requests", 20'000, 1, 10'000'000));
  result.shutdownTimeout = root.micros("stop_within_ms", 10'000, 0, kHourMs);

  const Node release = root.object("release");
  policySettings.kvReleaseTimeout = release.micros("within_ms", 500, 1, kHourMs);
  result.routing.kvReservations.kvReleaseTimeout = policySettings.kvReleaseTimeout;
  result.routing.kvReservations.maxReleaseAttempts = static_cast<int>(release.integer("tries", 40, 1, 1000));
  result.routing.kvReservations.releaseRetryDelay = release.micros("pause_ms", 100, 1, kHourMs);
  release.done();

  const Node retryAfter = root.object("retry_after");
  policySettings.passesRetryAfter = retryAfter.flag("tell", true);
  policySettings.maxRetryAfter = retryAfter.micros("most_ms", 10'000, 1, kHourMs);
  retryAfter.done();

  const Node coldEngines = root.object("cold_engines");
  policySettings.warmUpMinCapacity = coldEngines.number("from", 1, 0, 1);
  policySettings.warmUpDuration = coldEngines.micros("warm_within_ms", 0, 0, kHourMs);
  policySettings.overloadMultiple = coldEngines.number("fall_multiple", 0, 0, 1e6);
  policySettings.overloadWindow = coldEngines.micros("fall_after_ms", 0, 0, kHourMs);
  coldEngines.done();

  const Node streams = root.object("streams");
  result.routing.streamGuard.stallTimeout = streams.micros("silence_ms", 10'000, 1, kHourMs);
  result.routing.streamGuard.deadlineMargin = streams.micros("deadline_margin_ms", 50, 0, kHourMs);
  streams.done();

  const Node engines = root.object("engines");
  result.listPath = listPath.empty() ? engines.text("list") : (engines.has("list"), listPath);
  result.listPollInterval = engines.micros("poll_ms", 250, 10, kHourMs);
  result.stateFolder = engines.text("state_folder", "");
  result.engine.model = engines.text("model", result.engine.model);
  result.engine.completionsPath = engines.text("completions_path", result.engine.completionsPath);
  result.engine.releasePath = engines.text("release_path", "");
  result.engine.probePath = engines.text("probe_path", result.engine.probePath);
  result.engine.tokeniserPath = engines.text("tokeniser_path", result.engine.tokeniserPath);
  result.engine.sourceAddress = engines.text("source_address", "");
  policySettings.canProbe = engines.flag("probe", true);
  policySettings.canCancel = engines.flag("cancel", true);
  result.engine.connectTimeout = engines.micros("connect_timeout_ms", 250, 1, kHourMs);
  policySettings.connectTimeout = result.engine.connectTimeout;
  result.engine.controlTimeout = engines.micros("control_timeout_ms", 400, 1, kHourMs);
  result.engine.connections = static_cast<std::size_t>(engines.integer("connections", 1024, 1, 1'000'000));
  result.engine.idle = static_cast<std::size_t>(engines.integer("idle_connections", 64, 0, 1'000'000));
  result.engine.idleTimeout = engines.micros("idle_timeout_ms", 30'000, 1, kHourMs);
  result.engine.eventBytes =
      static_cast<std::size_t>(engines.integer("event_bytes", 256 << 10, 1024, 1 << 30));
  result.engine.responseBytes =
      static_cast<std::size_t>(engines.integer("answer_bytes", 4 << 20, 1024, 1 << 30));
  engines.done();

  const Node grpc = root.object("grpc");
  result.grpc.http2.streams =
      static_cast<std::uint32_t>(grpc.integer("streams_per_connection", 1000, 1, 1'000'000));
  result.grpc.maxConnections = static_cast<std::size_t>(grpc.integer("connections", 20'000, 1, 10'000'000));
  result.grpc.maxMessageBytes =
      static_cast<std::size_t>(grpc.integer("message_bytes", 8 << 20, 1024, 1 << 30));
  result.grpc.maxQueuedResponseBytes =
      static_cast<std::size_t>(grpc.integer("waiting_bytes", 1 << 20, 1024, 1 << 30));
  result.grpc.prefaceTimeout = grpc.micros("preface_within_ms", 10'000, 1, kHourMs);
  result.grpc.idleConnectionTimeout = grpc.micros("idle_within_ms", 300'000, 1, 24 * kHourMs);
  grpc.done();

  result.grpc.deadlineMargin = result.routing.streamGuard.deadlineMargin;
  const Node requests = root.object("requests");
  result.requestDecoder.defaultMaxOutputTokens =
      static_cast<std::uint32_t>(requests.integer("output_tokens", 1024, 1, 10'000'000));
  result.requestDecoder.maxOutputTokensLimit =
      static_cast<std::uint32_t>(requests.integer("most_output_tokens", 32'768, 1, 10'000'000));
  result.requestDecoder.maxPromptBytes =
      static_cast<std::size_t>(requests.integer("prompt_bytes", 4 << 20, 1, 1 << 30));
  result.requestDecoder.maxDeadline = requests.micros("longest_deadline_ms", kHourMs, 1, 24 * kHourMs);
  result.requestDecoder.charactersPerToken = requests.number("characters_per_token", 4, 0.1, 100);
  requests.done();
  result.requestDecoder.classNames = result.classNames;
  for (const auto& requestClass : policySettings.classes)
    result.requestDecoder.defaultDeadlines.push_back(requestClass.deadline);

  std::set<counting::VersionName> versions;
  for (const Node& node : root.array("tokenisers")) {
    result.counting.files.push_back(readTokeniser(node));
    if (!versions.insert(result.counting.files.back().version).second)
      node.failAt("version",
                  "\"" + counting::text(result.counting.files.back().version) + "\" is listed twice");
  }
  const Node counting = root.object("counting");
  auto& counterOptions = result.counting.counter;
  counterOptions.pool.queue.workers = static_cast<unsigned>(counting.integer("workers", 2, 1, 256));
  counterOptions.pool.queue.budgets[0].jobs =
      static_cast<std::size_t>(counting.integer("waiting_prompts", 1024, 1, 1'000'000));
  counterOptions.pool.queue.budgets[0].cost =
      static_cast<std::size_t>(counting.number("waiting_mb", 64, 0.001, 1e5) * 1e6);
  counterOptions.store.countBytes =
      static_cast<std::size_t>(counting.number("count_cache_mb", 32, 0.1, 1e5) * 1e6);
  counterOptions.store.sessionBytes =
      static_cast<std::size_t>(counting.number("session_ids_mb", 64, 0.1, 1e5) * 1e6);
  counterOptions.sessionIds = counting.flag("session_ids", false);
  counterOptions.inlineBytes = static_cast<std::size_t>(counting.integer("inline_bytes", 2048, 0, 1 << 20));
  counterOptions.timeout = counting.micros("within_ms", 200, 1, kHourMs);
  counterOptions.charactersPerToken = result.requestDecoder.charactersPerToken;
  result.counting.versions.queryInterval = counting.micros("ask_every_ms", 5000, 10, kHourMs);
  const std::string usualName = counting.text("usual", "");
  const std::string usualVersion = counting.text("usual_version", "");
  if (!usualName.empty()) {
    result.counting.versions.usual = counting::VersionName{usualName, usualVersion};
    if (!versions.contains(*result.counting.versions.usual))
      counting.failAt("usual", "is not one of the tokenisers");
  }
  counting.done();

  const Node log = root.object("log");
  const std::vector<std::string> levels{"debug", "info", "warn", "error"};
  result.log.level = levels[log.choice("level", levels, 1)];
  result.log.file = log.text("file", "");
  log.done();
  root.done();

  try {  // validation by the routing policy itself
    static_cast<void>(RoutingPolicy(policySettings, 1));
  } catch (const std::invalid_argument& e) { root.fail(e.what()); }
  return result;
}

}  // namespace garnethook::server
