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
constexpr std::string_view kInstanceStartVerb = "PROVISION";
constexpr std::string_view kInstanceStopVerb = "DOWN";

// A policy instance and the names that its lines refer to.
struct Instance {
  DeploymentConfig deployment;
  std::unique_ptr<HostedPolicy> policy;
};

// Processes one stream of batches.
class BatchProcessor {
 public:
  BatchProcessor(std::istream& in, std::ostream& out, std::ostream& errors, const PolicyFactory& factory)
      : in_(in), out_(out), errors_(errors), factory_(factory) {}

  int run() {
    std::vector<std::string> batch;
    std::string line;
    while (std::getline(in_, line)) {
      ++lineNumber_;
      if (batch.empty() && !checkBatchBegin(line)) continue;
      batch.push_back(std::move(line));
      if (batch.back() != kBatchEnd) continue;
      processBatch(batch);
      batch.clear();
    }
    if (batch.empty()) return 0;
    reportError(lineNumber_, "the input ended inside a batch");
    return 1;
  }

 private:
  bool checkBatchBegin(std::string_view line) {
    batchBeginLine_ = lineNumber_;
    const bool isBatchBegin = line.starts_with(kBatchBegin);
    if (!isBatchBegin && !line.empty()) reportError(lineNumber_, "outside a batch");
    return isBatchBegin;
  }

  void processBatch(const std::vector<std::string>& batch) {
    reply_.clear();
    const bool hasValidTime =
        runReportingLineErrors(0, [&] { now_ = parseFields(batch[0]).duration("simTimeMs"); });
    for (std::size_t nextIndex = 1; hasValidTime && nextIndex + 1 < batch.size();) {
      const std::size_t eventIndex = nextIndex++;
      while (nextIndex + 1 < batch.size() && isListEntry(batch[nextIndex])) ++nextIndex;
      const auto entries = std::span(batch).subspan(eventIndex + 1, nextIndex - eventIndex - 1);
      runReportingLineErrors(eventIndex, [&] { processLine(batch[eventIndex], entries); });
    }
    reply_.append(kReplyEnd);
    out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
    out_.flush();
  }

  void processLine(const std::string& line, std::span<const std::string> entries) {
    const std::string_view verb = parseVerb(line);
    if (verb == kInstanceStartVerb) return startInstance(line);
    if (verb == kInstanceStopVerb) {
      instances_.erase(parseFields(line).unsignedInteger("i"));
      return;
    }
    if (!isEventVerb(verb)) return;
    const FieldReader fields = parseFields(line);
    const std::uint64_t instanceNumber = fields.unsignedInteger("i");
    const auto instance = instances_.find(instanceNumber);
    if (instance == instances_.end()) throw LineError("i", "no such instance");
    deliverEvent(instanceNumber, decodeEvent(verb, fields, entries, instance->second.deployment));
  }

  void startInstance(std::string_view line) {
    const std::uint64_t instanceNumber = parseFields(line).unsignedInteger("i");
    InstanceConfig config = decodeInstanceConfig(line);
    instances_.erase(instanceNumber);
    runTerminatingInstanceOnError(instanceNumber, [&] {
      auto policy = factory_(config.deployment.settings, config.seed);
      instances_.emplace(instanceNumber, Instance{std::move(config.deployment), std::move(policy)});
    });
  }

  void deliverEvent(std::uint64_t instanceNumber, const Event& event) {
    actions_.clear();
    const bool isHandled = runTerminatingInstanceOnError(
        instanceNumber, [&] { instances_.at(instanceNumber).policy->handle(now_, event, actions_); });
    if (!isHandled) return;
    ActionEncoder encoder{reply_, instanceNumber};
    for (const Action& action : actions_) encoder.append(action);
  }

  // Runs a step and reports a malformed line. Returns whether the step succeeded.
  template <class Step>
  bool runReportingLineErrors(std::size_t offset, Step step) {
    try {
      step();
      return true;
    } catch (const LineError& error) {
      reportError(batchBeginLine_ + offset, error.what());
      return false;
    }
  }

  // Runs a step of an instance; an exception terminates the instance. Returns whether the step succeeded.
  template <class Step>
  bool runTerminatingInstanceOnError(std::uint64_t instanceNumber, Step step) {
    try {
      step();
      return true;
    } catch (const std::exception& error) {
      ActionEncoder{reply_, instanceNumber}.appendPanic(error.what());
      instances_.erase(instanceNumber);
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
  std::size_t batchBeginLine_ = 0;
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

std::unique_ptr<HostedPolicy> makeHostedRoutingPolicy(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<HostedRoutingPolicy>(settings, seed);
}

int serve(std::istream& in, std::ostream& out, std::ostream& errors, const PolicyFactory& factory) {
  return BatchProcessor(in, out, errors, factory).run();
}

}  // namespace garnethook::simulator_adapter
