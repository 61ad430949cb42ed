/// @file
/// Exchanges that are not attempts: releases, probes and fetched documents.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "engine/exchange.h"

namespace garnethook::engine {

/// An exchange that uses only the response's status and load report, such as a release or a probe.
class ControlExchange final : public Exchange {
 public:
  /// Called once with the response's status and load report; the status is 0 if there was no response.
  using Done = std::function<void(int status, const std::optional<LoadReport>& report)>;
  /// @param done called once, unless the exchange is detached first
  explicit ControlExchange(Done done) : done_(std::move(done)) {}
  bool onHead(const http1::Head& head) override;
  bool onBody(std::string_view bytes) override;
  void onEnd() override { finish(status_); }
  void onFailed(const ExchangeFailure&) override { finish(0); }
  void onNotSent(const std::string&) override { finish(0); }
  void detach() override { isFinished_ = true; }

 private:
  void finish(int status);

  Done done_;
  bool isFinished_ = false;
  int status_ = 0;
  std::size_t bodyBytes_ = 0;
  std::optional<LoadReport> report_;
};

/// An exchange that collects a response body of bounded size.
class DocumentExchange final : public Exchange {
 public:
  /// Maximum size of the body in bytes.
  static constexpr std::size_t kMaxBytes = std::size_t{256} << 10;
  /// Called once with the status and the body, or with 0 and an empty body if the response was not complete.
  using Done = std::function<void(int status, const std::string& body)>;
  /// @param done called once, unless the exchange is detached first
  explicit DocumentExchange(Done done) : done_(std::move(done)) {}
  bool onHead(const http1::Head& head) override;
  bool onBody(std::string_view bytes) override;
  void onEnd() override;
  void onFailed(const ExchangeFailure&) override { finishWithoutDocument(); }
  void onNotSent(const std::string&) override { finishWithoutDocument(); }
  void detach() override { isFinished_ = true; }

 private:
  void finishWithoutDocument();

  Done done_;
  bool isFinished_ = false;
  int status_ = 0;
  std::string body_;
};

}  // namespace garnethook::engine
