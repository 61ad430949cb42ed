#include "server/token_counts.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace garnethook::server {
namespace {

using counting::VersionName;
using nlohmann::json;

// The version in what /tokenizer_info tells: the tokeniser's configuration as a JSON object. The name is that
// of the repository it comes from, else its class; the version a revision, where there is one.
std::optional<VersionName> versionIn(const std::string& body) {
  const json info = json::parse(body, nullptr, false);
  if (!info.is_object()) return std::nullopt;
  const auto text = [&](const char* key) {
    const auto at = info.find(key);
    return at != info.end() && at->is_string() ? at->get<std::string>().substr(0, 256) : std::string();
  };
  VersionName out;
  for (const char* key : {"name_or_path", "tokenizer_class"})
    if (out.name.empty()) out.name = text(key);
  for (const char* key : {"version", "revision", "_commit_hash"})
    if (out.version.empty()) out.version = text(key);
  if (out.name.empty()) return std::nullopt;
  return out;
}

class Loading final : public scheduler::Job {
 public:
  explicit Loading(TokeniserFile f) : file(std::move(f)) {}
  std::size_t slice(std::size_t) override {
    tokeniser = tokeniser::loadFile(file.path, file.options);
    return 0;
  }
  TokeniserFile file;
  std::shared_ptr<const tokeniser::Tokeniser> tokeniser;
};

std::string reason(const std::exception_ptr& e) {
  try {
    std::rethrow_exception(e);
  } catch (const std::exception& known) { return known.what(); } catch (...) {
    return "unknown";
  }
}

}  // namespace

TokenCounts::TokenCounts(net::Loop& loop, const CountingSettings& settings, engine::HttpEngineClient& engines,
                         log::Log& log, std::function<void()> changed)
    : loop_(loop),
      engines_(engines),
      log_(log),
      changed_(std::move(changed)),
      book_(settings.versions),
      askAlarm_(loop) {
  if (settings.files.empty()) return;
  for (const auto& f : settings.files) {
    auto loaded = tokeniser::loadFile(f.path, f.options);
    log_.info("tokeniser",
              {{"version", counting::text(f.version)}, {"file", f.path}, {"what", loaded->describe()}});
    book_.load(f.version, std::move(loaded));
  }
  counter_ = std::make_unique<counting::Counter>(
      settings.counter, loop_, [this](std::function<void()> task) { loop_.post(std::move(task)); });
}

TokenCounts::~TokenCounts() { *alive_ = false; }

counting::Counter::Prompt TokenCounts::promptOf(const routing::Request& request) {
  return {request.prompt, request.sharedPrefixBytes, request.session, request.specialTokens};
}

std::uint64_t TokenCounts::count(routing::Request request, Done done) {
  if (!counter_) {
    done(std::move(request));
    return 0;
  }
  const Micros since = loop_.now();
  auto prompt = promptOf(request);
  // A count may take a tenth of the time that there is.
  prompt.timeout = std::max<Micros>(1, request.remaining / 10);
  const auto shared = std::make_shared<routing::Request>(std::move(request));
  return counter_
      ->count(std::move(prompt), book_.inUse(),
              [this, shared, since, done = std::move(done)](const counting::PromptCounts& counts) {
                if (counts.estimate != counting::Estimate::none)
                  log_.info("tokens-estimated", {{"cause", counting::name(counts.estimate)},
                                                 {"octets", shared->prompt->size()},
                                                 {"tokens", counts.main}});
                routing::Request out = filled(std::move(*shared), counts);
                out.remaining -= loop_.now() - since;
                done(std::move(out));
              })
      .value;
}

routing::Request TokenCounts::filled(routing::Request request, const counting::PromptCounts& counts) const {
  request.estimated = counts.exact.empty();
  request.promptTokens = counts.main;
  request.sharedPrefixTokens = request.sharedPrefixKey.empty() ? 0 : std::min(counts.mainShared, counts.main);
  request.counts.clear();
  for (const auto& c : counts.exact)
    request.counts.push_back(
        {c.number, c.prompt, request.sharedPrefixKey.empty() ? 0 : std::min(c.shared, c.prompt)});
  return request;
}

void TokenCounts::cancel(std::uint64_t ticket) {
  if (counter_) counter_->cancel({ticket});
}

// ---- versions ----

void TokenCounts::onList(const membership::EndpointMap& engines) {
  if (!counter_) return;
  const Micros now = loop_.now();
  std::set<EndpointId> present;
  for (const auto& [name, e] : engines) {
    present.insert(e.id);
    std::optional<VersionName> versionReported;
    if (!e.tokeniser.empty()) versionReported = VersionName{e.tokeniser, e.tokeniserVersion};
    book_.listed(e.id, e.startedAt.sinceEpoch, versionReported, now);
  }
  for (const EndpointId id : listed_)
    if (!present.contains(id)) book_.gone(id);
  listed_.assign(present.begin(), present.end());
  edition_ = book_.edition();
  ask();
}

void TokenCounts::ask() {
  const Micros now = loop_.now();
  for (const EndpointId id : book_.enginesToQuery(now)) {
    if (engines_.tokeniserPath().empty()) {
      book_.versionUnsupported(id, now);
      continue;
    }
    engines_.fetch(id, engines_.tokeniserPath(),
                   [this, id, alive = alive_](int status, const std::string& body) {
                     if (!*alive) return;
                     const auto version = status == 200 ? versionIn(body) : std::nullopt;
                     if (version)
                       book_.versionReported(id, *version, loop_.now());
                     else if (status == 0 || status >= 500)
                       book_.versionQueryFailed(id, loop_.now());
                     else
                       book_.versionUnsupported(id, loop_.now());
                     look();
                     ask();
                   });
  }
  if (const auto next = book_.nextQueryTime())
    askAlarm_.start(std::max<Micros>(1000, *next - loop_.now()), [this] { ask(); });
  look();
}

void TokenCounts::look() {
  if (edition_ == book_.edition()) return;
  edition_ = book_.edition();
  changed_();
  recount();
}

// Requests that wait get the counts of tokenisers that came into use after they were counted.
void TokenCounts::recount() {
  std::vector<std::uint64_t> now;
  const auto tokenisers = book_.inUse();
  for (const auto& t : tokenisers) now.push_back(t.number);
  std::sort(now.begin(), now.end());
  const bool grew = !std::includes(inUse_.begin(), inUse_.end(), now.begin(), now.end());
  inUse_ = std::move(now);
  if (!grew || router_ == nullptr) return;
  std::vector<std::pair<RequestId, routing::Request>> waiting;
  router_->forEachUnanswered([&](RequestId id, const routing::Request& request) {
    if (request.prompt) waiting.emplace_back(id, request);
  });
  for (auto& [id, request] : waiting)
    counter_->count(promptOf(request), tokenisers,
                    [this, id = id, request = request](const counting::PromptCounts& counts) {
                      if (!counts.exact.empty())
                        router_->updateTokenCounts(id, filled(request, counts).counts);
                    });
  if (!waiting.empty()) log_.info("recount", {{"requests", waiting.size()}});
}

void TokenCounts::fill(EndpointUpdate& list) const {
  if (!counter_) return;
  for (auto& e : list.entries) {
    const auto basis = book_.basis(e.id);
    e.tokeniser = basis.number;
    e.promptFactor = basis.factor;
  }
}

void TokenCounts::onPromptRead(EndpointId server, const routing::Request& request, double tokens) {
  if (!counter_ || !request.prompt) return;
  const std::uint64_t number = book_.basis(server).number;
  std::optional<double> exact;
  for (const auto& c : request.counts)
    if (c.tokeniser == number) exact = c.promptTokens;
  if (book_.recordReportedTokens(server, request.promptTokens, exact, number, tokens))
    log_.warn("tokeniser-doubted",
              {{"engine", server.value}, {"counted", exact.value_or(0)}, {"told", tokens}});
  // The router is in the middle of an event; what it is told of this comes in the next turn.
  if (edition_ != book_.edition())
    loop_.post([this, alive = alive_] {
      if (*alive) look();
    });
}

void TokenCounts::reload(const std::vector<TokeniserFile>& files) {
  if (!counter_) return;
  for (const auto& f : files) {
    const auto job = std::make_shared<Loading>(f);
    const auto taken = counter_->workers().submit(
        scheduler::Level::background, 1, job, [this, job](std::exception_ptr error) {
          if (error) {
            log_.warn("tokeniser",
                      {{"version", counting::text(job->file.version)}, {"error", reason(error)}});
            return;
          }
          book_.load(job->file.version, job->tokeniser);
          log_.info("tokeniser", {{"version", counting::text(job->file.version)}, {"file", job->file.path}});
          look();
        });
    if (!taken)
      log_.warn("tokeniser", {{"file", f.path}, {"error", "too much background work waits; reload again"}});
  }
}

std::string TokenCounts::summary() const {
  if (!counter_) return {};
  const auto& c = counter_->counters();
  return "prompts counted " + std::to_string(c.prompts) + ", remembered " + std::to_string(c.remembered) +
         ", on workers " + std::to_string(c.onWorkers) + ", estimated " +
         std::to_string(c.estimatedFull + c.estimatedLate + c.estimatedFailed) + " (queue full " +
         std::to_string(c.estimatedFull) + ", late " + std::to_string(c.estimatedLate) + ", failed " +
         std::to_string(c.estimatedFailed) + "); octets encoded " + std::to_string(c.bytesEncoded) + " of " +
         std::to_string(c.bytes) + "; engines by estimate " + std::to_string(book_.estimated());
}

}  // namespace garnethook::server
