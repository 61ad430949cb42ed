#include "counting/counter.h"

#include <algorithm>
#include <array>

namespace garnethook::counting {
namespace {

std::size_t characters(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(), [](char c) { return (static_cast<std::uint8_t>(c) & 0xc0U) != 0x80; }));
}

}  // namespace

std::string_view name(Estimate e) {
  constexpr std::array<std::string_view, 5> names{"none", "no-file", "queue-full", "late", "failed"};
  return names[static_cast<std::size_t>(e)];
}

Counter::Counter(const CounterOptions& options, timing::Timers& timers,
                 std::function<void(std::function<void()>)> post)
    : options_(options), timers_(timers), store_(options.store), pool_(options.pool, std::move(post)) {}

Counter::~Counter() {
  for (auto& [ticket, open] : open_) timers_.cancel(open.late);
}

CountTicket Counter::count(Prompt prompt, const std::vector<Loaded>& tokenisers, Done done) {
  ++counters_.prompts;
  counters_.bytes += prompt.text->size();
  const std::uint64_t ticket = next_++;
  Open open;
  open.bytes = prompt.text->size();
  open.characters = characters(*prompt.text);
  open.sharedCharacters = characters(std::string_view(*prompt.text).substr(0, prompt.sharedPrefixBytes));
  open.done = std::move(done);
  if (tokenisers.empty()) open.error = Estimate::noFile;
  for (const Loaded& t : tokenisers) {
    CountOrder order{t.tokeniser,
                     t.version.name + '\0' + t.version.version + '\0' + std::to_string(t.number),
                     prompt.text,
                     prompt.sharedPrefixBytes,
                     options_.sessionIds ? prompt.session : std::string(),
                     prompt.specialTokens};
    Part part{t.number, std::make_shared<PromptCount>(store_, std::move(order)), std::nullopt, false};
    try {
      if (open.bytes <= options_.lookBytes && !options_.sessionIds && part.count->remembered()) {
        part.known = true;
        ++counters_.remembered;
      } else if (open.bytes <= options_.inlineBytes && t.tokeniser->supportsIncrementalEncoding()) {
        while (part.count->slice(options_.inlineBytes) > 0) {}
        part.known = true;
        ++counters_.inLoop;
        counters_.bytesEncoded += part.count->result().encoded;
      }
    } catch (const std::exception&) {
      open.error = Estimate::failed;
      ++counters_.estimatedFailed;
      part.count.reset();
    }
    open.parts.push_back(std::move(part));
  }
  for (std::size_t i = 0; i < open.parts.size(); ++i) {
    Part& part = open.parts[i];
    if (part.known || !part.count) continue;
    part.job = pool_.submit(scheduler::Level::waited, open.bytes, part.count,
                            [this, ticket, i](std::exception_ptr error) { partDone(ticket, i, error); });
    if (part.job) {
      ++open.waiting;
    } else {
      open.error = Estimate::full;
      ++counters_.estimatedFull;
    }
  }
  if (open.waiting == 0) {
    const PromptCounts counts = result(open);
    open.done(counts);
    return {};
  }
  const Micros within = prompt.within > 0 ? std::min(prompt.within, options_.within) : options_.within;
  open.late = timers_.after(within, [this, ticket] {
    Open& o = open_.at(ticket);
    o.error = Estimate::late;
    ++counters_.estimatedLate;
    finish(ticket);
  });
  open_.emplace(ticket, std::move(open));
  return {ticket};
}

void Counter::partDone(std::uint64_t ticket, std::size_t index, std::exception_ptr error) {
  const auto at = open_.find(ticket);
  if (at == open_.end()) return;
  Part& part = at->second.parts[index];
  part.job.reset();
  if (error) {
    at->second.error = Estimate::failed;
    ++counters_.estimatedFailed;
  } else {
    part.known = true;
    ++counters_.onWorkers;
    counters_.bytesEncoded += part.count->result().encoded;
  }
  if (--at->second.waiting == 0) finish(ticket);
}

void Counter::finish(std::uint64_t ticket) {
  auto node = open_.extract(ticket);
  Open& open = node.mapped();
  timers_.cancel(open.late);
  for (const Part& part : open.parts)
    if (part.job) pool_.cancel(*part.job);
  open.done(result(open));
}

void Counter::cancel(CountTicket ticket) {
  auto node = open_.extract(ticket.value);
  if (node.empty()) return;
  ++counters_.cancelled;
  timers_.cancel(node.mapped().late);
  for (const Part& part : node.mapped().parts)
    if (part.job) pool_.cancel(*part.job);
}

// The main count is that of the first tokeniser; else of another that was counted; else by characters.
PromptCounts Counter::result(const Open& open) {
  PromptCounts out;
  for (const Part& part : open.parts) {
    if (!part.known) continue;
    const Count& c = part.count->result();
    out.exact.push_back({part.number, std::max(1.0, static_cast<double>(c.tokens)),
                         static_cast<double>(c.sharedPrefixTokens)});
    if (!out.blocks) out.blocks = c.blocks;
  }
  if (!open.parts.empty() && open.parts.front().known) {
    out.main = out.exact.front().prompt;
    out.mainShared = out.exact.front().shared;
    return out;
  }
  out.estimate = open.error;
  if (!out.exact.empty()) {
    out.main = out.exact.front().prompt;
    out.mainShared = out.exact.front().shared;
  } else {
    out.main = std::max(1.0, static_cast<double>(open.characters) / options_.charactersPerToken);
    out.mainShared = static_cast<double>(open.sharedCharacters) / options_.charactersPerToken;
  }
  return out;
}

}  // namespace garnethook::counting
