#include "simulator_adapter/adapter.h"

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <ostream>
#include <utility>

namespace garnethook::simulator_adapter {
namespace {

using deployment_config::FieldReader;
using deployment_config::indexOf;
using deployment_config::split;
using deployment_config::toNumber;

// The name=value parts of one line, in any order.
FieldReader factsOf(std::string_view line) {
  FieldReader facts;
  const auto parts = split(line, ' ');
  for (std::size_t at = 1; at < parts.size(); ++at) {
    const auto equals = parts[at].find('=');
    if (equals == std::string_view::npos) throw LineError(parts[at], "no '=' in this part");
    facts.add(parts[at].substr(0, equals), parts[at].substr(equals + 1));
  }
  return facts;
}

// One hosted instance, with the names that its lines use.
struct Instance {
  DeploymentConfig deployment;
  std::unique_ptr<Decider> decider;
};

std::optional<LoadReport> parseReport(const FieldReader& fields, const DeploymentConfig& deployment) {
  const auto text = fields.find("report");
  if (!text || text->empty() || *text == "-") return std::nullopt;
  LoadReport report;
  for (const auto part : split(*text, ',')) {
    const auto colon = part.find(':');
    if (colon == std::string_view::npos) throw LineError("report", "no ':' in '" + std::string(part) + "'");
    const auto name = part.substr(0, colon);
    const double value = toNumber("report", part.substr(colon + 1));
    deployment_config::addReportValue(report, deployment.report, name, value);
  }
  return report;
}

RequestArrived parseArrival(const FieldReader& fields, const DeploymentConfig& deployment) {
  RequestArrived event;
  event.id = {fields.unsignedInteger("txn")};
  event.requestClass = indexOf(deployment.classNames, fields.text("band"));
  event.remaining = fields.duration("remainingMs");
  event.session = {fields.unsignedInteger("session", 0)};
  event.sharedPrefix = {fields.unsignedInteger("template", 0)};
  event.promptTokens = fields.nonNegativeNumber("nPrompt", 0);
  event.sharedPrefixTokens = fields.nonNegativeNumber("prefixLen", 0);
  event.maxOutput = fields.nonNegativeNumber("outputCap", 0);
  event.expectedOutput = std::max<Micros>(0, fields.duration("expectedMs", 0));
  return event;
}

Outcome toOutcome(std::string_view word) {
  constexpr std::array<std::pair<std::string_view, Outcome>, 9> kWords{{
      {"OK", Outcome::completed},
      {"handover", Outcome::prefillDone},
      {"INTERNAL", Outcome::error},
      {"RESOURCE_EXHAUSTED", Outcome::rejected},
      {"DEADLINE_EXCEEDED", Outcome::timedOut},
      {"UNAVAILABLE", Outcome::connectFailed},
      {"ABORTED", Outcome::connectionReset},
      {"CANCELLED", Outcome::cancelled},
      {"TOO_LATE", Outcome::notSent},
  }};
  const auto* at = std::find_if(kWords.begin(), kWords.end(), [&](const auto& w) { return w.first == word; });
  return at == kWords.end() ? Outcome::error : at->second;  // an unknown ending proves nothing
}

AttemptEnded parseEnd(const FieldReader& fields, const DeploymentConfig& deployment) {
  AttemptEnded event;
  event.id = {fields.unsignedInteger("txn")};
  event.attempt = fields.smallInteger("trial");
  event.endpoint = {fields.unsignedInteger("engine")};
  event.outcome = toOutcome(fields.text("ending"));
  event.requestEnded = fields.flag("last");
  const double info = fields.number("info", 0);
  if (event.outcome == Outcome::rejected) event.kvStateMissing = info == 1;
  if (event.outcome == Outcome::completed || event.outcome == Outcome::prefillDone) event.cachedTokens = info;
  event.report = parseReport(fields, deployment);
  return event;
}

EndpointEntry parseEntry(std::string_view line, const DeploymentConfig& deployment) {
  const FieldReader fields = factsOf(line);
  EndpointEntry entry;
  entry.id = {fields.unsignedInteger("engine")};
  entry.zone = indexOf(deployment.zoneNames, fields.text("hall", ""));
  entry.kind = indexOf(deployment.kindNames, fields.text("shape", ""));
  entry.cell = fields.unsignedInteger("pod", 0);
  const auto state = fields.text("readiness");
  entry.state = state == "Running"   ? EndpointState::running
                : state == "Deleted" ? EndpointState::removed
                                     : EndpointState::draining;  // also for words not known yet
  entry.startedAt = fields.duration("cameUpMs", 0);
  entry.weight = fields.number("rating", 1);
  return entry;
}

EndpointUpdate::Kind toListKind(std::string_view word) {
  if (word == "diff") return EndpointUpdate::Kind::delta;
  if (word == "snapshot") return EndpointUpdate::Kind::snapshot;
  if (word == "disk") return EndpointUpdate::Kind::staleCopy;
  if (word == "error") return EndpointUpdate::Kind::failure;
  throw LineError("mode", "unknown kind of list");
}

std::string milliseconds(Micros time) {
  std::string text = std::to_string(time / 1000);
  const auto rest = std::to_string(time % 1000);
  return text + '.' + std::string(3 - rest.size(), '0') + rest;
}

// Prints one action as a line of the reply.
struct Printer {
  std::string& reply;
  std::string instance;

  void head(std::string_view verb) const { reply.append(verb).append(" i=").append(instance); }
  void field(std::string_view name, std::string_view value) const {
    reply.append(" ").append(name).append("=").append(value);
  }
  void request(std::string_view verb, RequestId id) const {
    head(verb);
    field("txn", std::to_string(id.value));
  }

  void operator()(const Send& action) const {
    request("ISSUE", action.id);
    if (action.timeout != 0) field("capMs", milliseconds(std::max<Micros>(1, action.timeout)));
    field("engine", std::to_string(action.endpoint.value));
  }
  void operator()(const Cancel& action) const {
    request("CALL_OFF", action.id);
    field("trial", std::to_string(action.attempt));
  }
  void operator()(const Reject& action) const {
    request("SAY_NO", action.id);
    if (action.retryAfter > 0) field("holdOffMs", milliseconds(action.retryAfter));
  }
  void operator()(const Fail& action) const { request("DROP_REQUEST", action.id); }
  void operator()(const Release& action) const { request("CLEAR_STATE", action.id); }
  void operator()(const SetTimer& action) const {
    head("WAKE_AT");
    field("offsetMs", milliseconds(std::max<Micros>(0, action.delay)));
    field("cookie", std::to_string(action.id.value));
  }
  void operator()(const Probe& action) const {
    head("PROBE");
    field("engine", std::to_string(action.endpoint.value));
  }
  void operator()(const Subscribe&) const {
    head("SUBSCRIBE");
    field("on", "1");
  }
  void operator()(const Log& action) const { note("REMARK", action.text); }
  void note(std::string_view verb, std::string text) const {
    std::replace(text.begin(), text.end(), '\n', ' ');
    head(verb);
    field("text", text);
  }
};

// Serves one stream of batches.
class Server {
 public:
  Server(std::istream& in, std::ostream& out, std::ostream& errors, const DeciderFactory& factory)
      : in_(in), out_(out), errors_(errors), factory_(factory) {}

  int run() {
    std::vector<std::string> lines;
    std::string line;
    bool inside = false;
    while (std::getline(in_, line)) {
      ++lineNumber_;
      if (!inside && line.starts_with("BATCH")) {
        inside = true;
        firstLine_ = lineNumber_;
      }
      if (!inside) {
        if (!line.empty()) complain(lineNumber_, "outside a batch");
        continue;
      }
      const bool ends = line == "EOB";
      lines.push_back(std::move(line));
      if (!ends) continue;
      serveBatch(lines);
      lines.clear();
      inside = false;
    }
    if (inside) complain(lineNumber_, "the input ended inside a batch");
    return inside ? 1 : 0;
  }

 private:
  void serveBatch(const std::vector<std::string>& lines) {
    reply_.clear();
    const bool clockRead = guarded(0, [&] { now_ = factsOf(lines[0]).duration("simTimeMs"); });
    for (std::size_t at = 1; clockRead && at + 1 < lines.size();) {
      const std::size_t start = at++;
      while (at + 1 < lines.size() && verbOf(lines[at]) == "ITEM") ++at;
      guarded(start, [&] { serveEvent(lines, start, at); });
    }
    reply_.append("FINISHED\n");
    out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
    out_.flush();
  }

  static std::string_view verbOf(std::string_view line) { return line.substr(0, line.find(' ')); }

  void complain(std::size_t number, std::string_view error) const {
    errors_ << "line " << number << ": " << error << '\n';
  }

  template <class Work>
  bool guarded(std::size_t offset, Work work) {
    try {
      work();
      return true;
    } catch (const LineError& error) {
      complain(firstLine_ + offset, error.what());
      return false;
    }
  }

  void serveEvent(const std::vector<std::string>& lines, std::size_t start, std::size_t end) {
    const std::string& line = lines[start];
    const auto verb = verbOf(line);
    if (verb == "PROVISION") return deployment(line);
    if (verb == "DOWN") {
      instances_.erase(factsOf(line).unsignedInteger("i"));
      return;
    }
    if (std::find(kEventVerbs.begin(), kEventVerbs.end(), verb) == kEventVerbs.end()) return;
    const FieldReader fields = factsOf(line);
    const auto number = fields.unsignedInteger("i");
    const auto at = instances_.find(number);
    if (at == instances_.end()) throw LineError("i", "no such instance");
    const DeploymentConfig& known = at->second.deployment;
    if (verb == "REGISTRY") return deliver(number, parseList(fields, lines, start, end, known));
    if (verb == "QUERY") return deliver(number, parseArrival(fields, known));
    if (verb == "ANSWER") return deliver(number, parseEnd(fields, known));
    if (verb == "FIRED") return deliver(number, TimerFired{{fields.unsignedInteger("cookie")}});
    if (verb == "WITHDRAWN") return deliver(number, RequestCancelled{{fields.unsignedInteger("txn")}});
    if (verb == "HEAD_RECEIVED")
      return deliver(number, StreamStarted{{fields.unsignedInteger("txn")}, fields.smallInteger("trial")});
    deliver(number, ProbeEnded{{fields.unsignedInteger("engine")},
                               fields.text("ending") == "OK",
                               parseReport(fields, known)});
  }

  EndpointUpdate parseList(const FieldReader& fields, const std::vector<std::string>& lines,
                           std::size_t start, std::size_t end, const DeploymentConfig& known) {
    EndpointUpdate list{toListKind(fields.text("mode")), {}};
    if (fields.unsignedInteger("rows", 0) != end - start - 1)
      throw LineError("rows", "differs from the ITEM lines");
    for (std::size_t at = start + 1; at < end; ++at) list.entries.push_back(parseEntry(lines[at], known));
    return list;
  }

  void deployment(std::string_view line) {
    const auto number = factsOf(line).unsignedInteger("i");
    DeploymentConfig deployment = parseProvision(line);
    instances_.erase(number);
    panicking(number, [&] {
      auto decider = factory_(deployment.settings, deployment.seed);
      instances_.emplace(number, Instance{std::move(deployment), std::move(decider)});
    });
  }

  void deliver(std::uint64_t number, const Event& event) {
    actions_.clear();
    const bool served =
        panicking(number, [&] { instances_.at(number).decider->handle(now_, event, actions_); });
    if (!served) return;
    const Printer printer{reply_, std::to_string(number)};
    for (const Action& action : actions_) {
      std::visit(printer, action);
      reply_.push_back('\n');
    }
  }

  template <class Work>
  bool panicking(std::uint64_t number, Work work) {
    try {
      work();
      return true;
    } catch (const std::exception& error) {
      Printer{reply_, std::to_string(number)}.note("PANIC", error.what());
      reply_.push_back('\n');
      instances_.erase(number);
      return false;
    }
  }

  static constexpr std::array<std::string_view, 7> kEventVerbs{
      "REGISTRY", "QUERY", "ANSWER", "FIRED", "WITHDRAWN", "HEAD_RECEIVED", "HEALTH"};

  std::istream& in_;
  std::ostream& out_;
  std::ostream& errors_;
  const DeciderFactory& factory_;
  std::map<std::uint64_t, Instance> instances_;
  std::vector<Action> actions_;
  std::string reply_;
  Micros now_ = 0;
  std::size_t lineNumber_ = 0;
  std::size_t firstLine_ = 0;
};

class BrainDecider final : public Decider {
 public:
  BrainDecider(const Settings& settings, std::uint64_t seed) : brain_(settings, seed) {}
  void handle(Micros now, const Event& event, std::vector<Action>& actions) override {
    brain_.handle(now, event, actions);
  }

 private:
  RoutingPolicy brain_;
};

}  // namespace

DeploymentConfig parseProvision(std::string_view line) {
  const FieldReader facts = factsOf(line);
  return {deployment_config::readDeploymentConfig(facts), facts.unsignedInteger("nonce64", 0)};
}

std::unique_ptr<Decider> makeBrain(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<BrainDecider>(settings, seed);
}

int serve(std::istream& in, std::ostream& out, std::ostream& errors, const DeciderFactory& factory) {
  return Server(in, out, errors, factory).run();
}

}  // namespace garnethook::simulator_adapter
