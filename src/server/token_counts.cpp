#include "server/token_counts.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace garnethook::server {
namespace {

using counting::VersionName;
using nlohmann::json;

// Extracts the tokeniser's name and version from a response of /tokenizer_info, which is the tokeniser's
// configuration as a JSON object. The name is the repository of the tokeniser, or else its class; the version
// is the revision, if present.
std::optional<VersionName> parseTokenizerInfo(const std::string& body) {
  const json info = json::parse(body, nullptr, false);
  if (!info.is_object()) return std::nullopt;
  const auto stringAt = [&](const char* key) {
    const auto found = info.find(key);
    return found != info.end() && found->is_string() ? found->get<std::string>().substr(0, 256)
                                                     : std::string();
  };
  VersionName result;
  for (const char* key : {"name_or_path", "tokenizer_class"})
    if (result.name.empty()) result.name = stringAt(key);
  for (const char* key : {"version", "revision", "_commit_hash"})
    if (result.version.empty()) result.version = stringAt(key);
  if (result.name.empty()) return std::nullopt;
  return result;
}

class LoadJob final : public scheduler::Job {
 public:
  explicit LoadJob(TokeniserFile source) : file(std::move(source)) {}
  std::size_t slice(std::size_t) override {
    tokeniser = tokeniser::loadFile(file.path, file.options);
    return 0;
  }
  TokeniserFile file;
  std::shared_ptr<const tokeniser::Tokeniser> tokeniser;
};

std::string errorText(const std::exception_ptr& exceptionPointer) {
  try {
    std::rethrow_exception(exceptionPointer);
  } catch (const std::exception& known) { return known.what(); } catch (...) {
    return "unknown";
  }
}

}  // namespace

TokenCounts::TokenCounts(net::Loop& loop, const CountingSettings& settings, engine::HttpEngineClient& engines,
                         log::Log& log, std::function<void()> onVersionChange)
    : loop_(loop),
      engines_(engines),
      log_(log),
      onVersionChange_(std::move(onVersionChange)),
      versionBook_(settings.versions),
      queryAlarm_(loop) {
  if (settings.files.empty()) return;
  for (const auto& tokeniserFile : settings.files) {
    auto loaded = tokeniser::loadFile(tokeniserFile.path, tokeniserFile.options);
    log_.info("tokeniser", {{"version", counting::text(tokeniserFile.version)},
                            {"file", tokeniserFile.path},
                            {"what", loaded->describe()}});
    versionBook_.load(tokeniserFile.version, std::move(loaded));
  }
  counter_ = std::make_unique<counting::Counter>(
      settings.counter, loop_, [this](std::function<void()> task) { loop_.post(std::move(task)); });
}

TokenCounts::~TokenCounts() { *alive_ = false; }

counting::Counter::Prompt TokenCounts::toPrompt(const routing::Request& request) {
  return {request.prompt, request.sharedPrefixBytes, request.session, request.specialTokens};
}

std::uint64_t TokenCounts::count(routing::Request request, Done done) {
  if (!counter_) {
    done(std::move(request));
    return 0;
  }
  const Micros startedCounting = loop_.now();
  auto prompt = toPrompt(request);
  // Counting may take at most a tenth of the time that remains for the request.
  prompt.timeout = std::max<Micros>(1, request.remaining / 10);
  const auto sharedRequest = std::make_shared<routing::Request>(std::move(request));
  return counter_
      ->count(std::move(prompt), versionBook_.inUse(),
              [this, sharedRequest, startedCounting,
               done = std::move(done)](const counting::PromptCounts& counts) {
                if (counts.estimate != counting::Estimate::none)
                  log_.info("tokens-estimated", {{"cause", counting::name(counts.estimate)},
                                                 {"octets", sharedRequest->prompt->size()},
                                                 {"tokens", counts.main}});
                routing::Request countedRequest = withCounts(std::move(*sharedRequest), counts);
                countedRequest.remaining -= loop_.now() - startedCounting;
                done(std::move(countedRequest));
              })
      .value;
}

routing::Request TokenCounts::withCounts(routing::Request request,
                                         const counting::PromptCounts& counts) const {
  request.estimated = counts.exact.empty();
  request.promptTokens = counts.main;
  request.sharedPrefixTokens = request.sharedPrefixKey.empty() ? 0 : std::min(counts.mainShared, counts.main);
  request.counts.clear();
  for (const auto& versionCount : counts.exact)
    request.counts.push_back(
        {versionCount.number, versionCount.prompt,
         request.sharedPrefixKey.empty() ? 0 : std::min(versionCount.shared, versionCount.prompt)});
  return request;
}

void TokenCounts::cancel(std::uint64_t ticket) {
  if (counter_) counter_->cancel({ticket});
}

// ---- tokeniser versions ----

void TokenCounts::onEndpointList(const membership::EndpointMap& engines) {
  if (!counter_) return;
  const Micros now = loop_.now();
  std::set<EndpointId> present;
  for (const auto& [name, engineSpec] : engines) {
    present.insert(engineSpec.id);
    std::optional<VersionName> reported;
    if (!engineSpec.tokeniser.empty())
      reported = VersionName{engineSpec.tokeniser, engineSpec.tokeniserVersion};
    versionBook_.listed(engineSpec.id, engineSpec.startedAt.sinceEpoch, reported, now);
  }
  for (const EndpointId id : listedEndpoints_)
    if (!present.contains(id)) versionBook_.gone(id);
  listedEndpoints_.assign(present.begin(), present.end());
  publishedEdition_ = versionBook_.edition();
  queryVersions();
}

void TokenCounts::queryVersions() {
  const Micros now = loop_.now();
  for (const EndpointId id : versionBook_.enginesToQuery(now)) {
    if (engines_.tokeniserPath().empty()) {
      versionBook_.versionUnsupported(id, now);
      continue;
    }
    engines_.fetch(id, engines_.tokeniserPath(),
                   [this, id, alive = alive_](int status, const std::string& body) {
                     if (!*alive) return;
                     const auto version = status == 200 ? parseTokenizerInfo(body) : std::nullopt;
                     if (version)
                       versionBook_.versionReported(id, *version, loop_.now());
                     else if (status == 0 || status >= 500)
                       versionBook_.versionQueryFailed(id, loop_.now());
                     else
                       versionBook_.versionUnsupported(id, loop_.now());
                     checkForVersionChange();
                     queryVersions();
                   });
  }
  if (const auto next = versionBook_.nextQueryTime())
    queryAlarm_.start(std::max<Micros>(1000, *next - loop_.now()), [this] { queryVersions(); });
  checkForVersionChange();
}

void TokenCounts::checkForVersionChange() {
  if (publishedEdition_ == versionBook_.edition()) return;
  publishedEdition_ = versionBook_.edition();
  onVersionChange_();
  recountPending();
}

// Recounts the waiting requests when a tokeniser comes into use after they were counted.
void TokenCounts::recountPending() {
  std::vector<std::uint64_t> numbers;
  const auto tokenisers = versionBook_.inUse();
  for (const auto& inUseTokeniser : tokenisers) numbers.push_back(inUseTokeniser.number);
  std::sort(numbers.begin(), numbers.end());
  const bool grew =
      !std::includes(tokenisersInUse_.begin(), tokenisersInUse_.end(), numbers.begin(), numbers.end());
  tokenisersInUse_ = std::move(numbers);
  if (!grew || router_ == nullptr) return;
  std::vector<std::pair<RequestId, routing::Request>> waiting;
  router_->forEachAwaitingResponse([&](RequestId id, const routing::Request& request) {
    if (request.prompt) waiting.emplace_back(id, request);
  });
  for (auto& [id, request] : waiting)
    counter_->count(toPrompt(request), tokenisers,
                    [this, id = id, request = request](const counting::PromptCounts& counts) {
                      if (!counts.exact.empty())
                        router_->updateTokenCounts(id, withCounts(request, counts).counts);
                    });
  if (!waiting.empty()) log_.info("recount", {{"requests", waiting.size()}});
}

void TokenCounts::addTokenisers(EndpointUpdate& update) const {
  if (!counter_) return;
  for (auto& entry : update.entries) {
    const auto basis = versionBook_.basis(entry.id);
    entry.tokeniser = basis.number;
    entry.promptFactor = basis.factor;
  }
}

void TokenCounts::onPromptTokensReported(EndpointId endpointId, const routing::Request& request,
                                         double tokens) {
  if (!counter_ || !request.prompt) return;
  const std::uint64_t number = versionBook_.basis(endpointId).number;
  std::optional<double> exact;
  for (const auto& versionCount : request.counts)
    if (versionCount.tokeniser == number) exact = versionCount.promptTokens;
  if (versionBook_.recordReportedTokens(endpointId, request.promptTokens, exact, number, tokens))
    log_.warn("tokeniser-doubted",
              {{"engine", endpointId.value}, {"counted", exact.value_or(0)}, {"told", tokens}});
  // The router is still processing an event, so the change is published in the next iteration of the loop.
  if (publishedEdition_ != versionBook_.edition())
    loop_.post([this, alive = alive_] {
      if (*alive) checkForVersionChange();
    });
}

void TokenCounts::reload(const std::vector<TokeniserFile>& files) {
  if (!counter_) return;
  for (const auto& tokeniserFile : files) {
    const auto job = std::make_shared<LoadJob>(tokeniserFile);
    const auto submitted = counter_->workers().submit(
        scheduler::Level::background, 1, job, [this, job](std::exception_ptr error) {
          if (error) {
            log_.warn("tokeniser",
                      {{"version", counting::text(job->file.version)}, {"error", errorText(error)}});
            return;
          }
          versionBook_.load(job->file.version, job->tokeniser);
          log_.info("tokeniser", {{"version", counting::text(job->file.version)}, {"file", job->file.path}});
          checkForVersionChange();
        });
    if (!submitted)
      log_.warn("tokeniser",
                {{"file", tokeniserFile.path}, {"error", "the background queue is full; reload again"}});
  }
}

std::string TokenCounts::summary() const {
  if (!counter_) return {};
  const auto& totals = counter_->counters();
  return "prompts counted " + std::to_string(totals.prompts) + ", remembered " +
         std::to_string(totals.remembered) + ", on workers " + std::to_string(totals.onWorkers) +
         ", estimated " +
         std::to_string(totals.estimatedFull + totals.estimatedLate + totals.estimatedFailed) +
         " (queue full " + std::to_string(totals.estimatedFull) + ", late " +
         std::to_string(totals.estimatedLate) + ", failed " + std::to_string(totals.estimatedFailed) +
         "); octets encoded " + std::to_string(totals.bytesEncoded) + " of " + std::to_string(totals.bytes) +
         "; engines by estimate " + std::to_string(versionBook_.estimated());
}

}  // namespace garnethook::server
