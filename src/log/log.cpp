#include "log/log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/null_sink.h>

#include "log/stderr_sink.h"

namespace garnethook::log {

Log Log::open(const std::string& name, const std::string& file, const std::string& level) {
  spdlog::sink_ptr sink;
  if (file.empty())
    sink = std::make_shared<StderrSink>();
  else
    sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
  auto logger = std::make_shared<spdlog::logger>(name, std::move(sink));
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","router":"%n",%v})",
                      spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::warn);
  Log log(std::move(logger));
  log.setLevel(level);
  return log;
}

Log Log::none() {
  return Log(std::make_shared<spdlog::logger>("none", std::make_shared<spdlog::sinks::null_sink_st>()));
}

void Log::setLevel(const std::string& level) const { logger_->set_level(spdlog::level::from_str(level)); }

void Log::write(spdlog::level::level_enum level, const char* event, const Fields& fields) const {
  if (!logger_->should_log(level)) return;
  Fields line{{"event", event}};
  line.update(fields);
  const std::string text = line.dump(-1, ' ', false, Fields::error_handler_t::replace);
  logger_->log(level, spdlog::string_view_t(text.data() + 1, text.size() - 2));
}

}  // namespace garnethook::log
