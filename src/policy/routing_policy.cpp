// Every decision of garnethook. The interface (settings, events, actions) is in brain.h.
//
// Ordinary path, after MemServe: a request is read where reading it costs least, by a fitted curve of
// prompt length and cached ratio plus the reader's queue; then it is answered by the writer of that
// reader's cell with most room. Everything else here acts only when that path is in trouble.
#include "policy/routing_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <unordered_map>

#include "policy/endpoint_registry.h"
#include "policy/hash.h"
#include "policy/policy_state.h"
#include "policy/prefill_cost_model.h"
#include "policy/settings_validation.h"

namespace garnethook {
namespace {

// ---- tuned values ---------------------------------------------------------------------------------
constexpr Micros kSecond = 1'000'000;
// Table: the design's lifetime, and a bound on memory far above what lives that long.
constexpr Micros kTableLife = 10 * kSecond;
constexpr std::size_t kTableKeys = 50'000;
// How far from its prediction a sample may pull, and samples that still count.
constexpr double kOutlier = PrefillCostModel::kOutlier;
constexpr double kCurveMemory = PrefillCostModel::kMemory;
constexpr double kPriorDelayShare = 0.02;  // of the smallest aim: fixed part of a read, to start with
constexpr double kPriorTokenShare = 0.25;  // of that aim: a read of kPriorPrompt, when no slope is told
constexpr double kPriorPrompt = 4000;
// Speed of a server, observed over predicted: weight of a sample, bounds, and how long it is believed.
constexpr double kSpeedWeight = 0.2;
constexpr double kSpeedMin = 0.5;
constexpr double kSpeedMax = 8;
constexpr double kSpeedLife = 8e6;
// What was seen of a server's queue is believed for about this long; in the mean of all, this many aims.
constexpr double kReportLife = 1e6;
constexpr double kQueueLife = 2;
// Weight, in aims, of the start: that reported tokens cost a read's full price.
constexpr double kToldPrior = 1;
// Bounds of a reader's weight in the hash.
constexpr double kPullMin = 0.1;
constexpr double kPullMax = 1.4;
constexpr double kPullFar = 0.6;  // of a reader whose cell has no answering memory at all
constexpr double kHomeWeight =
    0.1;                            // of a read, in the share of a beginning that its home is thought to keep
constexpr double kHashGuard = 0.6;  // share of the time left to the aim that a home's queue may take
constexpr double kHope = 0.7;  // of the time left to the aim: up to this a first token is worth trying for
constexpr double kSure = 0.5;  // of the own read's time: taken for certain, so that no room is left for it
// What a refused client is told to wait: at least this share of the smallest aim, and the part drawn by lot.
constexpr double kRetryLeast = 0.1;
constexpr double kRetrySpread = 0.5;
// Time-outs: multiple of the predicted time plus a share of the aim.
constexpr double kReadPatience = 3;
constexpr double kWritePatience = 5;
constexpr double kPatienceFloor = 0.5;
constexpr double kWritePrior = 0.1;  // share of the smallest aim: time to a first token, to start with
constexpr double kWriteRise = 0.01;  // the usual time rises slowly and falls fast, to leave jams out
constexpr double kWriteFall = 0.1;
constexpr double kFirstWeight = 0.4;
constexpr double kFirstLife = 2;  // aims: how long a writer's latest first tokens count
// A server from which nothing came since an attempt was sent is quiet after this much of its time-out.
constexpr double kQuietShare = 0.4;
constexpr double kOvertaken = 2;  // size of what passed one by, over its own, before it counts as lost
// Suspicion: points that make a suspect, their life, what each symptom counts, and the wait for a trial.
constexpr double kSuspect = 1;
constexpr double kStrikeLife = 5e6;
constexpr double kStrikeConnect = 1;
constexpr double kStrikeReset = 0.6;
constexpr double kStrikeError = 0.4;
constexpr double kStrikeTimeout = 0.6;
constexpr Micros kTrialWait = kSecond / 2;
// Being turned away: weight of one attempt, how long it is believed, and the least chance of being let in.
constexpr double kTurnedWeight = 0.2;
constexpr double kTurnedLife = 4e6;
constexpr double kTurnedLeast = 0.1;
constexpr double kTurnedHome = 0.1;  // aims: a home that costs more than this to get into is one among others
constexpr Micros kTrialWaitMax = 4 * kSecond;
// A zone counts as cut when this share of its servers, and at least two, are suspect.
constexpr double kCutShare = 0.6;
// Writers: memory share up to which there is room, and how a full answer weighs.
constexpr double kRoom = 0.95;
constexpr double kAnyRoom = 1e9;
constexpr double kShareLife = 4e6;       // a report of memory fades to the mean of all within about this long
constexpr double kShareLeast = 1;        // fresh reports that may stand for the whole fleet
constexpr double kStreamEvidence = 0.3;  // square of the own streams a server that half tell of others'
constexpr double kEntryRoom = 0.9;       // beyond this share at every writer, nothing new is let in
constexpr double kOutputGuess = 0.5;     // of the maximum output, where no hint is given
constexpr double kMixedRead = 1.25;      // of the mean read: the dearest that they take
constexpr double kStreamWeight = 0.1;    // of an answer in the usual time that they stream
constexpr double kHoldShare = 0.7;  // of the release time that a held state may wait before its last attempt
constexpr int kHoldLooks = 10;      // looks for a server within the time that is waited
constexpr double kColdTurns =
    0.5;  // of a cold budget, given out in turns: one not taken lasts another window
// Of a role too large to be looked at whole: servers drawn for each request, and where the rest is late.
constexpr std::size_t kSampled = 8;
constexpr std::size_t kSampledLate = 128;
constexpr std::size_t kOwnHomes = 16;  // of a beginning with many homes
// Housekeeping: how often, and horizon of the sends that measure a warm server's usual load.
constexpr Micros kTick = kSecond / 4;
constexpr Micros kLoadHorizon = 6 * kSecond;
// ---------------------------------------------------------------------------------------------------

double asDouble(Micros time) { return static_cast<double>(time); }
Micros asMicros(double time) { return static_cast<Micros>(time); }

enum class Purpose : std::uint64_t { deadline, look, tick, watch };
TimerId timerFor(RequestId id, Purpose purpose) {
  return {id.value * 4 + static_cast<std::uint64_t>(purpose)};
}

double smallestAim(const Settings& s) {
  Micros ttftObjective = s.classes.empty() ? kSecond : std::numeric_limits<Micros>::max();
  for (const auto& c : s.classes)
    ttftObjective = std::min(ttftObjective, std::max<Micros>(c.ttftObjective, 1000));
  return asDouble(ttftObjective);
}

double tokenSlope(const Settings& s) {  // starting guess of the time for 1,000 tokens
  double slope = 0;
  for (const auto& c : s.classes) slope = std::max(slope, asDouble(c.ttftObjectivePerKiloToken));
  return slope > 0 ? slope : kPriorTokenShare * smallestAim(s) * 1000 / kPriorPrompt;
}

}  // namespace

class RoutingPolicy::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : set_(checked(settings)),
        random_(seed),
        order_{mix(seed + 1)},
        aim_(smallestAim(settings)),
        curve_(kPriorDelayShare * aim_, tokenSlope(settings)),
        writeTime_(kWritePrior * aim_) {}

  void handle(Micros now, const Event& event, std::vector<Action>& actions) {
    now_ = std::max(now, now_);
    cuts_.clear();
    out_ = &actions;
    if (!ticking_) tick();
    std::visit([this](const auto& e) { on(e); }, event);
  }

 private:
  // ---- the list of servers ----

  void on(const EndpointUpdate& list) {
    subscribed_ = list.kind != EndpointUpdate::Kind::failure && list.kind != EndpointUpdate::Kind::staleCopy;
    if (list.kind == EndpointUpdate::Kind::failure) return;
    if (list.kind != EndpointUpdate::Kind::delta)
      for (auto& [id, s] : fleet_.all()) s.listed = false;
    for (const auto& entry : list.entries) update(entry);
    fleet_.reindex();
    cuts_.clear();
    weighCells();
    fleet_.indexHashes();
  }

  void update(const EndpointEntry& entry) {
    Server& s = fleet_.at(entry.id);
    if (s.info.startedAt != entry.startedAt) {  // a restart: nothing that was known of it holds
      s.tableFrom = now_;
      s.speed = 1;
      s.report = {};
      s.reportAt = 0;
      s.queueAt = 0;
      s.turns.clear();
      acquit(s);
    }
    s.info = entry;
    s.listed = entry.state == EndpointState::running;
    const bool known = entry.kind && *entry.kind < set_.kinds.size();
    s.role = known ? set_.kinds[*entry.kind].role : Role::decode;
    s.memory = known ? set_.kinds[*entry.kind].memoryTokens : 0;
  }

  // ---- health, by symptom ----

  void strike(EndpointId id, double points, const char* symptom) {
    Server& s = fleet_.at(id);
    fleet_.meet(id, s);
    cuts_.clear();
    s.strikes = s.strikes * std::exp(-asDouble(now_ - s.strikesAt) / kStrikeLife) + points;
    s.strikesAt = now_;
    if (s.strikes < kSuspect) return;
    if (!s.suspect) say(id, "suspect", symptom);
    s.trialWait = std::max(s.trialWait, kTrialWait);
    if (s.suspect && now_ >= s.trialAt) s.trialWait = std::min(2 * s.trialWait, kTrialWaitMax);
    s.suspect = true;
    suspects_.insert(id);
    s.answeredProbe = false;
    s.trialAt = now_ + s.trialWait + asMicros(asDouble(s.trialWait) * 0.2 * uniform());
  }

  void acquit(Server& s) {
    if (s.suspect) say(s.info.id, "trusted again", "it answered");
    cuts_.clear();
    suspects_.erase(s.info.id);
    s.suspect = false;
    s.strikes = 0;
    s.trialWait = kTrialWait;
  }

  // Silence: nothing at all since an attempt went there, for most of that attempt's patience. Guards
  // against servers that take work and answer nothing, before the first time-out tells.
  bool quiet(const Server& s) const {
    if (s.waits.empty() || asDouble(now_ - s.heardAt) <= kQuietShare * kPatienceFloor * aim_) return false;
    return std::any_of(s.waits.begin(), s.waits.end(), [&](const auto& wait) {
      const Flight& f = wait.second;
      return s.heardAt <= f.sentAt && asDouble(now_ - f.sentAt) > kQuietShare * usualLimit(f);
    });
  }

  // Many suspects in one zone at once are a cut, not many sick servers: the zone is left alone but for
  // single trials. Never one's own zone.
  bool cut(std::size_t zone) const {
    if (zone == set_.ownZone || set_.zones < 2) return false;
    const auto [at, unknown] = cuts_.try_emplace(zone, false);
    if (unknown) at->second = countsAsCut(zone);
    return at->second;
  }
  bool countsAsCut(std::size_t zone) const {
    const auto wanted = kCutShare * asDouble(static_cast<Micros>(fleet_.listedInZone(zone)));
    // Quiet ones have an attempt out.
    if (asDouble(std::ssize(suspects_) + std::ssize(requests_)) < std::max(2.0, wanted)) return false;
    int bad = 0;
    for (const auto& [id, s] : fleet_.met())
      if (s->listed && s->info.zone == zone) bad += s->suspect || quiet(*s) ? 1 : 0;
    return bad >= 2 && bad >= wanted;
  }

  bool trusted(const Server& s, const Request& r) const {
    if (s.suspect) {
      const bool probed = !set_.canProbe || s.answeredProbe;
      return probed && !s.trial && now_ >= s.trialAt && r.kind.idempotency == Idempotency::idempotent &&
             r.attempts == 0;
    }
    return !quiet(s) && !(s.info.zone && cut(*s.info.zone));
  }

  // ---- cold servers ----

  bool cold(const Server& s) const {
    return s.info.startedAt > 0 && now_ - s.info.startedAt < set_.warmUpDuration;
  }

  static double sum(const std::deque<std::pair<Micros, double>>& ledger, Micros since) {
    double total = 0;
    for (const auto& [at, work] : ledger) total += at >= since ? work : 0;
    return total;
  }

  // What a warm server of each role was seen to finish (a jam is sent far more) for this router within the
  // fall time. With no warm peer left the last figure stands; a router without one takes its own demand.
  void measureUsual() {
    std::array<double, 3> work{};
    std::array<std::size_t, 3> notWarm{};
    for (const auto& [id, s] : fleet_.met())
      if (s->listed && !cold(*s))
        work[static_cast<std::size_t>(s->role)] += sum(s->finished, now_ - kLoadHorizon);
    for (const Server* s : fleet_.starting())
      if (s->listed && cold(*s)) ++notWarm[static_cast<std::size_t>(s->role)];
    const double window = asDouble(set_.overloadWindow) / asDouble(kLoadHorizon);
    for (const Role role : {Role::prefill, Role::decode, Role::combined}) {
      const auto at = static_cast<std::size_t>(role);
      const auto all = asDouble(static_cast<Micros>(fleet_.listed(role)));
      const double warm = all - asDouble(static_cast<Micros>(notWarm[at]));
      if (warm > 0)
        usual_[at] = window * work[at] / warm;
      else if (usual_[at] < 0)
        usual_[at] = window * sum(arrived_, now_ - kLoadHorizon) / std::max(1.0, all);
    }
  }

  // A cold server's budget in any window is the told multiple of its least told capacity. Routers take turns
  // at it, half of the budget in each window: one not taken lasts another window, so no window sees more than
  // the budget. Guards against a hundred routers that each find an empty server at once, and against a share
  // kept back for chance, which at a few sends a window would be nearly all. Harm: idle routers' turns lapse.
  bool coldRoom(const Server& s) const {
    if (!cold(s) || set_.overloadMultiple <= 0 || set_.overloadWindow <= 0) return true;
    const auto fresh = [this](const auto& item) { return item.first > now_ - set_.overloadWindow; };
    return std::count_if(s.sends.begin(), s.sends.end(), fresh) <
           std::count_if(s.turns.begin(), s.turns.end(), fresh);
  }

  // Turns come evenly, from a phase on that routers have by their numbers; so all of them together send
  // evenly.
  void giveTurns(Server& s, double windows, double meanWork) {
    if (!cold(s) || s.turnsOf != s.info.startedAt) {
      s.turnsOf = s.info.startedAt;
      s.turns.clear();
      s.turn = 1 - turnPhase(s.info.id);
    }
    if (!cold(s) || set_.overloadWindow <= 0) return;
    s.turn += windows * kColdTurns * set_.overloadMultiple * set_.warmUpMinCapacity *
              std::max(0.0, usual_[static_cast<std::size_t>(s.role)]) / meanWork;
    for (; s.turn >= 1; --s.turn) s.turns.emplace_back(now_, 1);
    while (!s.turns.empty() && s.turns.front().first <= now_ - set_.overloadWindow) s.turns.pop_front();
  }

  // By the router's number among all, or by lot where that is not told; another one at each server.
  double turnPhase(EndpointId id) const {
    const double own =
        set_.self ? asDouble(static_cast<Micros>(*set_.self)) / asDouble(static_cast<Micros>(set_.routers))
                  : unit(order_.value);
    return own + unit(mix(id.value)) - std::floor(own + unit(mix(id.value)));
  }
  static double unit(std::uint64_t value) {
    return asDouble(static_cast<Micros>(value >> 11)) / 9007199254740992.0;
  }

  // What a send weighs on a server: the mean prompt of its class.
  double workOf(const Request& r) const {
    const auto at = meanPrompt_.find(r.request.requestClass.value_or(0));
    return std::max(1.0, at == meanPrompt_.end() ? r.request.promptTokens : at->second);
  }

  bool usable(const Server& s) const { return s.listed && coldRoom(s) && now_ >= s.fullUntil; }

  // A request's tokens as this server counts them.
  double promptAt(const Request& r, const Server& s) const {
    const auto* own = countAt(r, s);
    return own ? own->promptTokens : r.request.promptTokens * s.info.promptFactor;
  }
  double sharedAt(const Request& r, const Server& s) const {
    const auto* own = countAt(r, s);
    return own ? own->sharedPrefixTokens : r.request.sharedPrefixTokens * s.info.promptFactor;
  }
  static const PromptCount* countAt(const Request& r, const Server& s) {
    for (const auto& c : r.request.counts)
      if (c.tokeniser == s.info.tokeniser) return &c;
    return nullptr;
  }

  // ---- the prefix table ----

  double cachedAt(const Table& table, PrefixKey key, const Server& s) const {
    const auto* places = table.find(key);
    if (places == nullptr) return 0;
    for (const auto& c : *places)
      if (c.endpoint == s.info.id && c.at >= s.tableFrom && now_ - c.at <= kTableLife) return c.tokens;
    return 0;
  }

  double cached(const Request& r, const Server& s) const {
    const double shared = std::min(cachedAt(shared_, r.request.sharedPrefix, s), sharedAt(r, s));
    return std::min(std::max(shared, cachedAt(sessions_, r.request.session, s)), promptAt(r, s));
  }

  void remember(Table& table, PrefixKey key, EndpointId endpoint, double tokens) {
    if (key.value == 0 || tokens <= 0 || (table.size() >= kTableKeys && !table.find(key))) return;
    auto& places = table.touch(key, now_);
    std::erase_if(places,
                  [&](const Cached& c) { return c.endpoint == endpoint || now_ - c.at > kTableLife; });
    places.push_back({endpoint, tokens, now_});
  }

  // A read tells how much it found. Broken promises in a row mean that the server lost its cache, by
  // whatever cause: what the table says of it is void, so that no key is sent there for nothing.
  void correct(const Request& r, const Flight& f, double found) {
    Server& s = fleet_.at(f.endpoint);
    const double shared = sharedAt(r, s);
    if (f.promised == 0 && shared > 0 && isHome(r, s))
      homeShare_ +=
          std::max(kHomeWeight, 1.0 / ++homeReads_) * (std::clamp(found / shared, 0.0, 1.0) - homeShare_);
    const bool broken = f.promised > 0 && found < f.promised / 2;
    s.emptyPromises = broken ? s.emptyPromises + 1 : 0;
    if (s.emptyPromises >= 2) s.tableFrom = now_;
    remember(shared_, r.request.sharedPrefix, f.endpoint, shared);
    remember(sessions_, r.request.session, f.endpoint, promptAt(r, s));
  }

  // ---- choosing a reader: least queue plus read ----

  double speed(const Server& s) const {
    return 1 + (s.speed - 1) * std::exp(-asDouble(now_ - s.speedAt) / kSpeedLife);
  }

  void learnSpeed(Server& s, double ratio) {
    const double sample = std::clamp(ratio, kSpeedMin, kSpeedMax);
    s.speed = std::clamp(speed(s) + kSpeedWeight * (sample - speed(s)), kSpeedMin, kSpeedMax);
    s.speedAt = now_;
  }

  double backlog(const Server& s) const {  // own unfinished reads, as time
    double sum = 0;
    Micros first = now_;
    for (const auto& [id, f] : s.waits) {
      if (lost(f, kQuietShare)) continue;
      sum += f.work;
      if (f.work > 0) first = std::min(first, f.sentAt);
    }
    return std::max(0.0, sum - asDouble(now_ - std::max(first, s.readDoneAt)));
  }

  double longestWait(const Server& s) const {
    double longest = 0;
    for (const auto& [id, f] : s.waits)
      if (!lost(f, kQuietShare)) longest = std::max(longest, asDouble(now_ - f.sentAt));
    return longest;
  }

  // An attempt over that share of its time while others, sent to the same server later and no smaller, had
  // their sign: what is sick is its connection, not the server. Guards against single silent connections,
  // which tell of no queue and no speed, and are given up on at the whole time.
  bool lost(const Flight& f, double share) const {
    return f.overtaken >= kOvertaken && asDouble(now_ - f.sentAt) > share * usualLimit(f);
  }
  double usualLimit(const Flight& f) const {
    return (f.stage == Stage::read ? kReadPatience : kWritePatience) * f.predicted + kPatienceFloor * aim_;
  }

  // Others' work before a new read, as time: as last seen there (report, or wait beyond own work), fading to
  // the mean seen of late at its role, and that to nothing; a cold one that was not met has what turns let
  // in, next to nothing. Guards against taking servers not met of late for idle, in jams of any cause; harm:
  // an idle one is passed over while all that were met are jammed.
  double queue(const Server& s) const {
    const double mean =
        cold(s) ? 0 : queues_[static_cast<std::size_t>(s.role)] * (1 - evidence_) * (1 - evidence_);
    return mean + (s.queue - mean) * freshness(s.queueAt, kReportLife);
  }
  double freshness(Micros since, double life) const {
    return since == 0 ? 0 : std::exp(-asDouble(now_ - since) / life);
  }

  void learnQueue(Server& s, double time) {
    s.queue = std::max(0.0, time);
    s.queueAt = now_;
  }

  // A shared beginning that the table does not know is likely at its home all the same, where every router
  // sends it: as much of it counts as such reads were seen to find. Guards against pricing a warm home as an
  // empty one where a router sees little of the traffic. Harm: a new beginning's first reads look too cheap.
  double expectedCached(const Request& r, const Server& s) const {
    const double kept = isHome(r, s) ? (1 - evidence_) * homeShare_ : 0;
    return std::max(cached(r, s), kept * std::min(sharedAt(r, s), promptAt(r, s)));
  }

  double readWork(const Request& r, const Server& s) const {
    return curve_.predict(promptAt(r, s), expectedCached(r, s));
  }

  double readCost(const Request& r, const Server& s) const {
    return std::max((backlog(s) + queue(s)) * speed(s), longestWait(s)) + readWork(r, s) * speed(s);
  }

  static bool failedAt(const Request& r, EndpointId id) {
    return std::find(r.failed.begin(), r.failed.end(), id) != r.failed.end();
  }

  // The servers of a role that may take the request: trusted ones it has not failed at; failing that,
  // trusted ones; failing that, any on the list, so that with everything under suspicion the design decides.
  // Of a large role only a bounded set is looked at while it has any such server; `cell`: whose servers
  // belong to it, `sampled`: how many that are drawn for this request do.
  std::vector<const Server*> candidates(const Request& r, Role role, const std::uint64_t* cell = nullptr,
                                        std::size_t sampled = kSampled) const {
    const auto fits = [&](const Server& s, int mercy) {
      return usable(s) && inScope(r, s) && (mercy >= 1 || !failedAt(r, s.info.id)) &&
             (mercy >= 2 || trusted(s, r));
    };
    if (fleet_.large(role)) {
      auto found = boundedSet(r, role, cell, sampled);
      std::erase_if(found, [&](const Server* s) { return !fits(*s, 0); });
      if (!found.empty()) return found;
    }
    for (int mercy = 0; mercy < 3; ++mercy) {
      std::vector<const Server*> found;
      for (const Server* s : fleet_.ofRole(role))
        if (fits(*s, mercy)) found.push_back(s);
      if (!found.empty()) return found;
    }
    return {};
  }

  // Of a large role: this router's own part, the request's homes, the servers that keep its beginnings, and
  // some that are drawn for it (the power of several choices). Guards against a walk over thousands of
  // servers for each request; harm: a better server outside of the set is passed over.
  Fleet::Group boundedSet(const Request& r, Role role, const std::uint64_t* cell, std::size_t sampled) const {
    Fleet::Group group = fleet_.part(role, cell);
    const auto add = [&](EndpointId id) {
      const Server* s = fleet_.find(id);
      if (s != nullptr && s->role == role) group.push_back(s);
    };
    for (const EndpointId id : r.homes) add(id);
    for (const auto* places : {shared_.find(r.request.sharedPrefix), sessions_.find(r.request.session)})
      if (places != nullptr)
        for (const Cached& c : *places) add(c.endpoint);
    const auto& all = fleet_.ofRole(role);
    for (std::size_t i = 0; i < sampled; ++i)
      group.push_back(all[mix(order_.value ^ mix(r.request.id.value * kSampledLate + i + 1)) % all.size()]);
    const auto byId = [](const Server* a, const Server* b) { return a->info.id < b->info.id; };
    std::sort(group.begin(), group.end(), byId);
    group.erase(std::unique(group.begin(), group.end()), group.end());
    return group;
  }

  // The least score; ties go by the given order: a key's, equal at all routers, or this router's own, so that
  // many routers that know nothing don't choose alike.
  template <class Score>
  const Server* least(const std::vector<const Server*>& list, PrefixKey order, Score score) const {
    const Server* best = nullptr;
    std::pair<double, std::uint64_t> lowest;
    for (const Server* s : list) {
      const std::pair rank{score(*s), ~rendezvous(order, s->info.id)};
      if (best && rank >= lowest) continue;
      lowest = rank;
      best = s;
    }
    return best;
  }

  // Homes: weighted rendezvous by role, equal at all routers; as many as a beginning makes up servers' parts
  // of own reading. Guards against one unseen reader for what all routers send, new or long hot; harm: few
  // own reads look like a hot beginning, and more readers then keep it.
  void findHomes(Request& r) {
    r.homes.clear();
    addHomes(r, Role::prefill);
    addHomes(r, Role::combined);
  }

  void addHomes(Request& r, Role role) {
    const PrefixKey key = r.request.sharedPrefix.value != 0 ? r.request.sharedPrefix : r.request.session;
    const double share = reads_.of(key) / std::max(1.0, reads_.all());
    const double parts = share * asDouble(static_cast<Micros>(fleet_.listed(role)));
    const auto homes = std::min(fleet_.listed(role), 1 + static_cast<std::size_t>(parts));
    if (!fleet_.large(role)) return fleet_.leastByWeightedHash(role, key, homes, r.homes);
    if (key.value != 0) addOwnHomes(r, role, key, homes);
  }

  // Of a large role a request looks at some of many homes, this router's own: all routers together use all.
  void addOwnHomes(Request& r, Role role, PrefixKey key, std::size_t homes) {
    std::vector<EndpointId> all;
    fleet_.leastByWeightedHash(role, key, homes, all);
    const auto own = std::min(all.size(), kOwnHomes);
    std::partial_sort(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(own), all.end(),
        [this](EndpointId a, EndpointId b) { return rendezvous(order_, a) > rendezvous(order_, b); });
    r.homes.insert(r.homes.end(), all.begin(), all.begin() + static_cast<std::ptrdiff_t>(own));
  }

  static bool isHome(const Request& r, const Server& s) {
    return std::find(r.homes.begin(), r.homes.end(), s.info.id) != r.homes.end();
  }

  // A reader's weight in the hash: answering memory for each reader of its cell, over the fleet's. Guards
  // against cells whose readers would hand over more than their writers can answer. A cell without any jams
  // no writers of its own, as its states go to all others; guards against half of the readers left idle where
  // there are fewer writers than cells. Harm: more states cross links, which may be slow.
  void weighCells() {
    std::map<std::uint64_t, std::pair<double, double>> cells;  // readers, answering memory
    std::pair<double, double> all;
    for (const auto& [id, s] : fleet_.all())
      for (auto* c : {&cells[s.info.cell], &all})
        if (s.listed)
          (s.role == Role::prefill ? c->first : c->second) +=
              s.role == Role::prefill ? 1 : std::max(1.0, s.memory);
    const double fair = all.second / std::max(1.0, all.first);
    for (auto& [id, s] : fleet_.all()) {
      const auto& [readers, memory] = cells[s.info.cell];
      const double pull = memory / std::max(1.0, readers) / std::max(1.0, fair);
      s.pull = s.role != Role::prefill ? 1 : memory > 0 ? std::clamp(pull, kPullMin, kPullMax) : kPullFar;
    }
  }

  // The time that being turned away is likely to take at a server, once and again, before it lets one in.
  // Guards against servers that turn away slowly and show no load; where it is quick it costs next to
  // nothing.
  double rejection(const Server& s) const {
    const double share = s.rejected * freshness(s.turnedAt, kTurnedLife);
    return s.turnedTime * share / std::max(kTurnedLeast, 1 - share);
  }

  void learnTurned(Server& s, const Flight& f, bool away) {
    if (!away && s.rejected == 0) return;
    const double share = s.rejected * freshness(s.turnedAt, kTurnedLife);
    s.rejected = share + kTurnedWeight * ((away ? 1 : 0) - share);
    s.turnedAt = now_;
    const double took = asDouble(now_ - f.sentAt);
    if (away) s.turnedTime += s.turnedTime == 0 ? took : kTurnedWeight * (took - s.turnedTime);
  }

  const Server* pickReader(const Request& r, Role role) const {
    const auto list = candidates(r, role);
    const Server* reader = pickReader(r, list);
    // Where this router's own part of a large role is late, it looks at more of it.
    if (!reader || !fleet_.large(role) || readCost(r, *reader) <= kHashGuard * asDouble(r.aimAt - now_))
      return reader;
    return pickReader(r, candidates(r, role, nullptr, kSampledLate));
  }

  const Server* pickReader(const Request& r, const std::vector<const Server*>& list) const {
    if (list.empty()) return nullptr;
    const auto cost = [&](const Server& s) { return readCost(r, s) + rejection(s); };
    const bool known = std::any_of(list.begin(), list.end(), [&](auto* s) { return cached(r, *s) > 0; });
    auto homes = list;
    std::erase_if(homes, [&](auto* s) { return !isHome(r, *s); });
    const Server* home = known ? nullptr : least(homes, order_, cost);
    const bool letsIn = home && rejection(*home) <= kTurnedHome * aim_;
    if (letsIn && readCost(r, *home) <= kHashGuard * asDouble(r.aimAt - now_)) return home;
    return least(list, r.request.sharedPrefix, cost);
  }

  // ---- choosing a writer: most room in the reader's cell ----

  double tokensHeld(const Request& r, const Server& s) const {
    const double perToken = std::max(1.0, asDouble(r.kind.timePerOutputTokenObjective));
    const double output = r.request.expectedOutput > 0 ? asDouble(r.request.expectedOutput) / perToken
                                                       : kOutputGuess * r.request.maxOutput;
    return promptAt(r, s) + output;
  }

  // Share of its memory that a server holds: by its report, moved on by what was sent and ended since, and
  // fading to the fleet's mean; without one, own streams as this router's part of all, as far as they are
  // enough to tell: one stream of one router in a hundred is no sign of a hundred.
  double fill(const Server& s, double more) const {
    const double memory = s.memory > 0 ? s.memory : 1e5;
    if (s.reportAt == 0 || !s.report.memoryShare) return meanShare_ + (s.held * others_ + more) / memory;
    const double then = *s.report.memoryShare - s.ownAtReport / memory;
    return meanShare_ + (then - meanShare_) * freshness(s.reportAt, kShareLife) + (s.held + more) / memory;
  }

  void measureFleet() {
    double share = 0;
    double weight = 0;
    const auto servers =
        asDouble(static_cast<Micros>(fleet_.listed(Role::decode) + fleet_.listed(Role::combined)));
    std::array<double, 3> seen{1, 1, 1};
    queues_ = {};
    for (const auto& [id, s] : fleet_.met()) {
      if (!s->listed) continue;
      const double met = freshness(s->queueAt, kQueueLife * aim_);
      queues_[static_cast<std::size_t>(s->role)] += met * s->queue;
      seen[static_cast<std::size_t>(s->role)] += met;
      if (s->role == Role::prefill) continue;
      const double fresh = s->report.memoryShare ? freshness(s->reportAt, kShareLife) : 0;
      share += fresh * s->report.memoryShare.value_or(0);
      weight += fresh;
    }
    // Old reports tell less and less, also where there is no other: one of a full writer would stand for the
    // fleet for good, and the router refuse all it gets.
    meanShare_ = share / std::max(kShareLeast, weight);
    for (std::size_t role = 0; role < 3; ++role) queues_[role] /= seen[role];
    const auto streams = asDouble(std::count_if(requests_.begin(), requests_.end(), [](const auto& item) {
      return item.second.out && item.second.out->held > 0;
    }));
    const double each = streams / std::max(1.0, servers);
    evidence_ = each * each / (each * each + kStreamEvidence);
    others_ = 1 + (asDouble(static_cast<Micros>(set_.routers)) - 1) * evidence_;
  }

  // Most room in the reader's cell, then elsewhere. A cell's writers take the states of the same readers and
  // are busy together: a request that one of them kept waiting leaves the cell. Guards against tries at all
  // writers of a hot beginning's cell, one after the other; harm: a state crosses a link where one writer
  // alone is slow.
  const Server* pickWriter(const Request& r, std::uint64_t cell, double limit) const {
    const auto list = candidates(r, Role::decode, &cell);
    const auto mixed = candidates(r, Role::combined, &cell);
    const auto score = [&](const Server& s) {
      return fill(s, tokensHeld(r, s)) * speed(s) + rejection(s) / aim_;
    };
    const auto best = [&](auto fits) -> const Server* {
      for (const auto* group : {&list, &mixed}) {
        auto part = *group;
        std::erase_if(part, [&](auto* s) { return !fits(*s) || fill(*s, tokensHeld(r, *s)) > limit; });
        if (const Server* found = least(part, order_, score)) return found;
      }
      return nullptr;
    };
    const bool leaves = std::find(r.slowCells.begin(), r.slowCells.end(), cell) != r.slowCells.end();
    const auto near = [&](const Server& s) { return s.info.cell == cell; };
    const auto far = [&](const Server& s) { return s.info.cell != cell; };
    const Server* writer = leaves ? best(far) : best(near);
    return writer ? writer : leaves ? best(near) : best(far);
  }

  // Time from a send to a writer to its first token: of late, fading to what is usual without news, so that
  // a refusal never rests on old grounds; and no less than the longest wait there now, the freshest news.
  double firstToken(const Server& s) const { return std::max(longestWait(s), recentFirstToken(s)); }
  double recentFirstToken(const Server& s) const { return faded(s.firstTime, s.firstAt, fleetFirstToken()); }
  // Where own streams are too few to tell of one writer, those at all of them do: few jams are one writer's.
  double fleetFirstToken() const {
    return writeTime_ + (1 - evidence_) * (faded(firstTime_, firstAt_, writeTime_) - writeTime_);
  }

  double faded(double value, Micros since, double rest) const {
    return rest + (value - rest) * freshness(since, kFirstLife * aim_);
  }

  void learnFirst(Server& s, double took) {
    s.firstTime = recentFirstToken(s) + kFirstWeight * (took - recentFirstToken(s));
    s.firstAt = now_;
    learnFleetFirst(took);
  }

  void learnFleetFirst(double took) {
    const double before = faded(firstTime_, firstAt_, writeTime_);
    firstTime_ = before + kFirstWeight * (took - before);
    firstAt_ = now_;
  }

  // ---- a request's way ----

  void on(const RequestArrived& request) {
    if (requests_.contains(request.id)) return;
    Request& r = requests_[request.id];
    r.request = request;
    if (!request.requestClass || *request.requestClass >= set_.classes.size()) return end(r, false);
    r.kind = set_.classes[*request.requestClass];
    r.aimAt = now_ + r.kind.ttftObjective +
              asMicros(asDouble(r.kind.ttftObjectivePerKiloToken) * request.promptTokens / 1000);
    r.deadline = now_ + request.remaining;
    double& mean = meanPrompt_.try_emplace(*request.requestClass, request.promptTokens).first->second;
    mean += 0.05 * (request.promptTokens - mean);
    arrived_.emplace_back(now_, workOf(r));
    setTimer(timerFor(request.id, Purpose::deadline), std::max<Micros>(0, request.remaining));
    advance(r);
  }

  // Decides what comes next for a request with no attempt out.
  void advance(Request& r) {
    if (now_ >= r.deadline || r.attempts >= set_.maxAttempts || !mayTry(r)) return end(r, true);
    if (r.stateAt && !outlived(r)) return write(r);
    findHomes(r);
    if (takesWhole(r) && whole(r, Role::combined)) return;
    if (const Server* reader = pickReader(r, Role::prefill)) return read(r, *reader);
    if (whole(r, Role::combined) || (set_.decodeEndpointsPrefill && whole(r, Role::decode))) return;
    mayServeYet(r) ? look(r, asMicros(aim_ / kHoldLooks)) : end(r, true);
  }

  // Only a server that is full or cold by now, and quick enough once it is not, is worth waiting for. Without
  // hope the answer comes at once: a client that is held back can't try elsewhere or come back in time.
  bool mayServeYet(const Request& r) const {
    return anyListed([&](const Server& s) {
      return !usable(s) && inScope(r, s) && (s.role != Role::decode || set_.decodeEndpointsPrefill) &&
             readWork(r, s) + writeTime_ <= kHope * asDouble(hopeUntil(r) - now_);
    });
  }
  static Micros hopeUntil(const Request& r) { return r.attempts == 0 ? r.aimAt : r.deadline; }

  // Rule 2: an unsafe request that may have run is never tried again; a keyed one only while remembered.
  bool mayTry(const Request& r) const {
    if (!r.riskAt || r.kind.idempotency == Idempotency::idempotent) return true;
    return r.kind.idempotency == Idempotency::idempotentWithKey &&
           now_ - r.riskSince < r.kind.deduplicationWindow;
  }

  bool inScope(const Request& r, const Server& s) const {
    if (!r.riskAt || r.kind.idempotency == Idempotency::idempotent ||
        r.kind.deduplicationScope == DeduplicationScope::fleet)
      return true;
    const auto& risk = *r.riskAt;
    return r.kind.deduplicationScope == DeduplicationScope::zone ? s.info.zone == risk.zone
                                                                 : s.info.cell == risk.cell;
  }

  void read(Request& r, const Server& s) {
    Flight f{.endpoint = s.info.id, .stage = Stage::read};
    f.promised = cached(r, s);
    f.size = promptAt(r, s) - f.promised;
    f.work = readWork(r, s);
    f.predicted = readCost(r, s);
    f.told = queue(s) / cameTrue();
    const Server* writer = pickWriter(r, s.info.cell, kEntryRoom);
    const double first = writer ? firstToken(*writer) : fleetFirstToken();
    if (!hopeful(r, f.predicted + first, f.work, hopeUntil(r)) || !writer) return end(r, true);
    send(r, f, patience(r, f, kReadPatience));
  }

  // Without hope of a timely first token, at the writer that it would get by now, a request only makes those
  // behind it late as well; refusing it is cheap, and its client may come again. With no writer to be had
  // memory has run out, which tells of a jam before first tokens do. Guards against jams of any cause. What
  // is uncertain is the wait more than the own read, of which only a part needs room; guards against refusing
  // long prompts that would be in time. Harm: in a jam dear requests are let in that cheap ones could use.
  bool hopeful(Request& r, double time, double own, Micros until) const {
    r.excess = time - kSure * own - kHope * (asDouble(until - now_) - kSure * own);
    return r.excess <= 0;
  }

  Micros holdLimit() const { return set_.kvReleaseTimeout > 0 ? set_.kvReleaseTimeout : asMicros(aim_); }

  // Whether a state's time is over, as writes that never arrived have used it up: it is let go, and the
  // prompt read anew. Guards rule 5 where connections to writers fail one after another; harm: one more read.
  bool outlived(Request& r) {
    if (now_ - r.stateSince < holdLimit()) return false;
    r.stateAt.reset();
    out_->push_back(Release{r.request.id});
    return true;
  }

  void write(Request& r) {
    const Micros limit = holdLimit();
    const bool lastLook = asDouble(now_ - r.stateSince) >= kHoldShare * asDouble(limit);
    const Server* s = pickWriter(r, r.stateAt->cell, lastLook ? kAnyRoom : kRoom);
    if (s && !inScope(r, *s)) s = nullptr;
    if (!s) return lastLook || !answerableYet(r) ? end(r, true) : look(r, limit / kHoldLooks);
    Flight f{.endpoint = s->info.id, .stage = Stage::write};
    f.predicted = writeTime_ * speed(*s);
    f.size = f.held = tokensHeld(r, *s);
    send(r, f, r.kind.idempotency == Idempotency::idempotent ? patience(r, f, kWritePatience) : 0);
  }

  bool answerableYet(const Request& r) const {  // a state waits for room only while it may be in time
    return asDouble(r.deadline - now_) > writeTime_ &&
           anyListed([&](const Server& s) { return s.role != Role::prefill && inScope(r, s); });
  }
  template <class Test>
  bool anyListed(Test test) const {
    return std::any_of(fleet_.all().begin(), fleet_.all().end(),
                       [&](const auto& item) { return item.second.listed && test(item.second); });
  }

  // Mixed servers take their share whole: the part of all answering memory that is theirs, over how long
  // answers stream of late at either role. Guards against streams slowed by reads between them, or by any
  // cause; harm: answers that are longer at one role look slow. Only prompts up to about the mean read count.
  bool takesWhole(const Request& r) {
    if (r.attempts > 0) return false;
    double mixed = 0;
    double writers = 0;
    for (const Role role : {Role::combined, Role::decode}) {
      if (fleet_.large(role)) {
        (role == Role::combined ? mixed : writers) += fleet_.listedMemory(role) / streamTime(role);
        continue;
      }
      for (const Server* s : fleet_.ofRole(role))
        if (s->listed)
          (role == Role::combined ? mixed : writers) += std::max(1.0, s->memory) / streamTime(role);
    }
    if (mixed <= 0 || uniform() * (mixed + writers) >= mixed) return false;
    const Server* s = pickReader(r, Role::combined);
    return s && readWork(r, *s) <= kMixedRead * readTime_;
  }

  double& streamTime(Role role) { return streams_[static_cast<std::size_t>(role)]; }

  bool whole(Request& r, Role role) {
    if (role == Role::decode) addHomes(r, role);
    const Server* s = pickReader(r, role);
    if (!s || !inScope(r, *s)) return false;
    Flight f{.endpoint = s->info.id, .stage = Stage::whole};
    f.promised = cached(r, *s);
    f.size = promptAt(r, *s) - f.promised;
    f.work = readWork(r, *s);
    f.predicted = readCost(r, *s) + firstToken(*s);
    f.held = tokensHeld(r, *s);
    if (!hopeful(r, f.predicted, f.work, r.aimAt)) return false;
    if (role == Role::decode && (r.attempts > 0 || fill(*s, f.held) > kEntryRoom)) return false;
    send(r, f, r.kind.idempotency == Idempotency::idempotent ? patience(r, f, kWritePatience) : 0);
    return true;
  }

  // A time-out from the predicted time, leaving room for one more attempt where time allows.
  Micros patience(const Request& r, const Flight& f, double multiple) const {
    const double left = asDouble(r.deadline - now_);
    const double wanted = multiple * f.predicted + kPatienceFloor * aim_;
    const double spare = left - f.predicted - writeTime_;
    const double cap =
        r.attempts + 1 >= set_.maxAttempts ? left : std::min(wanted, std::max(spare, left / 2));
    return std::max<Micros>(1, asMicros(std::min(cap, left)));
  }

  void send(Request& r, Flight f, Micros timeout) {
    Server& s = fleet_.at(f.endpoint);
    fleet_.meet(f.endpoint, s);
    f.number = r.attempts++;
    f.sentAt = now_;
    f.trial = s.suspect;
    if (f.trial) s.trial = r.request.id;
    f.patience = timeout;
    s.held += f.held;
    s.waits.set(r.request.id, f);
    cuts_.clear();
    s.sends.emplace_back(now_, workOf(r));
    if (f.work > 0) reads_.add({r.request.sharedPrefix, now_, f.work});
    r.out = f;
    const bool watched = set_.canCancel && timeout > 0;
    out_->push_back(Send{r.request.id, f.endpoint, watched ? 0 : timeout});
    if (watched) setTimer(timerFor(r.request.id, Purpose::watch), timeout);
  }

  void on(const StreamStarted& event) {
    const auto at = requests_.find(event.id);
    if (at == requests_.end() || !at->second.out || at->second.out->number != event.attempt) return;
    Request& r = at->second;
    Flight& f = *r.out;
    f.started = true;
    f.startedAt = now_;
    r.stateAt.reset();
    Server& s = fleet_.at(f.endpoint);
    heard(s, r.request.id, f);
    const double took = asDouble(now_ - f.sentAt);
    learnSpeed(s, took / std::max(1.0, f.predicted));
    if (f.stage == Stage::whole) learnQueue(s, took - (f.work + writeTime_) * speed(s));
    if (f.stage != Stage::write) return;
    learnFirst(s, took);
    writeTime_ +=
        (took < writeTime_ ? kWriteFall : kWriteRise) * (std::min(took, kOutlier * writeTime_) - writeTime_);
  }

  void heard(Server& s, RequestId id, const Flight& f) {
    if (!f.started || f.startedAt == now_) learnTurned(s, f, false);
    s.waits.erase(id);
    s.waits.overtake(f);
    cuts_.clear();
    if (s.trial == id) s.trial.reset();
    s.heardAt = now_;
    acquit(s);
  }

  void on(const AttemptEnded& event) {
    const auto at = requests_.find(event.id);
    if (at == requests_.end() || !at->second.out || at->second.out->number != event.attempt) return;
    Request& r = at->second;
    const Flight f = *r.out;
    r.out.reset();
    Server& s = fleet_.at(f.endpoint);
    if (event.report) note(s, *event.report);
    s.held = std::max(0.0, s.held - f.held);
    judge(r, s, f, event);
    s.waits.erase(r.request.id);
    cuts_.clear();
    if (s.trial == r.request.id) s.trial.reset();
    if (event.reachedEndpoint) r.stateSince = now_;
    if (event.outcome == Outcome::prefillDone || event.outcome == Outcome::completed)
      s.finished.emplace_back(now_, workOf(r));
    if (event.requestEnded) r.ended = true;
    if (r.ended) return forget(r);
    advance(r);
  }

  void note(Server& s, const LoadReport& report) {
    s.report = report;
    s.reportAt = now_;
    s.ownAtReport = s.held;
    // Queued tokens cost the curve's slope, as far as reads sent there did wait for them: many may be cached,
    // or read side by side. An average read would price a cached prefix into every token.
    const double slope = curve_.predict(2000, 0) - curve_.predict(1000, 0);
    const auto& queued = report.queuedKiloTokens ? report.queuedKiloTokens : report.queuedRequests;
    if (queued)
      learnQueue(s, cameTrue() * *queued * (report.queuedKiloTokens ? slope : readTime_) - backlog(s));
  }

  // Of the queues that were reported, the part that reads met. Guards against refusing for queues of cached
  // prompts; harm: a queue that builds up beside quick ones is believed late.
  double cameTrue() const { return (kToldPrior * aim_ + met_) / (kToldPrior * aim_ + told_); }

  void learnCameTrue(const Server& s, const Flight& f, double waited) {
    if (!s.report.queuedKiloTokens && !s.report.queuedRequests) return;
    told_ += f.told - told_ / kCurveMemory;
    met_ += std::clamp(waited, 0.0, f.told) - met_ / kCurveMemory;
  }

  void judge(Request& r, Server& s, const Flight& f, const AttemptEnded& event) {
    switch (event.outcome) {
      case Outcome::prefillDone: return readDone(r, s, f, event.cachedTokens);
      case Outcome::completed:
        heard(s, r.request.id, f);
        if (f.started)
          streamTime(s.role) += kStreamWeight * (asDouble(now_ - f.startedAt) - streamTime(s.role));
        if (f.stage == Stage::whole) correct(r, f, event.cachedTokens);
        return;
      case Outcome::rejected: return full(r, s, f, event);
      case Outcome::notSent: return;
      case Outcome::connectFailed: strike(f.endpoint, kStrikeConnect, "no connection"); break;
      case Outcome::connectionReset:
        if (event.reusedConnection && f.stage == Stage::read)
          return;  // once more, at the same server if it is best
        if (!event.reusedConnection) strike(f.endpoint, kStrikeReset, "reset");
        break;
      case Outcome::error: strike(f.endpoint, kStrikeError, "error"); break;
      case Outcome::cancelled:
        // A client that went away early tells nothing of the server that had its request.
        if (r.left && asDouble(now_ - f.sentAt) < kReadPatience * f.predicted) return;
        [[fallthrough]];
      case Outcome::timedOut:
        if (s.heardAt <= f.sentAt)
          strike(f.endpoint, kStrikeTimeout, "silence");  // else it is slow, not sick
        if (const Flight* w = s.waits.find(r.request.id); w && lost(*w, kQuietShare)) break;
        learnSpeed(s, kSpeedMax);
        if (f.stage == Stage::write) {
          learnFleetFirst(asDouble(now_ - f.sentAt));  // at least that long
          r.slowCells.push_back(s.info.cell);
        }
        if (f.stage != Stage::write) learnQueue(s, asDouble(now_ - f.sentAt) - f.work * speed(s));
        break;
    }
    r.failed.push_back(f.endpoint);
    if (f.stage != Stage::read && event.outcome != Outcome::connectFailed && !r.riskAt) {
      r.riskAt = fleet_.at(f.endpoint).info;
      r.riskSince = f.sentAt;
    }
  }

  void readDone(Request& r, Server& s, const Flight& f, double found) {
    const double took = asDouble(now_ - f.sentAt);
    const double alone = asDouble(now_ - std::max(f.sentAt, s.readDoneAt));
    learnCameTrue(s, f, took - curve_.predict(promptAt(r, s), found) * speed(s));
    curve_.learn(promptAt(r, s), found, alone / speed(s));
    if (!s.report.queuedKiloTokens && !s.report.queuedRequests)
      learnQueue(s, (1 - evidence_) * (alone - curve_.predict(promptAt(r, s), found) * speed(s)));
    learnSpeed(s, took / std::max(1.0, f.predicted / speed(s)));
    readTime_ += readTime_ == 0 ? alone : 0.05 * (alone - readTime_);
    s.readDoneAt = now_;
    heard(s, r.request.id, f);
    correct(r, f, found);
    r.stateAt = s.info;
  }

  // Full is an answer: the server lives. Without a state it is the state that failed, by its reader's
  // death, a cut or a release, so the writer is not blamed and the prompt is read anew elsewhere.
  void full(Request& r, Server& s, const Flight& f, const AttemptEnded& event) {
    if (event.reachedEndpoint) s.heardAt = now_;
    cuts_.clear();
    if (event.kvStateMissing && r.stateAt) {
      r.failed.push_back(r.stateAt->id);
      r.stateAt.reset();
      return;
    }
    learnTurned(s, f, true);
    s.fullUntil = now_ + asMicros(writeTime_);
    r.failed.push_back(s.info.id);
  }

  void look(Request& r, Micros delay) {
    setTimer(timerFor(r.request.id, Purpose::look), std::max<Micros>(1000, delay));
  }

  void on(const TimerFired& event) {
    const auto purpose = static_cast<Purpose>(event.id.value % 4);
    if (purpose == Purpose::tick) return tick();
    const auto at = requests_.find(RequestId{event.id.value / 4});
    if (at == requests_.end() || at->second.ended) return;
    Request& r = at->second;
    if (purpose == Purpose::look && !r.out) return advance(r);
    if (purpose == Purpose::watch) return watch(r);
    if (purpose == Purpose::deadline && !(r.out && r.out->started)) end(r, true);
  }

  // Patience has run out. A server that gave a sign since is busy, not sick: giving up on it would leave
  // its work behind as waste and make a jam worse, so only silence ends the attempt, of the server or, where
  // the sign was for one sent later, of the connection.
  void watch(Request& r) {
    if (!r.out || r.out->started || r.out->patience == 0) return;
    const Micros due = r.out->sentAt + r.out->patience;
    const Server& s = fleet_.at(r.out->endpoint);
    const Flight* w = s.waits.find(r.request.id);
    if (now_ < due || (s.heardAt > r.out->sentAt && !(w && lost(*w, 1))))
      return setTimer(timerFor(r.request.id, Purpose::watch), std::max(due - now_, r.out->patience / 2));
    out_->push_back(Cancel{r.request.id, r.out->number});
    r.out->patience = 0;
  }

  void on(const RequestCancelled& event) {
    const auto at = requests_.find(event.id);
    if (at == requests_.end()) return;
    at->second.ended = at->second.left = true;
    forget(at->second);
  }

  void on(const PromptCounted& event) {
    if (const auto at = requests_.find(event.id); at != requests_.end())
      at->second.request.counts = event.counts;
  }

  // ---- ends: one final answer, then nothing held ----

  // Refusing promises that a retry is harmless: only where nothing may have run.
  void end(Request& r, bool known) {
    const bool harmless = r.kind.idempotency == Idempotency::idempotent ||
                          (r.kind.idempotency == Idempotency::idempotentWithKey &&
                           r.kind.deduplicationScope == DeduplicationScope::fleet) ||
                          (!r.riskAt && (!r.out || r.out->stage == Stage::read));
    const bool readOut = r.out && r.kind.idempotency != Idempotency::idempotent;
    if (known && harmless && !readOut)
      out_->push_back(Reject{r.request.id, retryAfter(r)});
    else
      out_->push_back(Fail{r.request.id});
    r.ended = true;
    forget(r);
  }

  // When a refused client had better come back: when what was in its way, as far as it was seen, is over. Up
  // to half of it is taken off by lot, so that clients refused together don't return together.
  Micros retryAfter(const Request& r) {
    if (!set_.passesRetryAfter) return 0;
    const double most = set_.maxRetryAfter > 0 ? asDouble(set_.maxRetryAfter) : asDouble(r.kind.deadline);
    const double wait = std::min(most, std::max(r.excess, kRetryLeast * aim_));
    return std::max<Micros>(1000, asMicros(wait * (1 - kRetrySpread * uniform())));
  }

  void forget(Request& r) {
    if (r.out && !r.out->started && set_.canCancel) out_->push_back(Cancel{r.request.id, r.out->number});
    out_->push_back(Release{r.request.id});
    if (!r.out) requests_.erase(r.request.id);  // else at the outcome of what is out, which may leave a state
  }

  // ---- probes, lists to be asked for, memory ----

  void on(const ProbeEnded& event) {
    Server* const known = fleet_.find(event.endpoint);
    if (known == nullptr) return;
    Server& s = *known;
    s.probing = false;
    if (event.report) note(s, *event.report);
    s.answeredProbe = event.ok;
    if (!event.ok) strike(event.endpoint, kStrikeConnect, "probe unanswered");
  }

  void tick() {
    ticking_ = true;
    setTimer(timerFor({0}, Purpose::tick), kTick);
    if (set_.discovery == Discovery::poll && !subscribed_) out_->push_back(Subscribe{});
    while (!arrived_.empty() && arrived_.front().first < now_ - kLoadHorizon) arrived_.pop_front();
    reads_.expire(now_ - kTableLife);
    std::erase_if(fleet_.starting(), [this](const Server* s) { return !cold(*s); });
    measureUsual();
    measureFleet();
    const double arrived = asDouble(std::ssize(arrived_));  // with none there is no demand, and no turn
    const double meanWork = std::max(1.0, sum(arrived_, 0) / std::max(1.0, arrived));
    const double windows =
        arrived > 0 ? asDouble(now_ - tickedAt_) / std::max(1.0, asDouble(set_.overloadWindow)) : 0;
    for (Server* s : fleet_.starting()) giveTurns(*s, windows, meanWork);
    for (const auto& [id, s] : fleet_.met()) {
      for (auto* ledger : {&s->sends, &s->finished})
        while (!ledger->empty() && ledger->front().first < now_ - kLoadHorizon) ledger->pop_front();
      if (!set_.canProbe || !s->suspect || !s->listed || s->probing || s->answeredProbe || now_ < s->trialAt)
        continue;
      s->probing = true;
      out_->push_back(Probe{id});
    }
    fleet_.forgetGone();
    std::erase_if(suspects_, [this](EndpointId id) { return fleet_.find(id) == nullptr; });
    for (auto* table : {&shared_, &sessions_}) table->expire(now_ - kTableLife);
    tickedAt_ = now_;
  }

  void setTimer(TimerId id, Micros delay) { out_->push_back(SetTimer{id, delay}); }
  void say(EndpointId id, const std::string& what, const std::string& why) {
    out_->push_back(Log{"server " + std::to_string(id.value) + " " + what + ": " + why});
  }
  double uniform() { return unit(random_()); }

  Settings set_;
  std::mt19937_64 random_;
  PrefixKey order_;  // this router's own order of the servers, where they are alike
  double meanShare_ = 0;
  double evidence_ = 0;  // 0: own streams tell nothing of a server's load, 1: all
  double others_ = 1;
  double aim_;  // smallest of the classes' aims
  PrefillCostModel curve_;
  double writeTime_;      // usual time from a send to a writer to the first token
  double firstTime_ = 0;  // first tokens of all writers, of late
  Micros firstAt_ = 0;
  double readTime_ = 0;
  double told_ = 0;  // queues reported where reads were sent, as time, of late ...
  double met_ = 0;   // ... and what of them was waited
  double homeReads_ = 1;
  double homeShare_ = 0;            // of shared beginnings, found at homes that the table did not know
  std::array<double, 3> queues_{};  // by role: the mean of the queues seen of late
  std::array<double, 3> streams_{aim_, aim_, aim_};  // by role: time from first token to end, of late
  bool subscribed_ = false;
  bool ticking_ = false;
  Micros tickedAt_ = 0;
  Micros now_ = 0;
  std::vector<Action>* out_ = nullptr;
  Fleet fleet_{order_};
  std::set<EndpointId> suspects_;  // some may have left the list
  std::map<RequestId, Request> requests_;
  mutable std::map<std::size_t, bool>
      cuts_;  // zones whose state is known, until anything that counts changes
  Table shared_;
  Table sessions_;
  Readings reads_;  // own reads of late
  std::map<std::size_t, double> meanPrompt_;
  std::deque<std::pair<Micros, double>> arrived_;  // work asked for, of late
  std::array<double, 3> usual_{-1, -1, -1};        // by role; negative: never seen
};

RoutingPolicy::RoutingPolicy(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
RoutingPolicy::RoutingPolicy(RoutingPolicy&&) noexcept = default;
RoutingPolicy& RoutingPolicy::operator=(RoutingPolicy&&) noexcept = default;
RoutingPolicy::~RoutingPolicy() = default;

void RoutingPolicy::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace garnethook
