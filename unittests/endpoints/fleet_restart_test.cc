#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/endpoints/load_tracker.h"
#include "toucanwharf/gossip/beacon_schedule.h"
#include "toucanwharf/gossip/entry_advice.h"
#include "toucanwharf/gossip/fleet_start.h"
#include "toucanwharf/gossip/initial_read_policy.h"
#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/gossip/ready_instance_list.h"
#include "toucanwharf/placement/path_finder.h"
#include "toucanwharf/support/random.h"

/// Replays the restart of a whole fleet in virtual time, without I/O. Time zero
/// is the loss of all instances.
namespace toucanwharf::endpoints {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
/// The first processes run again after this time, the last 0.5 s later.
constexpr Duration kFirstStart = milliseconds(1200);
constexpr Duration kStartSpread = milliseconds(500);
/// From the start of a weak instance to its confirmed configuration. Longer
/// than the 0.2 s aimed at, so that many callers come before it.
constexpr Duration kConfirmedAfter = milliseconds(850);
/// How long a request waits at an instance that isn't ready.
constexpr Duration kStartupWait = milliseconds(600);
constexpr int kCallers = 900;
constexpr Duration kFirstRetry = milliseconds(1950);
constexpr Duration kRetrySpread = milliseconds(300);
/// A leader would have been elected by then.
constexpr Duration kEnd = milliseconds(3600);
constexpr std::size_t kStrong = 6;
constexpr std::size_t kAdvisedAtMost = 64;
constexpr double kPromptTokens = 775;
constexpr double kOutputTokens = 220;
constexpr std::uint32_t kLayers = 80;
constexpr double kTokenLayers = (kPromptTokens + kOutputTokens) * kLayers;
constexpr int kEngines = 10;
constexpr int kAnswersOfEngine = 216;
constexpr int kEngineAttempts = 3;

TimePoint At(Duration since_loss) { return TimePoint{since_loss}; }

/// Callers and peers use the same address.
std::string AddressOf(int number) {
  return "10.0.0." + std::to_string(number + 1) + ":7000";
}

/// The decisions of a build.
struct Decisions {
  /// Processes that have just started aren't assumed loaded; otherwise all are.
  bool reported_loads = true;
  /// Instances that will soon be ready are advised, and those that read the
  /// store tell their failure domain which these are; otherwise only ready
  /// ones.
  bool early_advice = true;
};
constexpr Decisions kEarlierDecisions{false, false};
constexpr Decisions kWithoutEarlyAdvice{true, false};

/// A model of which each engine holds all layers.
placement::EngineModel MakeModel() {
  placement::EngineModel model;
  model.layers = kLayers;
  model.layer_mb = 100;
  model.token_mb = 0.5;
  model.step_millis = 20;
  model.step_millis_per_answer = 0.1;
  model.prefill_tokens_per_milli = 10;
  placement::AcceleratorKind kind{"kind", 0, 1, 1};
  kind.memory_mb =
      model.layer_mb * kLayers +
      model.token_mb * kAnswersOfEngine * (kPromptTokens + kOutputTokens);
  model.kinds.push_back(kind);
  return model;
}

std::vector<Endpoint> MakeEngines() {
  std::vector<Endpoint> engines(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    Endpoint& engine = engines[static_cast<std::size_t>(i)];
    engine.id = "engine-" + std::to_string(i);
    engine.address = engine.id;
    engine.failure_domain = std::to_string(i % 3);
    engine.kind = "kind";
    engine.layers = {0, kLayers};
  }
  return engines;
}

/// Finds a path as an instance of a large fleet does.
std::optional<std::string> FindEngine(const placement::EngineModel& model,
                                      const std::vector<Endpoint>& engines,
                                      const LoadTracker& loads,
                                      std::set<std::string> excluded,
                                      TimePoint now, Random& random) {
  std::vector<placement::Engine> usable;
  for (const Endpoint& engine : engines) {
    if (loads.IsSuspected(engine.id, now)) continue;
    usable.push_back(loads.ToEngine(engine, now));
  }
  placement::PathQuery query;
  query.failure_domain = "0";
  query.prompt_tokens = kPromptTokens;
  query.output_tokens = kOutputTokens;
  query.excluded = std::move(excluded);
  placement::PathSettings settings;
  settings.entry_choices = placement::kEntryChoicesInLargeFleet;
  settings.capacity_share = placement::kCapacityShareInLargeFleet;
  const auto choice = FindPath(model, usable, query, settings, random);
  if (!choice.path) return std::nullopt;
  return choice.path->stages.front().endpoint;
}

struct Instance {
  explicit Instance(std::string own)
      : address(std::move(own)),
        peers(address),
        schedule({}, HashText(address)) {}

  bool IsReady(TimePoint now) const { return now >= this->ready_at; }
  bool ReadsImmediately() const {
    return gossip::ReadsImmediately(this->processor_share);
  }

  std::string address;
  std::string failure_domain;
  double processor_share = 0;
  TimePoint started;
  TimePoint ready_at;
  gossip::PeerTable peers;
  gossip::ReadyInstanceList ready_list;
  gossip::BeaconSchedule schedule;
  LoadTracker loads;
  int requests = 0;
};

struct Caller {
  TimePoint next_attempt;
  std::vector<std::string> advised;
  TimePoint advised_until;
  /// The instance at which the request waits until that is ready, or null.
  Instance* waits_at = nullptr;
  bool refused = false;
  bool served = false;
};

/// What callers got.
struct Outcome {
  /// Callers that were refused at least once for lack of capacity, and because
  /// an instance wasn't ready in time.
  int without_capacity = 0;
  int not_ready = 0;
  int served = 0;
  int requests = 0;
  int refusals = 0;
  /// The most requests that an instance got, as a multiple of the mean.
  double max_over_mean = 0;
};

/// A fleet without a leader, its engines and its callers.
class Restart {
 public:
  Restart(int count, const Decisions& chosen) : decisions(chosen) {
    for (int i = 0; i < count; ++i) this->AddInstance(i);
    for (const auto& instance : this->instances) {
      for (const auto& peer : this->instances) {
        if (peer == instance) continue;
        instance->peers.AddAddress(peer->address, instance->started);
      }
    }
    for (const Endpoint& engine : this->engines) {
      this->held[engine.id] = kAnswersOfEngine / 3;
    }
    this->callers.resize(kCallers);
    for (Caller& caller : this->callers) {
      caller.next_attempt = At(kFirstRetry) + this->Below(kRetrySpread);
    }
  }

  Outcome Run() {
    for (TimePoint now; now < At(kEnd); now = now + kStep) {
      this->EndAnswers(now);
      for (const auto& instance : this->instances) this->Step(*instance, now);
      for (Caller& caller : this->callers) this->Step(caller, now);
    }
    int most = 0;
    for (const auto& instance : this->instances) {
      most = std::max(most, instance->requests);
    }
    this->outcome.max_over_mean = static_cast<double>(most) *
                                  static_cast<double>(this->instances.size()) /
                                  this->outcome.requests;
    return this->outcome;
  }

 private:
  struct Answer {
    Instance* instance;
    std::string engine;
  };

  Duration Below(Duration bound) {
    return kStep * static_cast<int>(this->random.Below(
                       static_cast<std::uint64_t>(bound / kStep)));
  }

  void AddInstance(int number) {
    auto added = std::make_unique<Instance>(AddressOf(number));
    const bool strong = this->instances.size() < kStrong;
    added->failure_domain = std::to_string(number % 3);
    added->processor_share = strong ? 0.5 : 0.1;
    added->started = At(kFirstStart);
    if (!strong) added->started = added->started + this->Below(kStartSpread);
    added->ready_at = added->started;
    if (!strong) added->ready_at = added->ready_at + kConfirmedAfter;
    this->by_address[added->address] = added.get();
    this->instances.push_back(std::move(added));
  }

  /// Sends this moment's beacons, and estimates the peers' loads.
  void Step(Instance& instance, TimePoint now) {
    if (now < instance.started) return;
    const Duration uptime = now - instance.started;
    this->RequestConfirmation(instance, now);
    if (uptime % instance.schedule.Period() != Duration(0)) return;
    gossip::PeerTable& peers = instance.peers;
    const std::size_t assumed =
        this->decisions.reported_loads
            ? gossip::CountAssumedLoaded(peers, uptime, now)
            : peers.InstanceCount(now) - 1;
    const bool knows_fleet = instance.ready_list.IsCurrent(now);
    instance.loads.AssumeEqualPeerLoad(knows_fleet ? 0 : assumed);
    gossip::BeaconTargets targets;
    targets.same_domain = peers.AddressesInDomain(instance.failure_domain, now);
    targets.other_domains =
        peers.AddressesInOtherDomains(instance.failure_domain, now);
    peers.SetPeerTimeout(
        instance.schedule.PeerTimeout(targets.same_domain.size()));
    std::vector<std::string> recipients = instance.schedule.Next(targets);
    const bool assists = this->decisions.early_advice &&
                         instance.ReadsImmediately() &&
                         gossip::MostAreStarting(peers.AllLive(now), now);
    gossip::Beacon beacon = MakeBeacon(instance, now);
    if (assists) {
      recipients = targets.same_domain;
      beacon.ready_instances = ReadyInstances(instance, now);
    }
    this->Send(beacon, recipients, now);
  }

  /// An instance that isn't confirmed asks those that read the store.
  void RequestConfirmation(const Instance& instance, TimePoint now) const {
    constexpr Duration kRequestPeriod = milliseconds(100);
    const bool requests =
        this->decisions.early_advice && !instance.IsReady(now) &&
        (now - instance.started) % kRequestPeriod == Duration(0);
    if (!requests) return;
    std::vector<std::string> readers;
    for (const auto& peer : this->instances) {
      const bool nearby = peer->failure_domain == instance.failure_domain;
      if (nearby && peer->ReadsImmediately()) readers.push_back(peer->address);
    }
    this->Send(MakeBeacon(instance, now), readers, now);
  }

  static gossip::Beacon MakeBeacon(const Instance& sender, TimePoint now) {
    gossip::Beacon beacon;
    beacon.instance = sender.address;
    beacon.uptime = now - sender.started;
    beacon.failure_domain = sender.failure_domain;
    beacon.callers_address = sender.address;
    beacon.processor_share = sender.processor_share;
    beacon.ready = sender.IsReady(now);
    beacon.reaches_endpoints = true;
    beacon.stamp = now.since_start.count();
    beacon.loads = sender.loads.Local();
    return beacon;
  }

  static std::vector<std::uint32_t> ReadyInstances(const Instance& sender,
                                                   TimePoint now) {
    std::vector<std::uint32_t> ready = {*gossip::IpNumber(sender.address)};
    for (const gossip::Peer* peer : sender.peers.AllLive(now)) {
      if (!peer->beacon.ready && !gossip::IsStarting(*peer, now)) continue;
      ready.push_back(*gossip::IpNumber(peer->beacon.callers_address));
    }
    return ready;
  }

  void Send(const gossip::Beacon& beacon,
            const std::vector<std::string>& recipients, TimePoint now) const {
    for (const std::string& address : recipients) {
      Instance& recipient = *this->by_address.at(address);
      if (now < recipient.started) continue;
      recipient.peers.OnBeacon(beacon.callers_address, beacon, now);
      recipient.ready_list.Update(beacon.ready_instances, now);
    }
  }

  /// Asks any running instance for addresses.
  void Ask(Caller& caller, TimePoint now) {
    const Instance& asked =
        *this->instances[this->random.Below(this->instances.size())];
    if (now < asked.started) return;
    const bool fleet_starts =
        this->decisions.early_advice &&
        gossip::MostAreStarting(asked.peers.AllLive(now), now);
    auto advised = this->Advised(asked, now);
    if (!fleet_starts) {
      for (auto& instance : advised) instance.processor_share = 0;
    }
    caller.advised =
        gossip::DrawAdvised(std::move(advised), kAdvisedAtMost, this->random);
    caller.advised_until = now + milliseconds(fleet_starts ? 500 : 2000);
  }

  std::vector<gossip::AdvisedInstance> Advised(const Instance& asked,
                                               TimePoint now) const {
    std::set<std::string> addresses;
    const auto serves = [&](const gossip::Peer& peer) {
      return peer.beacon.ready ||
             (this->decisions.early_advice && gossip::IsStarting(peer, now));
    };
    if (asked.IsReady(now)) addresses.insert(asked.address);
    if (asked.ready_list.IsCurrent(now)) {
      for (const std::uint32_t number : asked.ready_list.Ready()) {
        const std::string address = gossip::AddressOf(number, "7000");
        const gossip::Peer* peer = asked.peers.Live(address, now);
        const bool reports_not_ready =
            peer != nullptr && !serves(*peer) &&
            now - peer->last_beacon_at <= gossip::ReadyInstanceList::kMaxAge;
        const bool other = address != asked.address;
        if (other && !reports_not_ready) addresses.insert(address);
      }
    } else {
      for (const gossip::Peer* peer : asked.peers.AllLive(now)) {
        if (serves(*peer)) addresses.insert(peer->beacon.callers_address);
      }
    }
    std::vector<gossip::AdvisedInstance> advised;
    for (const std::string& address : addresses) {
      const gossip::Peer* peer = asked.peers.Live(address, now);
      advised.push_back(
          {address, peer == nullptr ? 0 : peer->beacon.processor_share});
    }
    return advised;
  }

  void Step(Caller& caller, TimePoint now) {
    if (caller.served || now < caller.next_attempt) return;
    if (caller.waits_at != nullptr) {
      this->Serve(caller, *std::exchange(caller.waits_at, nullptr), now);
      return;
    }
    if (now >= caller.advised_until) caller.advised.clear();
    if (caller.advised.empty()) this->Ask(caller, now);
    if (caller.advised.empty()) {
      // It asks another instance.
      caller.next_attempt = now + kStep;
      return;
    }
    const std::size_t drawn = this->random.Below(caller.advised.size());
    Instance& instance = *this->by_address.at(caller.advised[drawn]);
    ++instance.requests;
    ++this->outcome.requests;
    if (instance.ready_at - now > kStartupWait) {
      this->Refuse(caller, this->outcome.not_ready, now);
      return;
    }
    caller.waits_at = &instance;
    caller.next_attempt = std::max(now, instance.ready_at);
    if (caller.next_attempt == now) this->Step(caller, now);
  }

  void Serve(Caller& caller, Instance& instance, TimePoint now) {
    std::set<std::string> excluded;
    for (int attempt = 0; attempt < kEngineAttempts; ++attempt) {
      const auto engine = FindEngine(this->model, this->engines, instance.loads,
                                     excluded, now, this->random);
      if (!engine) break;
      int& answers = this->held[*engine];
      if (answers < kAnswersOfEngine) {
        ++answers;
        instance.loads.AddInFlight({*engine, 1, kTokenLayers, 1});
        const TimePoint end =
            now + milliseconds(1500) + this->Below(milliseconds(1500));
        this->answers_by_end.emplace(end, Answer{&instance, *engine});
        caller.served = true;
        ++this->outcome.served;
        return;
      }
      instance.loads.OnRefusal(*engine, true, now);
      excluded.insert(*engine);
    }
    this->Refuse(caller, this->outcome.without_capacity, now);
  }

  /// The caller honours a Retry-After of 400 ms, more or less by a quarter.
  void Refuse(Caller& caller, int& count, TimePoint now) {
    ++this->outcome.refusals;
    if (!caller.refused) ++count;
    caller.refused = true;
    caller.next_attempt =
        now + milliseconds(300) + this->Below(milliseconds(200));
  }

  void EndAnswers(TimePoint now) {
    auto& by_end = this->answers_by_end;
    while (!by_end.empty() && by_end.begin()->first <= now) {
      const Answer& answer = by_end.begin()->second;
      --this->held[answer.engine];
      answer.instance->loads.RemoveInFlight(
          {answer.engine, 1, kTokenLayers, 1});
      by_end.erase(by_end.begin());
    }
  }

  Decisions decisions;
  Random random{7};
  placement::EngineModel model = MakeModel();
  std::vector<Endpoint> engines = MakeEngines();
  /// Answers at each engine, those of the lost processes included.
  std::map<std::string, int> held;
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<std::string, Instance*> by_address;
  std::vector<Caller> callers;
  std::multimap<TimePoint, Answer> answers_by_end;
  Outcome outcome;
};

Outcome Replay(int count, const Decisions& decisions) {
  const Outcome outcome = Restart(count, decisions).Run();
  BOOST_TEST_MESSAGE(
      count << " instances: " << outcome.without_capacity
            << " callers refused for lack of capacity, " << outcome.not_ready
            << " by instances that were not ready, " << outcome.served
            << " served; " << outcome.refusals << " refusals of "
            << outcome.requests << " requests; at most "
            << outcome.max_over_mean << " times the mean at one instance");
  return outcome;
}

constexpr int kMaxRefused = kCallers * 2 / 100;
constexpr double kMaxOverMean = 5;

// The few instances that are ready first get all callers, assume a hundred
// others to be as loaded, and refuse them before engines that are half empty.
BOOST_AUTO_TEST_CASE(RestartedFleetServesItsCallers) {
  for (const int count : {60, 114}) {
    BOOST_TEST_CONTEXT(count << " instances") {
      const Outcome outcome = Replay(count, {});
      BOOST_TEST(outcome.without_capacity < kMaxRefused);
      BOOST_TEST(outcome.not_ready < kMaxRefused);
      BOOST_TEST(outcome.served == kCallers);
      BOOST_TEST(outcome.max_over_mean <= kMaxOverMean);
    }
  }
}

// The same where the few that are ready are all that callers know: their
// engines have room.
BOOST_AUTO_TEST_CASE(FewReadyInstancesServeTheCallersOfAll) {
  for (const int count : {60, 114}) {
    BOOST_TEST_CONTEXT(count << " instances") {
      const Outcome outcome = Replay(count, kWithoutEarlyAdvice);
      BOOST_TEST(outcome.without_capacity < kMaxRefused);
      BOOST_TEST(outcome.max_over_mean > kMaxOverMean);
    }
  }
}

// The load above would prove nothing if the earlier decisions passed, too.
BOOST_AUTO_TEST_CASE(EarlierDecisionsRefuseMostRequestsOfARestart) {
  for (const int count : {60, 114}) {
    BOOST_TEST_CONTEXT(count << " instances") {
      const Outcome outcome = Replay(count, kEarlierDecisions);
      BOOST_TEST(outcome.refusals > outcome.requests / 2);
      BOOST_TEST(outcome.without_capacity > 10 * kMaxRefused);
      BOOST_TEST(outcome.max_over_mean > kMaxOverMean);
    }
  }
}

// An instance that is cut off, also right after its start, takes the engines
// for empty and sends its callers to full ones.
BOOST_AUTO_TEST_CASE(InstanceThatHearsNobodyAssumesEqualLoad) {
  const TimePoint now = At(milliseconds(500));
  for (const int count : {60, 114}) {
    for (const Duration uptime : {milliseconds(500), milliseconds(60000)}) {
      Instance instance(AddressOf(0));
      for (int i = 1; i < count; ++i) {
        instance.peers.AddAddress(AddressOf(i), At(Duration(0)));
      }
      instance.loads.AssumeEqualPeerLoad(
          gossip::CountAssumedLoaded(instance.peers, uptime, now));
      Random random(7);
      const auto find = [&] {
        return FindEngine(MakeModel(), MakeEngines(), instance.loads, {}, now,
                          random);
      };
      BOOST_TEST(find().has_value());
      // Slightly more than an equal part of what is promised of each engine.
      const int part = kAnswersOfEngine * 11 / 10 / count + 1;
      for (const Endpoint& engine : MakeEngines()) {
        for (int i = 0; i < part; ++i) {
          instance.loads.AddInFlight({engine.id, 1, kTokenLayers, 1});
        }
        BOOST_TEST(instance.loads.Total(engine.id).answers == part * count);
      }
      BOOST_TEST(!find().has_value());
    }
  }
}

}  // namespace
}  // namespace toucanwharf::endpoints
