#ifndef TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_
#define TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "toucanwharf/control/lease.h"
#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/gossip/backup_leaders.h"
#include "toucanwharf/gossip/election_policy.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/peer_link.h"
#include "toucanwharf/placement/layout.h"
#include "toucanwharf/placement/order_tracker.h"
#include "toucanwharf/placement/stabilization_window.h"

namespace toucanwharf::instance {

/// Times of the placement, with the reason of each.
struct PlacementTimes {
  /// Between looks at the engines that are not as wanted.
  Duration step = std::chrono::milliseconds(200);
  /// Between reports of engines that are as wanted: their speed is all that
  /// may have changed, and each report costs a request.
  Duration watch_period = std::chrono::milliseconds(2000);
  /// The same in a large fleet, where reports also tell of the load that
  /// instances cause which can't be heard: 93 reports a second for 93 engines.
  Duration watch_period_large = std::chrono::milliseconds(1000);
  Duration call_timeout = std::chrono::milliseconds(500);
  /// A report comes in a millisecond, or after one packet that is sent again.
  Duration report_timeout = std::chrono::milliseconds(300);
  /// An engine without a report gets nothing new for this long, from any
  /// instance; it is asked again sooner than that.
  Duration unanswered_pause = std::chrono::milliseconds(1500);
  /// After a call on the lease without an answer.
  Duration lease_pause = std::chrono::milliseconds(600);
  /// The same for each instance of a large fleet: all of them together ask
  /// forty times a second.
  Duration lease_turn = std::chrono::milliseconds(25);
  /// What a report told goes before the store's list for so long.
  Duration facts_for = std::chrono::seconds(3);
};

/// Takes the placement lease, and while it holds it tells engines which layers
/// to hold. Any instance may hold it; another takes over when its holder is
/// gone, so no machine is set aside.
/// Thread safety: only on the loop's thread.
template <Adapter A>
class PlacementDriver {
 public:
  using Store = typename A::Store;

  /// Precondition: all references outlive the driver.
  PlacementDriver(http::Loop& event_loop, http::Client& http_client,
                  Store& object_store, InstanceState& shared_state,
                  PeerLink& peer_link, eventlog::Logger& log,
                  const InstanceSettings& chosen)
      : loop(event_loop),
        client(http_client),
        store(object_store),
        state(shared_state),
        peers(peer_link),
        logger(log),
        processor_share(chosen.processor_share),
        callers_address(chosen.callers_address),
        datagram_address(chosen.datagram_address),
        election_policy(chosen.processor_share, event_loop.Now()),
        lease(LeaseTerms(shared_state.instance),
              HashText(shared_state.instance)) {
    this->layout_settings.standby_copies = chosen.mechanisms.standby_copies;
  }

  void Start() {
    this->loop.Every(this->times.step, [this] { this->Step(); });
  }

  /// Gives the lease back, so that another instance goes on at once.
  void Release() {
    this->lease.Release();
    this->state.leads = false;
    this->PollLease();
  }

 private:
  struct Known {
    std::uint64_t start_time_ms = 0;
    bool asking = false;
    int failed_reports = 0;
    TimePoint asked{Duration(-1'000'000'000)};
  };

  static control::LeaseSettings LeaseTerms(const std::string& holder) {
    control::LeaseSettings settings;
    settings.role = "placement";
    settings.holder = holder;
    // An engine that died is replaced by its cover's next layout, which must
    // come within seconds also when the placing instance died with it.
    settings.term = std::chrono::milliseconds(3000);
    settings.margin = std::chrono::milliseconds(300);
    settings.renewal = std::chrono::milliseconds(1200);
    return settings;
  }

  void Step() {
    this->PollLease();
    const TimePoint now = this->loop.Now();
    this->NoteLeadership(this->lease.MayAct(now), now);
    if (!this->state.table) return;
    if (this->state.leads) {
      this->Plan(now);
      this->AskReports(now);
      this->GiveOrders(now);
      this->ShareFacts();
    } else {
      this->ActForLeader(now);
    }
  }

  /// Asks engines for their reports while nobody leads. Only whoever holds the
  /// lease may give orders; what engines say of themselves is wanted sooner.
  ///
  /// Load that it answers: all instances lost power, and the engines go on with
  /// answers that nobody waits for. Until their reports were known, new answers
  /// went to full engines for the five seconds that the old lease lasts.
  void ActForLeader(TimePoint now) {
    const bool acts =
        this->state.is_backup_leader && this->state.peers.IsLargeFleet(now) &&
        gossip::ActsForLeader(this->state.peers, this->state.backup_leaders,
                              this->datagram_address, now);
    if (!acts) {
      if (this->engines.empty()) return;
      this->engines.clear();
      this->peers.SetFacts({});
      return;
    }
    for (const routes::Service& service : this->state.table->All().services) {
      if (!service.engine || service.engine->layers == 0) continue;
      this->state.endpoints.ForEachReady(
          service.name, [this](const endpoints::Endpoint& endpoint) {
            this->KnowLifeOf(endpoint);
          });
    }
    this->AskReports(now);
    this->ShareFacts();
  }

  void NoteLeadership(bool leads, TimePoint now) {
    if (std::exchange(this->state.leads, leads) == leads) return;
    this->logger.Write(
        eventlog::Level::kNotable, leads ? "lease_gained" : "lease_lost",
        eventlog::Fields().Count(
            "fence", static_cast<std::int64_t>(this->lease.Fence())),
        now);
    this->book = placement::OrderTracker();
    this->engines.clear();
    this->plans.clear();
    this->peers.SetFacts({});
    this->peers.Announce();
  }

  /// Another holder that is heard of makes looking at the lease needless.
  bool AnotherLeads(TimePoint now) const {
    return !this->state.peers.Leader(now).empty();
  }

  /// The backup leaders, which have heard what the leader heard, go first, and
  /// the others seconds later.
  std::size_t Ahead(TimePoint now) const {
    constexpr std::size_t kBehindBackupLeaders = 24;
    const std::size_t ahead = this->state.peers.CandidatesAhead(
        this->processor_share, this->callers_address, now);
    const bool backup_leaders_lead = this->state.ready_list.IsCurrent(now);
    return backup_leaders_lead ? ahead + kBehindBackupLeaders : ahead;
  }

  void PollLease() {
    const TimePoint now = this->loop.Now();
    // A backup leader looks at the lease all the time: a challenger has to see
    // it unchanged for a whole term, and that time is over then.
    const bool turn = this->state.is_backup_leader ||
                      this->election_policy.MayAttempt(!this->AnotherLeads(now),
                                                       this->Ahead(now), now);
    // A lease that is given back must be, whoever else leads by now.
    const bool stopping = this->state.stopping_since.has_value();
    if (!this->state.leads && !turn && !stopping) return;
    if (now < this->lease_pause_until) return;
    auto call = this->lease.Poll(now);
    if (!call) return;
    if (const auto* key = std::get_if<store::ObjectKey>(&*call)) {
      this->store.Read(*key, [this](const store::ReadAnswer& answer) {
        this->NoteLeaseAnswer(answer.status != store::ReadStatus::kUnknown);
        this->lease.OnRead(answer, this->loop.Now());
        this->PollLease();
      });
      return;
    }
    this->store.Write(
        std::get<store::Write>(*call),
        [this](const store::WriteAnswer& answer) {
          this->NoteLeaseAnswer(answer.status != store::WriteStatus::kUnknown);
          this->lease.OnWrite(answer, this->loop.Now());
          if (answer.status != store::WriteStatus::kWritten) {
            this->PollLease();
          }
        });
  }

  /// A store that is away refuses in a millisecond; asking again at once would
  /// be thousands of calls in an outage, from every instance that would lead.
  void NoteLeaseAnswer(bool answered) {
    if (answered) return;
    const TimePoint now = this->loop.Now();
    const gossip::PeerTable& known = this->state.peers;
    const bool one_of_many =
        known.IsLargeFleet(now) && !this->state.is_backup_leader;
    const Duration pause =
        one_of_many ? this->times.lease_turn *
                          static_cast<std::int64_t>(known.InstanceCount(now))
                    : this->times.lease_pause;
    this->lease_pause_until = now + std::max(pause, this->times.lease_pause);
  }

  void Plan(TimePoint now) {
    for (const routes::Service& service : this->state.table->All().services) {
      if (!service.engine || service.engine->layers == 0) continue;
      this->PlanService(service, now);
    }
  }

  void PlanService(const routes::Service& service, TimePoint now) {
    std::vector<placement::Accelerator> fleet;
    this->state.endpoints.ForEachReady(
        service.name, [&](const endpoints::Endpoint& endpoint) {
          if (this->Lost(endpoint)) return;
          placement::Accelerator one{endpoint.id, endpoint.failure_domain,
                                     endpoint.kind, endpoint.layers};
          this->TakeNewest(endpoint, one);
          fleet.push_back(std::move(one));
        });
    ServicePlan& plan = this->plans[service.name];
    if (!plan.settling.IsStable(fleet, now)) return;
    if (fleet == plan.planned_for) return;
    plan.planned_for = fleet;
    const auto layout =
        placement::PlanLayout(*service.engine, fleet, this->layout_settings);
    if (layout == plan.layout) return;
    plan.layout = layout;
    this->logger.Write(
        eventlog::Level::kNotable, "layout",
        eventlog::Fields()
            .Text("service", service.name)
            .Count("engines", static_cast<std::int64_t>(fleet.size()))
            .Count("used", static_cast<std::int64_t>(layout.size())),
        now);
    placement::Layout all;
    for (const auto& [name, each] : this->plans) {
      all.insert(each.layout.begin(), each.layout.end());
    }
    this->book.SetTargetLayout(std::move(all));
  }

  /// Returns whether \p endpoint has not answered for some reports. Its entry
  /// in the store stays for seconds after it died. A refusal by a busy engine,
  /// or a single lost packet, must not move layers.
  bool Lost(const endpoints::Endpoint& endpoint) const {
    const auto known = this->engines.find(endpoint.id);
    return known != this->engines.end() &&
           known->second.start_time_ms == endpoint.start_time_ms &&
           known->second.failed_reports >= kLostAfter;
  }

  /// Forgets what was known of an earlier life of \p endpoint.
  void KnowLifeOf(const endpoints::Endpoint& endpoint) {
    Known& known = this->engines[endpoint.id];
    if (known.start_time_ms == endpoint.start_time_ms) return;
    known = Known{};
    known.start_time_ms = endpoint.start_time_ms;
    this->book.Forget(endpoint.id);
  }

  /// Replaces what the store lists by what was ordered or reported since.
  void TakeNewest(const endpoints::Endpoint& endpoint,
                  placement::Accelerator& one) {
    this->KnowLifeOf(endpoint);
    const auto wanted = this->book.TargetLayout().find(endpoint.id);
    if (wanted != this->book.TargetLayout().end()) {
      one.layers = wanted->second;
      return;
    }
    const placement::EngineReport* report = this->book.Report(endpoint.id);
    if (report != nullptr) one.layers = report->layers;
  }

  /// What was planned for the engines of one service.
  struct ServicePlan {
    std::vector<placement::Accelerator> planned_for;
    placement::Layout layout;
    placement::StabilizationWindow settling;
  };

  void AskReports(TimePoint now) {
    const Duration period = this->state.peers.IsLargeFleet(now)
                                ? this->times.watch_period_large
                                : this->times.watch_period;
    for (auto& [id, known] : this->engines) {
      const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
      if (endpoint == nullptr || known.asking) continue;
      const bool due = this->book.NeedsReport(id) || known.failed_reports > 0 ||
                       this->state.loads.IsSuspected(id, now) ||
                       now - known.asked >= period;
      if (due) this->AskReport(*endpoint, now);
    }
  }

  void AskReport(const endpoints::Endpoint& endpoint, TimePoint now) {
    Known& known = this->engines[endpoint.id];
    known.asking = true;
    known.asked = now;
    http::Fetch(this->loop, this->client, endpoint.address, A::ReportRequest(),
                this->times.report_timeout,
                [this, id = endpoint.id, now](const http::CallResult& result,
                                              const http::ResponseHead& head,
                                              const std::string& body) {
                  this->OnReport(id, now, result, head, body);
                });
  }

  void OnReport(const std::string& id, TimePoint asked,
                const http::CallResult& result, const http::ResponseHead& head,
                const std::string& body) {
    const auto found = this->engines.find(id);
    if (found == this->engines.end()) return;
    Known& known = found->second;
    known.asking = false;
    if (result.end != http::CallEnd::kComplete || head.status != http::kOk) {
      ++known.failed_reports;
      this->SuspectSilent(id, known);
      return;
    }
    known.failed_reports = 0;
    this->state.loads.OnResponse(id, this->loop.Now());
    const auto report = A::ToReport(body);
    if (!report) {
      this->logger.Write(eventlog::Level::kNotable, "report_unreadable",
                         eventlog::Fields().Text("endpoint", id),
                         this->loop.Now());
      return;
    }
    // Another endpoint may have got the address, or this one started anew.
    if (report->start_time_ms != 0 &&
        report->start_time_ms != known.start_time_ms)
      return;
    this->book.OnReport(id, report->engine, asked);
    const TimePoint now = this->loop.Now();
    // In a small fleet every answer is known sooner than a report tells of it,
    // and a report of a moment ago would hold back room that is free by now.
    const double held =
        this->state.peers.IsLargeFleet(now) ? report->engine.token_layers : 0;
    this->state.loads.SetEngineStatus(
        {id, known.start_time_ms, report->engine.layers,
         report->engine.slowdown, held},
        now + this->times.facts_for);
  }

  /// Tells all instances of an engine that gives no reports. One report may be
  /// lost; a second in a row, or one right after an instance was refused, is
  /// taken as a sign.
  void SuspectSilent(const std::string& id, const Known& known) {
    constexpr int kSure = 2;
    const TimePoint now = this->loop.Now();
    const bool doubted = this->state.loads.IsSuspected(id, now);
    if (known.failed_reports < kSure && !doubted) return;
    const bool news = this->state.loads.MarkUnresponsive(
        id, now + this->times.unanswered_pause, now);
    if (news) this->peers.AnnounceSilentEngine();
  }

  void GiveOrders(TimePoint now) {
    for (const auto& [id, layers] : this->book.TargetLayout()) {
      const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
      if (endpoint == nullptr) continue;
      // Asked right before the send: a holder that was suspended must not act
      // on a lease that another has by now.
      if (!this->lease.MayAct(this->loop.Now())) return;
      const auto order = this->book.Next(id, now);
      if (order) this->SendOrder(*endpoint, *order);
    }
  }

  void SendOrder(const endpoints::Endpoint& endpoint,
                 const placement::PlaceOrder& order) {
    eventlog::Fields fields;
    fields.Text("endpoint", order.engine)
        .Count("begin", order.layers.begin)
        .Count("end", order.layers.end)
        .Count("sequence", static_cast<std::int64_t>(order.sequence));
    this->logger.Write(eventlog::Level::kNotable, "order", fields,
                       this->loop.Now());
    http::Request request = A::OrderRequest(order);
    request.headers.Set(A::Headers().expected_endpoint, order.engine);
    http::Fetch(
        this->loop, this->client, endpoint.address, request,
        this->times.call_timeout,
        [this, id = order.engine](
            const http::CallResult& result, const http::ResponseHead& head,
            const std::string&) { this->OnOrderEnd(id, result, head); });
  }

  void OnOrderEnd(const std::string& id, const http::CallResult& result,
                  const http::ResponseHead& head) {
    placement::OrderOutcome end = placement::OrderOutcome::kUnknown;
    if (result.end == http::CallEnd::kNotConnected) {
      end = placement::OrderOutcome::kRefused;
    } else if (result.end == http::CallEnd::kComplete) {
      end = A::ToOrderEnd(head.status);
    }
    this->book.OnOutcome(id, end, this->loop.Now());
    if (end == placement::OrderOutcome::kAccepted) return;
    this->logger.Write(
        eventlog::Level::kNotable, "order_not_accepted",
        eventlog::Fields().Text("endpoint", id).Count("status", head.status),
        this->loop.Now());
  }

  void ShareFacts() {
    std::vector<gossip::EngineStatus> facts;
    for (const auto& [id, known] : this->engines) {
      const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
      if (endpoint == nullptr) continue;
      const gossip::EngineStatus* fact =
          this->state.loads.FindEngineStatus(*endpoint, this->loop.Now());
      if (fact != nullptr) facts.push_back(*fact);
    }
    this->peers.SetFacts(std::move(facts));
  }

  /// Reports in a row without an answer that make an engine count as lost.
  static constexpr int kLostAfter = 3;

  http::Loop& loop;
  http::Client& client;
  Store& store;
  InstanceState& state;
  PeerLink& peers;
  eventlog::Logger& logger;
  PlacementTimes times;
  placement::LayoutSettings layout_settings;
  double processor_share;
  std::string callers_address;
  std::string datagram_address;
  gossip::ElectionPolicy election_policy;
  control::Lease lease;
  TimePoint lease_pause_until;
  placement::OrderTracker book;
  std::map<std::string, Known> engines;
  /// By service.
  std::map<std::string, ServicePlan> plans;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_
