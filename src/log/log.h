/// Structured logs: one JSON object a line, through spdlog. For one thread.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace garnethook::log {

/// A logger; copies share their target.
class Log {
 public:
  /// Keys and values of a line, in order.
  using Fields = nlohmann::ordered_json;
  /// Opens a log of the router `name`. `file`: path to append to; empty for standard error. `level`: debug,
  /// info, warn, error or off. Throws spdlog::spdlog_ex where the file cannot be opened.
  static Log open(const std::string& name, const std::string& file, const std::string& level);
  /// A log that drops everything.
  static Log none();

  /// Writes a line about detail of single requests.
  void debug(const char* event, const Fields& fields = Fields::object()) const {
    write(spdlog::level::debug, event, fields);
  }
  /// Writes a line about an ordinary change of state.
  void info(const char* event, const Fields& fields = Fields::object()) const {
    write(spdlog::level::info, event, fields);
  }
  /// Writes a line about something that an operator should look at.
  void warn(const char* event, const Fields& fields = Fields::object()) const {
    write(spdlog::level::warn, event, fields);
  }
  /// Writes a line about a defect or a broken rule.
  void error(const char* event, const Fields& fields = Fields::object()) const {
    write(spdlog::level::err, event, fields);
  }
  /// Whether lines of level debug are written.
  bool isDebugEnabled() const { return logger_->should_log(spdlog::level::debug); }
  /// Sets the least level that is written; names as for open().
  void setLevel(const std::string& level) const;
  /// Writes out what is buffered.
  void flush() const { logger_->flush(); }

 private:
  explicit Log(std::shared_ptr<spdlog::logger> logger) : logger_(std::move(logger)) {}
  void write(spdlog::level::level_enum level, const char* event, const Fields& fields) const;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace garnethook::log
