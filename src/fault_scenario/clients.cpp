#include "fault_scenario/clients.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fake_engine/answer.h"

namespace garnethook::fault_scenario {
namespace {

// `tokens` by the stand-ins' count, different for each seed.
std::string filler(std::uint64_t seed, std::uint32_t tokens, std::size_t kind) {
  std::string out;
  std::mt19937_64 random(seed);
  while (out.size() < tokens * std::size_t{4}) {
    const char run = static_cast<char>(kind == 2 ? 'a' : 0);
    for (int i = 0; i < (kind == 2 ? 39 : 5); ++i)
      out.push_back(run != 0 ? run
                             : static_cast<char>(kind == 1 ? '0' + random() % 10 : 'a' + random() % 26));
    out.push_back(' ');
  }
  out.resize(tokens * std::size_t{4});
  return out;
}

}  // namespace

class Clients::Request final : public client::CallEvents {
 public:
  Request(Clients& owner, Plan p)
      : owner_(owner), plan(std::move(p)), expiry_(owner.loop_), cancel_(owner.loop_) {}

  bool start(client::Channel& channel) {
    const auto& c = owner_.script_.load.classes[plan.loadClass];
    v1::GenerateRequest request;
    request.set_prompt(plan.prompt);
    request.set_request_class(c.name);
    request.set_session(plan.session);
    request.set_max_output_tokens(c.outputTokens);
    if (!plan.sharedKey.empty()) {
      request.mutable_shared_beginning()->set_key(plan.sharedKey);
      request.mutable_shared_beginning()->set_length(plan.sharedCharacters);
    }
    channel_ = &channel;
    sentAt_ = owner_.loop_.now();
    const Micros timeout = std::min(c.deadline, plan.giveUp - sentAt_);
    const auto& classes = owner_.script_.settings;
    const auto index = static_cast<std::size_t>(
        std::find(classes.classNames.begin(), classes.classNames.end(), c.name) - classes.classNames.begin());
    const Idempotency idempotency = classes.routing.settings.classes[index].idempotency;
    stream_ = channel.call(
        plan.unary ? "/garnethook.v1.Generation/GenerateOnce" : "/garnethook.v1.Generation/Generate",
        request.SerializeAsString(), timeout, *this);
    if (stream_ == 0) return false;
    owner_.recorder_.note("client.sent",
                          {{"marker", plan.marker},
                           {"class", c.name},
                           {"effect", idempotency == Idempotency::nonIdempotent       ? "unsafe"
                                      : idempotency == Idempotency::idempotentWithKey ? "keyed"
                                                                                      : "safe"},
                           {"deadline", sentAt_ + timeout},
                           {"router", std::to_string(plan.router)}});
    // A client library gives up at its deadline; a little later than the audit's slack here, so that a late
    // answer is seen as one.
    expiry_.start(timeout + 500'000, [this] { stopHere("client.expired"); });
    if (plan.cancelAfter >= 0) cancel_.start(plan.cancelAfter, [this] { stopHere("client.cancelled"); });
    return true;
  }

  void onMessage(std::string_view message) override {
    if (firstAt_ == 0) firstAt_ = owner_.loop_.now();
    if (plan.unary) {
      v1::GenerateResponse whole;
      inOrder_ &= whole.ParseFromArray(message.data(), static_cast<int>(message.size()));
      text_ = whole.text();
      next_ = whole.finish().usage().output_tokens();
      return;
    }
    v1::GenerateEvent event;
    inOrder_ &= event.ParseFromArray(message.data(), static_cast<int>(message.size())) && !finishSeen_;
    if (event.has_finish()) finishSeen_ = true;
    if (!event.has_tokens()) return;
    inOrder_ &= event.tokens().index() == next_;
    next_ += event.tokens().count();
    text_ += event.tokens().text();
  }

  void onStatus(const grpc::Status& status, const http2::Headers&, bool fromServer) override {
    expiry_.stop();
    cancel_.stop();
    const auto& c = owner_.script_.load.classes[plan.loadClass];
    const fake_engine::Answer answer(plan.prompt, c.outputTokens);
    const bool served = status.code == grpc::Code::ok;
    // What came must be the beginning of the answer; all of it where it is called served.
    const std::string whole = answer.text();
    const bool transcript =
        inOrder_ && (served ? text_ == whole && next_ == answer.tokens() : whole.starts_with(text_));
    const bool refused = status.retryAfterMs && *status.retryAfterMs >= 0;
    if (fromServer)
      owner_.recorder_.note("client.final", {{"marker", plan.marker},
                                             {"code", std::string(grpc::name(status.code))},
                                             {"text", status.message},
                                             {"refused", refused},
                                             {"transcript", transcript},
                                             {"tokens", next_}});
    else
      owner_.recorder_.note("client.lost", {{"marker", plan.marker}, {"text", status.message}});
    if (served) {
      ++owner_.served_;
      if (!plan.unary) {
        owner_.firstTokens.push_back(firstAt_ - sentAt_);
        const auto& settings = owner_.script_.settings;
        const auto at = std::find(settings.classNames.begin(), settings.classNames.end(), c.name);
        const auto index = static_cast<std::size_t>(at - settings.classNames.begin());
        if (index < settings.routing.settings.classes.size() &&
            firstAt_ - sentAt_ <= settings.routing.settings.classes[index].ttftObjective)
          ++owner_.inTime;
      }
    }
    const bool mayRepeat = refused || (!fromServer && !c.name.empty() && safe());
    if (!served && mayRepeat && plan.tries < owner_.script_.load.retries) {
      const Micros hint = refused && owner_.script_.load.honourHints ? *status.retryAfterMs * 1000 : 50'000;
      Plan next = plan;
      ++next.tries;
      owner_.again(std::move(next), hint);
    }
    owner_.ended(*this);
  }

  void stopHere(const char* how) {
    owner_.recorder_.note(how, {{"marker", plan.marker}});
    channel_->cancel(stream_);
    expiry_.stop();
    cancel_.stop();
    owner_.ended(*this);
  }

 private:
  bool safe() const {
    const auto& settings = owner_.script_.settings;
    const auto& name = owner_.script_.load.classes[plan.loadClass].name;
    const auto at = std::find(settings.classNames.begin(), settings.classNames.end(), name);
    return settings.routing.settings.classes[static_cast<std::size_t>(at - settings.classNames.begin())]
               .idempotency == Idempotency::idempotent;
  }

  Clients& owner_;

 public:
  Plan plan;

 private:
  timing::Alarm expiry_;
  timing::Alarm cancel_;
  client::Channel* channel_ = nullptr;
  http2::StreamId stream_ = 0;
  Micros sentAt_ = 0;
  Micros firstAt_ = 0;
  std::uint32_t next_ = 0;
  std::string text_;
  bool inOrder_ = true;
  bool finishSeen_ = false;
};

Clients::Clients(net::Loop& loop, const Script& script, fake_engine::Recorder& recorder)
    : loop_(loop),
      script_(script),
      recorder_(recorder),
      random_(script.seed),
      routers_(script.routerZones.size()),
      channels_(script.routerZones.size()) {
  for (auto& c : channels_) c.resize(script.load.channels);
}

Clients::~Clients() = default;

void Clients::setRouter(std::size_t index, const Poco::Net::SocketAddress& address) {
  routers_[index] = address;
}

void Clients::start() {
  nextAt_ = loop_.now();
  arrive();
}

// Open loop: the next arrival does not wait for any answer.
void Clients::arrive() {
  while (started_ < script_.load.requests && nextAt_ <= loop_.now()) {
    ++started_;
    send(draw());
    const double u = static_cast<double>(random_() >> 11) / 9007199254740992.0;
    nextAt_ += static_cast<Micros>(-std::log(1 - u) / (script_.load.perSecond * rate_) * 1e6);
  }
  if (started_ < script_.load.requests)
    loop_.after(nextAt_ - loop_.now(), [this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) arrive();
    });
}

Clients::Plan Clients::draw() {
  const auto uniform = [&] { return static_cast<double>(random_() >> 11) / 9007199254740992.0; };
  Plan plan;
  double all = 0;
  for (const auto& c : script_.load.classes) all += c.share;
  double at = uniform() * all;
  while (plan.loadClass + 1 < script_.load.classes.size() && at >= script_.load.classes[plan.loadClass].share)
    at -= script_.load.classes[plan.loadClass++].share;
  const LoadClass& c = script_.load.classes[plan.loadClass];
  const bool shared = uniform() < c.beginningShare;
  const auto beginning = static_cast<std::uint64_t>(uniform() * uniform() * c.beginnings);  // a few are hot
  if (shared) {
    plan.sharedKey = c.name + "/" + std::to_string(beginning);
    plan.prompt =
        filler(script_.seed * 1000 + plan.loadClass * 131 + beginning, c.beginningTokens, c.textKind);
    plan.sharedCharacters = static_cast<std::uint32_t>(plan.prompt.size());
  }
  const double normal = std::sqrt(-2 * std::log(1 - uniform())) * std::cos(6.283185307179586 * uniform());
  const double tokens =
      c.promptTokens * std::exp(c.promptSpread * normal - c.promptSpread * c.promptSpread / 2);
  plan.marker = "m" + std::to_string(started_);
  plan.prompt += filler(random_(), static_cast<std::uint32_t>(std::clamp(tokens, 4.0, 50'000.0)), c.textKind);
  plan.session = plan.marker;
  plan.router = turn_++ % routers_.size();
  plan.unary = uniform() < script_.load.unaryShare;
  if (uniform() < script_.load.cancelShare)
    plan.cancelAfter = static_cast<Micros>(uniform() * static_cast<double>(script_.load.cancelWithin));
  plan.giveUp = loop_.now() + c.deadline;
  return plan;
}

client::Channel* Clients::channel(std::size_t router) {
  if (routers_[router].port() == 0) return nullptr;
  auto& all = channels_[router];
  auto& slot = all[random_() % all.size()];
  if (!slot || !slot->open()) {
    if (slot) loop_.post([old = std::shared_ptr<client::Channel>(std::move(slot))] {});
    slot = std::make_unique<client::Channel>(loop_, routers_[router], client::Channel::Options{});
  }
  return slot.get();
}

void Clients::send(Plan plan) {
  if (plan.tries > 0) {
    plan.marker = "m" + plan.session.substr(1) + "r" + std::to_string(plan.tries);
    plan.router = turn_++ % routers_.size();
    plan.cancelAfter = -1;
  }
  // The marker is the last word of the prompt, of a fixed length so that retries weigh the same.
  if (const auto space = plan.prompt.rfind(" #"); space != std::string::npos) plan.prompt.erase(space);
  plan.prompt += " #" + plan.marker;
  plan.marker = "#" + plan.marker;
  auto request = std::make_unique<Request>(*this, plan);
  Request* r = request.get();
  client::Channel* c = channel(plan.router);
  if (c == nullptr) {
    recorder_.note("client.unreachable", {{"router", std::to_string(plan.router)}});
    if (plan.tries < script_.load.retries) {
      ++plan.tries;
      again(std::move(plan), 100'000);
    }
    return;
  }
  open_[r] = std::move(request);
  if (!r->start(*c)) {
    recorder_.note("client.unreachable", {{"router", std::to_string(plan.router)}});
    ended(*r);
    if (plan.tries < script_.load.retries) {
      ++plan.tries;
      again(std::move(plan), 100'000);
    }
  }
}

void Clients::again(Plan plan, Micros delay) {
  if (loop_.now() + delay >= plan.giveUp) return;
  ++waiting_;
  loop_.after(delay, [this, plan = std::move(plan), alive = std::weak_ptr<int>(alive_)]() mutable {
    if (alive.expired()) return;
    --waiting_;
    // A loop that is late may get here when the client has given up: it sends nothing without any time left.
    if (loop_.now() < plan.giveUp) send(std::move(plan));
  });
}

void Clients::ended(Request& request) {
  const auto at = open_.find(&request);
  if (at == open_.end()) return;
  loop_.post([r = std::shared_ptr<Request>(std::move(at->second))] {});
  open_.erase(at);
}

}  // namespace garnethook::fault_scenario
