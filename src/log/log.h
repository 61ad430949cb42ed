/// Structured logging: one JSON object per line, written through spdlog. Not thread-safe.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace garnethook::log {

/// A logger; copies share the same sink.
class Log {
 public:
  /// Keys and values of a line, in output order.
  using Fields = nlohmann::ordered_json;
  /// Opens the log of the router `name`. `file`: path to append to; empty for standard error. `level`: debug,
  /// info, warn, error or off. Throws spdlog::spdlog_ex if the file cannot be opened.
  static Log open(const std::string& name, const std::string& file, const std::string& level);
  /// Returns a log that discards all lines.
  static Log none();

  /// Writes a line about details of individual requests.
  void debug(const char* event, const Fields& fields = Fields::object()) const {
    write(spdlog::level::debug, event, fields);
  }
  /// Writes a line about an ordinary change of state.
  void info(const char* event, const Fields& fields = Fields::object()) const {
    write(spdlog::level::info, event, fields);
  }
  /// Writes a line about a condition that an operator should investigate.
  void warn(const char* event, const Fields& fields = Fields::object()) const {
    write(spdlog::level::warn, event, fields);
  }
  /// Writes a line about a defect or a rule violation.
  void error(const char* event, const Fields& fields = Fields::object()) const {
    write(spdlog::level::err, event, fields);
  }
  /// Whether lines of level debug are enabled.
  bool isDebugEnabled() const { return logger_->should_log(spdlog::level::debug); }
  /// Sets the minimum level that is written; levels as for open().
  void setLevel(const std::string& level) const;
  /// Flushes buffered lines.
  void flush() const { logger_->flush(); }

 private:
  explicit Log(std::shared_ptr<spdlog::logger> logger) : logger_(std::move(logger)) {}
  void write(spdlog::level::level_enum level, const char* event, const Fields& fields) const;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace garnethook::log
