#include "simulator_adapter/adapter.h"

#include <algorithm>
#include <istream>
#include <map>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "simulator_adapter/action_encoder.h"
#include "simulator_adapter/event_decoder.h"

namespace garnethook::simulator_adapter {
namespace {

constexpr std::string_view kBatchBegin = "BATCH";
constexpr std::string_view kBatchEnd = "EOB";
constexpr std::string_view kReplyEnd = "FINISHED\n";
constexpr std::string_view kStartVerb = "PROVISION";
constexpr std::string_view kStopVerb = "DOWN";

// An instance of the policy, with the names that its lines use.
struct Instance {
  DeploymentConfig deployment;
  std::unique_ptr<HostedPolicy> policy;
};

// Serves one stream of batches.
class BatchServer {
 public:
  BatchServer(std::istream& in, std::ostream& out, std::ostream& errors, const PolicyFactory& factory)
      : in_(in), out_(out), errors_(errors), factory_(factory) {}

  int run() {
    std::vector<std::string> batch;
    std::string line;
    while (std::getline(in_, line)) {
      ++lineNumber_;
      if (batch.empty() && !beginsBatch(line)) continue;
      batch.push_back(std::move(line));
      if (batch.back() != kBatchEnd) continue;
      serveBatch(batch);
      batch.clear();
    }
    if (batch.empty()) return 0;
    reportError(lineNumber_, "the input ended inside a batch");
    return 1;
  }

 private:
  bool beginsBatch(std::string_view line) {
    batchBeginsAt_ = lineNumber_;
    const bool begins = line.starts_with(kBatchBegin);
    if (!begins && !line.empty()) reportError(lineNumber_, "outside a batch");
    return begins;
  }

  void serveBatch(const std::vector<std::string>& batch) {
    reply_.clear();
    const bool hasTime = reportsLineErrors(0, [&] { now_ = fieldsOf(batch[0]).duration("simTimeMs"); });
    for (std::size_t at = 1; hasTime && at + 1 < batch.size();) {
      const std::size_t start = at++;
      while (at + 1 < batch.size() && isListEntry(batch[at])) ++at;
      const auto entries = std::span(batch).subspan(start + 1, at - start - 1);
      reportsLineErrors(start, [&] { serveLine(batch[start], entries); });
    }
    reply_.append(kReplyEnd);
    out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
    out_.flush();
  }

  void serveLine(const std::string& line, std::span<const std::string> entries) {
    const std::string_view verb = verbOf(line);
    if (verb == kStartVerb) return startInstance(line);
    if (verb == kStopVerb) {
      instances_.erase(fieldsOf(line).unsignedInteger("i"));
      return;
    }
    if (!isEventVerb(verb)) return;
    const FieldReader fields = fieldsOf(line);
    const std::uint64_t number = fields.unsignedInteger("i");
    const auto instance = instances_.find(number);
    if (instance == instances_.end()) throw LineError("i", "no such instance");
    deliver(number, decodeEvent(verb, fields, entries, instance->second.deployment));
  }

  void startInstance(std::string_view line) {
    const std::uint64_t number = fieldsOf(line).unsignedInteger("i");
    InstanceConfig config = decodeInstanceConfig(line);
    instances_.erase(number);
    endsInstanceOnError(number, [&] {
      auto policy = factory_(config.deployment.settings, config.seed);
      instances_.emplace(number, Instance{std::move(config.deployment), std::move(policy)});
    });
  }

  void deliver(std::uint64_t number, const Event& event) {
    actions_.clear();
    const bool isServed =
        endsInstanceOnError(number, [&] { instances_.at(number).policy->handle(now_, event, actions_); });
    if (!isServed) return;
    ActionEncoder encoder{reply_, number};
    for (const Action& action : actions_) encoder.append(action);
  }

  // Runs a step; a line that can't be understood is reported. Returns whether the step succeeded.
  template <class Step>
  bool reportsLineErrors(std::size_t offset, Step step) {
    try {
      step();
      return true;
    } catch (const LineError& error) {
      reportError(batchBeginsAt_ + offset, error.what());
      return false;
    }
  }

  // Runs a step of an instance; any exception ends the instance. Returns whether the step succeeded.
  template <class Step>
  bool endsInstanceOnError(std::uint64_t number, Step step) {
    try {
      step();
      return true;
    } catch (const std::exception& error) {
      ActionEncoder{reply_, number}.appendPanic(error.what());
      instances_.erase(number);
      return false;
    }
  }

  void reportError(std::size_t lineNumber, std::string_view error) const {
    errors_ << "line " << lineNumber << ": " << error << '\n';
  }

  std::istream& in_;
  std::ostream& out_;
  std::ostream& errors_;
  const PolicyFactory& factory_;
  std::map<std::uint64_t, Instance> instances_;
  std::vector<Action> actions_;
  std::string reply_;
  Micros now_ = 0;
  std::size_t lineNumber_ = 0;
  std::size_t batchBeginsAt_ = 0;
};

class HostedRoutingPolicy final : public HostedPolicy {
 public:
  HostedRoutingPolicy(const Settings& settings, std::uint64_t seed) : policy_(settings, seed) {}
  void handle(Micros now, const Event& event, std::vector<Action>& actions) override {
    policy_.handle(now, event, actions);
  }

 private:
  RoutingPolicy policy_;
};

}  // namespace

std::unique_ptr<HostedPolicy> hostRoutingPolicy(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<HostedRoutingPolicy>(settings, seed);
}

int serve(std::istream& in, std::ostream& out, std::ostream& errors, const PolicyFactory& factory) {
  return BatchServer(in, out, errors, factory).run();
}

}  // namespace garnethook::simulator_adapter
