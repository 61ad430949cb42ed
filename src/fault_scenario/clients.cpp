#include "fault_scenario/clients.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fake_engine/answer.h"

namespace garnethook::fault_scenario {
namespace {

// Returns text that the fake engines count as `tokens` tokens (four characters each), different for each
// seed. `kind`: index in kTextKinds.
std::string makeText(std::uint64_t seed, std::uint32_t tokens, std::size_t kind) {
  std::string text;
  std::mt19937_64 random(seed);
  while (text.size() < tokens * std::size_t{4}) {
    const char repeated = static_cast<char>(kind == 2 ? 'a' : 0);
    for (int i = 0; i < (kind == 2 ? 39 : 5); ++i)
      text.push_back(repeated != 0
                         ? repeated
                         : static_cast<char>(kind == 1 ? '0' + random() % 10 : 'a' + random() % 26));
    text.push_back(' ');
  }
  text.resize(tokens * std::size_t{4});
  return text;
}

}  // namespace

class Clients::Request final : public client::CallEvents {
 public:
  Request(Clients& owner, PlannedRequest plannedRequest)
      : owner_(owner),
        plan(std::move(plannedRequest)),
        expiryTimer_(owner.loop_),
        cancelTimer_(owner.loop_) {}

  bool start(client::Channel& channel) {
    const auto& loadClass = owner_.script_.load.classes[plan.classIndex];
    v1::GenerateRequest request;
    request.set_prompt(plan.prompt);
    request.set_request_class(loadClass.name);
    request.set_session(plan.session);
    request.set_max_output_tokens(loadClass.outputTokens);
    if (!plan.sharedPrefixKey.empty()) {
      request.mutable_shared_beginning()->set_key(plan.sharedPrefixKey);
      request.mutable_shared_beginning()->set_length(plan.sharedPrefixCharacters);
    }
    channel_ = &channel;
    sentTime_ = owner_.loop_.now();
    const Micros timeout = std::min(loadClass.deadline, plan.overallDeadline - sentTime_);
    const auto& settings = owner_.script_.settings;
    const auto settingsIndex = static_cast<std::size_t>(
        std::find(settings.classNames.begin(), settings.classNames.end(), loadClass.name) -
        settings.classNames.begin());
    const Idempotency idempotency = settings.routing.settings.classes[settingsIndex].idempotency;
    stream_ = channel.call(
        plan.unary ? "/garnethook.v1.Generation/GenerateOnce" : "/garnethook.v1.Generation/Generate",
        request.SerializeAsString(), timeout, *this);
    if (stream_ == 0) return false;
    owner_.recorder_.note("client.sent",
                          {{"marker", plan.marker},
                           {"class", loadClass.name},
                           {"effect", idempotency == Idempotency::nonIdempotent       ? "unsafe"
                                      : idempotency == Idempotency::idempotentWithKey ? "keyed"
                                                                                      : "safe"},
                           {"deadline", sentTime_ + timeout},
                           {"router", std::to_string(plan.router)}});
    // A client library abandons the call at its deadline. The timer here runs for longer than the audit's
    // slack, so that a late response is recorded as late.
    expiryTimer_.start(timeout + 500'000, [this] { abandon("client.expired"); });
    if (plan.cancelAfter >= 0) cancelTimer_.start(plan.cancelAfter, [this] { abandon("client.cancelled"); });
    return true;
  }

  void onMessage(std::string_view message) override {
    if (firstTokenTime_ == 0) firstTokenTime_ = owner_.loop_.now();
    if (plan.unary) {
      v1::GenerateResponse response;
      inOrder_ &= response.ParseFromArray(message.data(), static_cast<int>(message.size()));
      receivedText_ = response.text();
      tokenCount_ = response.finish().usage().output_tokens();
      return;
    }
    v1::GenerateEvent event;
    inOrder_ &= event.ParseFromArray(message.data(), static_cast<int>(message.size())) && !finishSeen_;
    if (event.has_finish()) finishSeen_ = true;
    if (!event.has_tokens()) return;
    inOrder_ &= event.tokens().index() == tokenCount_;
    tokenCount_ += event.tokens().count();
    receivedText_ += event.tokens().text();
  }

  void onStatus(const grpc::Status& status, const http2::Headers&, bool fromServer) override {
    expiryTimer_.stop();
    cancelTimer_.stop();
    const auto& loadClass = owner_.script_.load.classes[plan.classIndex];
    const fake_engine::Answer expected(plan.prompt, loadClass.outputTokens);
    const bool served = status.code == grpc::Code::ok;
    // The received text must be a prefix of the expected output, or all of it where the status is OK.
    const std::string expectedText = expected.text();
    const bool matchesExpected =
        inOrder_ && (served ? receivedText_ == expectedText && tokenCount_ == expected.tokens()
                            : expectedText.starts_with(receivedText_));
    const bool rejected = status.retryAfterMs && *status.retryAfterMs >= 0;
    if (fromServer)
      owner_.recorder_.note("client.final", {{"marker", plan.marker},
                                             {"code", std::string(grpc::name(status.code))},
                                             {"text", status.message},
                                             {"refused", rejected},
                                             {"transcript", matchesExpected},
                                             {"tokens", tokenCount_}});
    else
      owner_.recorder_.note("client.lost", {{"marker", plan.marker}, {"text", status.message}});
    if (served) {
      ++owner_.servedRequests_;
      if (!plan.unary) {
        owner_.timesToFirstToken.push_back(firstTokenTime_ - sentTime_);
        const auto& settings = owner_.script_.settings;
        const auto className =
            std::find(settings.classNames.begin(), settings.classNames.end(), loadClass.name);
        const auto settingsIndex = static_cast<std::size_t>(className - settings.classNames.begin());
        if (settingsIndex < settings.routing.settings.classes.size() &&
            firstTokenTime_ - sentTime_ <= settings.routing.settings.classes[settingsIndex].ttftObjective)
          ++owner_.withinTtftObjective;
      }
    }
    const bool mayRetry = rejected || (!fromServer && !loadClass.name.empty() && isIdempotent());
    if (!served && mayRetry && plan.retryCount < owner_.script_.load.retries) {
      const Micros delay =
          rejected && owner_.script_.load.honourRetryAfter ? *status.retryAfterMs * 1000 : 50'000;
      PlannedRequest retry = plan;
      ++retry.retryCount;
      owner_.scheduleRetry(std::move(retry), delay);
    }
    owner_.removeRequest(*this);
  }

  void abandon(const char* eventName) {
    owner_.recorder_.note(eventName, {{"marker", plan.marker}});
    channel_->cancel(stream_);
    expiryTimer_.stop();
    cancelTimer_.stop();
    owner_.removeRequest(*this);
  }

 private:
  bool isIdempotent() const {
    const auto& settings = owner_.script_.settings;
    const auto& requestClass = owner_.script_.load.classes[plan.classIndex].name;
    const auto className = std::find(settings.classNames.begin(), settings.classNames.end(), requestClass);
    return settings.routing.settings
               .classes[static_cast<std::size_t>(className - settings.classNames.begin())]
               .idempotency == Idempotency::idempotent;
  }

  Clients& owner_;

 public:
  PlannedRequest plan;

 private:
  timing::Alarm expiryTimer_;
  timing::Alarm cancelTimer_;
  client::Channel* channel_ = nullptr;
  http2::StreamId stream_ = 0;
  Micros sentTime_ = 0;
  Micros firstTokenTime_ = 0;
  std::uint32_t tokenCount_ = 0;
  std::string receivedText_;
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
  for (auto& channels : channels_) channels.resize(script.load.channels);
}

Clients::~Clients() = default;

void Clients::setRouter(std::size_t index, const Poco::Net::SocketAddress& address) {
  routers_[index] = address;
}

void Clients::start() {
  nextArrival_ = loop_.now();
  sendDueRequests();
}

// Open loop: arrivals do not wait for responses.
void Clients::sendDueRequests() {
  while (startedRequests_ < script_.load.requests && nextArrival_ <= loop_.now()) {
    ++startedRequests_;
    send(generateRequest());
    const double uniform = static_cast<double>(random_() >> 11) / 9007199254740992.0;
    nextArrival_ +=
        static_cast<Micros>(-std::log(1 - uniform) / (script_.load.requestsPerSecond * rateFactor_) * 1e6);
  }
  if (startedRequests_ < script_.load.requests)
    loop_.after(nextArrival_ - loop_.now(), [this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) sendDueRequests();
    });
}

Clients::PlannedRequest Clients::generateRequest() {
  const auto uniform = [&] { return static_cast<double>(random_() >> 11) / 9007199254740992.0; };
  PlannedRequest plan;
  double totalShare = 0;
  for (const auto& loadClass : script_.load.classes) totalShare += loadClass.share;
  double position = uniform() * totalShare;
  while (plan.classIndex + 1 < script_.load.classes.size() &&
         position >= script_.load.classes[plan.classIndex].share)
    position -= script_.load.classes[plan.classIndex++].share;
  const LoadClass& loadClass = script_.load.classes[plan.classIndex];
  const bool hasSharedPrefix = uniform() < loadClass.sharedPrefixShare;
  const auto prefixIndex = static_cast<std::uint64_t>(
      uniform() * uniform() * loadClass.sharedPrefixes);  // skewed: low indices are frequent
  if (hasSharedPrefix) {
    plan.sharedPrefixKey = loadClass.name + "/" + std::to_string(prefixIndex);
    plan.prompt = makeText(script_.seed * 1000 + plan.classIndex * 131 + prefixIndex,
                           loadClass.sharedPrefixTokens, loadClass.textKind);
    plan.sharedPrefixCharacters = static_cast<std::uint32_t>(plan.prompt.size());
  }
  const double normal = std::sqrt(-2 * std::log(1 - uniform())) * std::cos(6.283185307179586 * uniform());
  const double tokens =
      loadClass.promptTokens *
      std::exp(loadClass.promptSpread * normal - loadClass.promptSpread * loadClass.promptSpread / 2);
  plan.marker = "m" + std::to_string(startedRequests_);
  plan.prompt +=
      makeText(random_(), static_cast<std::uint32_t>(std::clamp(tokens, 4.0, 50'000.0)), loadClass.textKind);
  plan.session = plan.marker;
  plan.router = nextRouter_++ % routers_.size();
  plan.unary = uniform() < script_.load.unaryShare;
  if (uniform() < script_.load.cancelShare)
    plan.cancelAfter = static_cast<Micros>(uniform() * static_cast<double>(script_.load.cancelWithin));
  plan.overallDeadline = loop_.now() + loadClass.deadline;
  return plan;
}

client::Channel* Clients::channel(std::size_t router) {
  if (routers_[router].port() == 0) return nullptr;
  auto& routerChannels = channels_[router];
  auto& slot = routerChannels[random_() % routerChannels.size()];
  if (!slot || !slot->open()) {
    if (slot) loop_.post([old = std::shared_ptr<client::Channel>(std::move(slot))] {});
    slot = std::make_unique<client::Channel>(loop_, routers_[router], client::Channel::Options{});
  }
  return slot.get();
}

void Clients::send(PlannedRequest plan) {
  if (plan.retryCount > 0) {
    plan.marker = "m" + plan.session.substr(1) + "r" + std::to_string(plan.retryCount);
    plan.router = nextRouter_++ % routers_.size();
    plan.cancelAfter = -1;
  }
  // The marker is the last word of the prompt. A retry replaces it, so that its prompt is about as long.
  if (const auto space = plan.prompt.rfind(" #"); space != std::string::npos) plan.prompt.erase(space);
  plan.prompt += " #" + plan.marker;
  plan.marker = "#" + plan.marker;
  auto request = std::make_unique<Request>(*this, plan);
  Request* openRequest = request.get();
  client::Channel* routerChannel = channel(plan.router);
  if (routerChannel == nullptr) {
    recorder_.note("client.unreachable", {{"router", std::to_string(plan.router)}});
    if (plan.retryCount < script_.load.retries) {
      ++plan.retryCount;
      scheduleRetry(std::move(plan), 100'000);
    }
    return;
  }
  openRequests_[openRequest] = std::move(request);
  if (!openRequest->start(*routerChannel)) {
    recorder_.note("client.unreachable", {{"router", std::to_string(plan.router)}});
    removeRequest(*openRequest);
    if (plan.retryCount < script_.load.retries) {
      ++plan.retryCount;
      scheduleRetry(std::move(plan), 100'000);
    }
  }
}

void Clients::scheduleRetry(PlannedRequest plan, Micros delay) {
  if (loop_.now() + delay >= plan.overallDeadline) return;
  ++pendingRetries_;
  loop_.after(delay, [this, plan = std::move(plan), alive = std::weak_ptr<int>(alive_)]() mutable {
    if (alive.expired()) return;
    --pendingRetries_;
    // If the loop is late, the deadline may have passed by now; nothing is sent without time left.
    if (loop_.now() < plan.overallDeadline) send(std::move(plan));
  });
}

void Clients::removeRequest(Request& request) {
  const auto entry = openRequests_.find(&request);
  if (entry == openRequests_.end()) return;
  loop_.post([removed = std::shared_ptr<Request>(std::move(entry->second))] {});
  openRequests_.erase(entry);
}

}  // namespace garnethook::fault_scenario
