/// Exact token counts for incoming requests and the routing policy. Loads tokenisers by version, queries
/// engines for their tokeniser, counts prompts before they are accepted, and publishes new counts when
/// versions change. The rules for versions and counts are in counting/.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "counting/counter.h"
#include "counting/tokeniser_registry.h"
#include "engine/http_engine_client.h"
#include "grpc_frontend/prompt_counting.h"
#include "log/log.h"
#include "membership/endpoint_spec.h"
#include "net/loop.h"
#include "routing/router.h"

namespace garnethook::server {

/// A configured tokeniser file.
struct TokeniserFile {
  counting::VersionName version;   ///< name and version, as the engines report them
  std::string path;                ///< the file
  tokeniser::FileOptions options;  ///< its format
};

/// Sections `tokenisers` and `counting`.
struct CountingSettings {
  std::vector<TokeniserFile> files;  ///< none: token counts are estimated from the number of characters
  counting::TokeniserRegistry::Options versions;  ///< queries for the engines' tokenisers
  counting::CounterOptions counter;               ///< workers, caches and time limits
};

/// Counts the tokens of prompts. Runs on the loop's thread; long texts are encoded on worker threads.
class TokenCounts final : public grpc_frontend::PromptTokenCounter {
 public:
  /// Loads the tokeniser files; throws tokeniser::FileError.
  /// @param onVersionChange called when addTokenisers() may return different values than before
  TokenCounts(net::Loop& loop, const CountingSettings& settings, engine::HttpEngineClient& engines,
              log::Log& log, std::function<void()> onVersionChange);
  ~TokenCounts() override;
  /// Must be called before any other member function.
  void setRouter(routing::Router& router) { router_ = &router; }

  std::uint64_t count(routing::Request request, Done done) override;
  void cancel(std::uint64_t ticket) override;

  /// Registers the engines of a new endpoint list and forgets those that are no longer in it.
  void onEndpointList(const membership::EndpointMap& engines);
  /// Sets the tokeniser and the prompt factor of each endpoint in an update for the routing policy.
  void addTokenisers(EndpointUpdate& update) const;
  /// Processes the number of prompt tokens that an engine reported: checks its tokeniser against the
  /// router's count and updates its prompt factor.
  void onPromptTokensReported(EndpointId endpointId, const routing::Request& request, double tokens);
  /// Reloads tokeniser files in the background. A file that fails to load leaves its tokeniser unchanged.
  void reload(const std::vector<TokeniserFile>& files);

  /// Number of prompts that are being counted.
  std::size_t open() const { return counter_ ? counter_->open() : 0; }
  /// Whether tokenisers are configured.
  bool isEnabled() const { return counter_ != nullptr; }
  /// Tokeniser versions by engine.
  const counting::TokeniserRegistry& versions() const { return versionBook_; }
  /// The counter; nullptr where no tokenisers are configured.
  const counting::Counter* counter() const { return counter_.get(); }
  /// Counters for the log.
  std::string summary() const;

 private:
  void queryVersions();
  void checkForVersionChange();
  void recountPending();
  routing::Request withCounts(routing::Request request, const counting::PromptCounts& counts) const;
  static counting::Counter::Prompt toPrompt(const routing::Request& request);

  net::Loop& loop_;
  engine::HttpEngineClient& engines_;
  log::Log& log_;
  std::function<void()> onVersionChange_;
  routing::Router* router_ = nullptr;
  counting::TokeniserRegistry versionBook_;
  std::uint64_t publishedEdition_ = 0;          // edition of versionBook_ that was last published
  std::vector<std::uint64_t> tokenisersInUse_;  // sorted
  std::vector<EndpointId> listedEndpoints_;
  bool asks_ = true;
  timing::Alarm queryAlarm_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<counting::Counter> counter_;
};

}  // namespace garnethook::server
