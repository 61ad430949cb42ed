// Exact token counts for the front and the decision module: tokenisers by version, engines asked for theirs,
// prompts counted before they are taken, counts told anew when versions change. What is decided stands in
// counting/.
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

struct TokeniserFile {
  counting::VersionName version;
  std::string path;
  tokeniser::FileOptions options;
};

struct CountingSettings {
  std::vector<TokeniserFile> files;  // none: prompts are estimated by their characters
  counting::TokeniserRegistry::Options versions;
  counting::CounterOptions counter;
};

class TokenCounts final : public grpc_frontend::PromptCounting {
 public:
  // Loads the files; throws tokeniser::FileError. `changed` is called when what engines() tells may have
  // changed.
  TokenCounts(net::Loop& loop, const CountingSettings& settings, engine::HttpEngineClient& engines,
              log::Log& log, std::function<void()> changed);
  ~TokenCounts() override;
  // Before the first call of any other.
  void setRouter(routing::Router& router) { router_ = &router; }

  std::uint64_t count(routing::Request request, Done done) override;
  void cancel(std::uint64_t ticket) override;

  void onList(const membership::EndpointMap& engines);
  // Puts each server's tokeniser and factor into the list for the module.
  void fill(EndpointUpdate& list) const;
  void onPromptRead(EndpointId server, const routing::Request& request, double tokens);
  // Loads files again, in the background; each is taken whole or not at all.
  void reload(const std::vector<TokeniserFile>& files);

  std::size_t open() const { return counter_ ? counter_->open() : 0; }
  bool on() const { return counter_ != nullptr; }
  const counting::TokeniserRegistry& versions() const { return book_; }
  const counting::Counter* counter() const { return counter_.get(); }
  std::string summary() const;

 private:
  void ask();
  void look();
  void recount();
  routing::Request filled(routing::Request request, const counting::PromptCounts& counts) const;
  static counting::Counter::Prompt promptOf(const routing::Request& request);

  net::Loop& loop_;
  engine::HttpEngineClient& engines_;
  log::Log& log_;
  std::function<void()> changed_;
  routing::Router* router_ = nullptr;
  counting::TokeniserRegistry book_;
  std::uint64_t edition_ = 0;
  std::vector<std::uint64_t> inUse_;
  std::vector<EndpointId> listed_;
  bool asks_ = true;
  timing::Alarm askAlarm_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<counting::Counter> counter_;
};

}  // namespace garnethook::server
