#ifndef TOUCANWHARF_INSTANCE_INSTANCE_H_
#define TOUCANWHARF_INSTANCE_INSTANCE_H_

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/address_wait.h"
#include "toucanwharf/instance/configuration_in_force.h"
#include "toucanwharf/instance/endpoint_list_log.h"
#include "toucanwharf/instance/gateway.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/metrics.h"
#include "toucanwharf/instance/peer_link.h"
#include "toucanwharf/instance/placement_driver.h"
#include "toucanwharf/instance/quarantine_sync.h"
#include "toucanwharf/instance/registration.h"
#include "toucanwharf/instance/resource_plan.h"
#include "toucanwharf/instance/resource_watch.h"
#include "toucanwharf/instance/store_sync.h"
#include "toucanwharf/support/ids.h"
#include "toucanwharf/support/process_limits.h"

namespace toucanwharf::instance {

/// One router process: all parts on one event loop.
/// Thread safety: only on the thread that calls Run.
template <Adapter A>
class Instance {
 public:
  /// Writes its log to \p log_descriptor.
  Instance(InstanceSettings initial_settings, int log_descriptor)
      : settings(std::move(initial_settings)),
        logger(log_descriptor, this->settings.name),
        state(this->settings, NewId()),
        client(this->loop, this->settings.source_ip, &this->resources),
        store(this->loop, this->client, this->settings.store_address),
        gateway(this->loop, this->client, this->state, this->logger,
                this->settings, this->resources.buffers, A::Headers(),
                {A::ReportRequest(), &A::ToReport, &A::RerouteRequest,
                 &A::PathText, &A::ToRerouteFault}),
        peers(this->loop, this->client, this->state, this->logger,
              this->endpoint_log, this->settings),
        configuration(this->state, this->logger, &A::ToConfiguration,
                      [this] { this->OnChange(); }),
        sync(
            this->loop, this->store, this->state, this->logger,
            this->endpoint_log, this->configuration,
            [this] { this->OnChange(); },
            StoreSyncTimes(this->settings.bounds.configuration),
            gossip::InitialReadPolicy(this->settings.processor_share,
                                      this->loop.Now(), this->random.Unit())),
        placement(this->loop, this->client, this->store, this->state,
                  this->peers, this->logger, this->settings),
        quarantine_sync(this->loop, this->store, this->state, this->logger,
                        this->settings.name) {}

  /// Listens and serves until told to stop. Returns an error if it cannot
  /// listen.
  Result<void> Run() {
    this->logger.Write(eventlog::Level::kNotable, "start",
                       eventlog::Fields()
                           .Text("process", this->state.instance)
                           .Text("domain", this->settings.failure_domain),
                       this->loop.Now());
    BOOST_OUTCOME_TRYV(this->Listen());
    BOOST_OUTCOME_TRYV(this->peers.Start(
        [this](const store::Revision& revision, const std::string& text) {
          this->configuration.Adopt(revision, text, this->loop.Now());
        },
        [this] { this->OnChange(); }));
    this->gateway.OnCrash([this](const quarantine::Fingerprint& request) {
      this->quarantine_sync.OnCrash(request);
    });
    this->gateway.OnCleared([this](const quarantine::Fingerprint& request) {
      this->quarantine_sync.OnCleared(request);
    });
    this->gateway.OnEndpointNews([this] { this->peers.AnnounceToAll(); });
    this->gateway.OnIsolationChange([this] { this->peers.AnnounceToFleet(); });
    this->peers.OnUnresponsiveEndpoint(
        [this](const UnresponsiveReport& report) {
          this->gateway.OnPeerReport(report);
        });
    this->store.OnEpoch([this](std::uint64_t epoch) {
      this->state.OnStoreEpoch(epoch, this->loop.Now());
    });
    this->sync.Start();
    this->placement.Start();
    this->Register();
    this->loop.OnSignal(SIGTERM, [this] { this->Stop(); });
    this->loop.OnSignal(SIGINT, [this] { this->Stop(); });
    // Settings are read only at the start: addresses and bounds do not change
    // while a process runs.
    this->loop.OnSignal(SIGHUP, [this] {
      this->logger.Write(eventlog::Level::kNotable, "reload_ignored",
                         eventlog::Fields(), this->loop.Now());
    });
    this->loop.Every(kHousekeepingPeriod, [this] { this->RunHousekeeping(); });
    this->loop.Run();
    this->loop.DropTimers();
    this->logger.Flush();
    return Success();
  }

 private:
  /// Period of flushing the log and checking whether a stop has completed.
  static constexpr Duration kHousekeepingPeriod =
      std::chrono::milliseconds(100);
  /// After the signal to stop, callers may still arrive until the other
  /// instances have received the news.
  static constexpr Duration kMinDrain = std::chrono::milliseconds(1500);
  /// Callers take the end of a connection within a round trip.
  static constexpr Duration kMaxLastWait = std::chrono::milliseconds(200);
  static constexpr Duration kExitPoll = std::chrono::milliseconds(5);
  static constexpr Duration kUnreadableLogPeriod = std::chrono::seconds(10);
  /// Per instance: all together register forty times a second.
  static constexpr Duration kRegistrationSpread = std::chrono::milliseconds(25);
  static constexpr Duration kAdviceLifetime = std::chrono::seconds(2);
  /// While a fleet starts, most instances become ready within this time.
  static constexpr Duration kAdviceLifetimeInStart =
      std::chrono::milliseconds(500);
  /// Callers read this many addresses.
  static constexpr std::size_t kMaxAdvisedInstances = 64;
  static constexpr std::uint32_t kForwardingHeaderBytes = 1024;
  static constexpr const char* kMetricsPath = "/metrics";

  Result<void> Listen() {
    http::ServerOptions of_callers;
    of_callers.table = this->connections;
    of_callers.head_check =
        [this](const std::shared_ptr<http::Exchange>& exchange) {
          this->gateway.CheckHead(exchange);
        };
    BOOST_OUTCOME_TRY(opened,
                      this->Open(
                          this->settings.callers_address,
                          [this](std::shared_ptr<http::Exchange> exchange) {
                            this->gateway.Handle(std::move(exchange));
                          },
                          of_callers));
    this->caller_server = std::move(opened);
    http::ServerOptions of_control;
    of_control.table = this->connections;
    of_control.use = resources::ConnectionUse::kControl;
    of_control.head_check =
        [this](const std::shared_ptr<http::Exchange>& exchange) {
          this->CheckControlHead(exchange);
        };
    const auto handle =
        [this](const std::shared_ptr<http::Exchange>& exchange) {
          this->HandleControlRequest(exchange);
        };
    for (const std::string& address :
         {this->settings.ready_address, this->settings.directory_address,
          this->settings.control_address}) {
      if (address.empty()) continue;
      BOOST_OUTCOME_TRY(server, this->Open(address, handle, of_control));
      this->control_servers.push_back(std::move(server));
    }
    return Success();
  }

  Result<std::unique_ptr<http::Server>> Open(
      const std::string& address, const http::Server::Handler& handler,
      const http::ServerOptions& options) {
    auto server = OpenWhenFree(kAddressWait, [&] {
      return http::Server::Listen(this->loop, address, handler, options);
    });
    if (!server) {
      this->logger.Write(eventlog::Level::kNotable, "listen_failed",
                         eventlog::Fields()
                             .Text("address", address)
                             .Text("error", server.error().message()),
                         this->loop.Now());
      this->logger.Flush();
    }
    return server;
  }

  /// Only requests that a peer forwards have bodies; all others are answered
  /// without them.
  void CheckControlHead(const std::shared_ptr<http::Exchange>& exchange) {
    if (ClaimsForwarding(exchange->Received())) {
      this->gateway.CheckForwardedHead(exchange);
      return;
    }
    this->HandleControlRequest(exchange);
  }

  void HandleControlRequest(
      const std::shared_ptr<http::Exchange>& shared_exchange) {
    if (ClaimsForwarding(shared_exchange->Received())) {
      this->gateway.HandleForwarded(shared_exchange);
      return;
    }
    http::Exchange& exchange = *shared_exchange;
    const std::string& target = exchange.Received().target;
    const TimePoint now = this->loop.Now();
    http::ResponseHead head;
    head.status = http::kOk;
    if (A::IsReadinessRequest(target)) {
      if (!this->state.Ready(now)) head.status = http::kUnavailable;
      exchange.Respond(head, "");
      return;
    }
    if (const auto entry_request = A::ToEntryRequest(target)) {
      const auto addresses = this->Advice(now);
      if (addresses.empty()) head.status = http::kUnavailable;
      head.headers.Add("Content-Type", "application/json");
      const Duration lifetime = this->state.AdviceExpiresSoon(now)
                                    ? kAdviceLifetimeInStart
                                    : kAdviceLifetime;
      exchange.Respond(head, A::EntryResponse(addresses, lifetime));
      return;
    }
    if (target == kMetricsPath) {
      head.headers.Add("Content-Type", "text/plain; version=0.0.4");
      exchange.Respond(head, MetricsText(this->gateway, this->state,
                                         this->logger.Dropped(), now) +
                                 ResourceMetricsText(this->resources));
      return;
    }
    if (this->peers.HandlePeer(shared_exchange)) return;
    head.status = http::kNotFound;
    exchange.Respond(head, "");
  }

  /// Returns addresses that callers may connect to: the instances that are
  /// ready, as reported by the leader or by themselves, and those that will be
  /// in a moment.
  std::vector<std::string> Advice(TimePoint now) {
    std::vector<gossip::AdvisedInstance> advised = this->state.AdvisedPeers(
        now, this->settings.callers_address, this->settings.datagram_address);
    if (this->state.Ready(now)) {
      advised.push_back(
          {this->settings.callers_address, this->settings.processor_share});
    }
    // Callers keep what they are told later for longer, and spread evenly.
    if (!this->state.AdviceExpiresSoon(now)) {
      for (auto& instance : advised) instance.processor_share = 0;
    }
    return gossip::DrawAdvised(std::move(advised), kMaxAdvisedInstances,
                               this->random);
  }

  void OnChange() {
    this->peers.AnnounceChange();
    this->peers.ConfirmConfiguration();
    this->AnnounceStartupData();
    if (!this->state.route_table) return;
    const routes::CallerLimits& limits = this->state.route_table->All().limits;
    const http::ServerLimits of_callers{
        limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout,
        limits.idle_timeout};
    this->caller_server->SetLimits(of_callers);
    // Peers forward callers' requests with some fields of their own.
    http::ServerLimits of_peers = of_callers;
    of_peers.max_header_bytes += kForwardingHeaderBytes;
    for (const auto& server : this->control_servers) {
      server->SetLimits(of_peers);
    }
  }

  /// Writes this instance's address to the store, then reads those of the
  /// others.
  void Register() {
    store::Write write;
    write.key = {A::InstanceCollection(), this->settings.name};
    write.writer = this->state.instance;
    write.value = ToText(Registration{this->settings.control_address,
                                      this->settings.failure_domain,
                                      this->settings.processor_share});
    this->store.Write(write, [this, write](const store::WriteAnswer& answer) {
      this->OnRegistered(write, answer);
    });
  }

  void OnRegistered(store::Write write, const store::WriteAnswer& answer) {
    // The list is read only after the write: of two instances that start
    // together, the one that wrote last then reads the other's entry. If both
    // read first, neither would learn of the other.
    if (answer.status == store::WriteStatus::kWritten) {
      this->registered_at = this->loop.Now();
      if (!this->state.instances_known) this->ListInstances();
      return;
    }
    // An entry of an earlier start is overwritten immediately: until then this
    // process does not know how many others there are.
    const bool earlier_start =
        !write.if_version.IsSet() && answer.version.IsSet();
    constexpr Duration kRetryDelay = std::chrono::milliseconds(700);
    write.if_version = answer.version;
    this->loop.After(earlier_start ? Duration(0) : kRetryDelay, [this, write] {
      if (this->state.stopping_since) return;
      this->store.Write(write, [this, write](const auto& next) {
        this->OnRegistered(write, next);
      });
    });
  }

  /// Logs a return of the store from an older copy, and registers this instance
  /// again if the copy may lack it.
  ///
  /// Failure guarded against: an instance that starts later does not learn of
  /// this one, and takes a part of the budgets that are shared that is too
  /// large.
  void FollowEpoch(TimePoint now) {
    const std::uint64_t epoch = this->state.epochs.Epoch().value_or(0);
    this->LogUnreadableEpochs(now);
    const std::uint64_t previous = std::exchange(this->seen_epoch, epoch);
    if (previous == epoch || previous == 0) return;
    this->logger.Write(
        eventlog::Level::kNotable, "store_returned",
        eventlog::Fields().Count("epoch", static_cast<std::int64_t>(epoch)),
        now);
    const bool may_be_lost =
        this->registered_at && now - *this->registered_at <= store::kMaxCopyAge;
    if (!may_be_lost) return;
    const Duration spread =
        kRegistrationSpread *
        static_cast<std::int64_t>(this->state.peers.InstanceCount(now));
    const Duration delay(static_cast<std::int64_t>(
        this->random.Unit() * static_cast<double>(spread.count())));
    this->loop.After(delay, [this] {
      if (!this->state.stopping_since) this->Register();
    });
  }

  void LogUnreadableEpochs(TimePoint now) {
    const std::uint64_t count = this->store.UnreadableEpochs();
    const bool silent = count == this->unreadable_epochs ||
                        now - this->unreadable_logged < kUnreadableLogPeriod;
    if (silent) return;
    this->unreadable_epochs = count;
    this->unreadable_logged = now;
    this->logger.Write(
        eventlog::Level::kNotable, "store_epoch_unreadable",
        eventlog::Fields().Count("answers", static_cast<std::int64_t>(count)),
        now);
  }

  void ListInstances() {
    this->store.List(
        A::InstanceCollection(),
        [this](const std::optional<store::Listing>& listing) {
          constexpr Duration kRetryDelay = std::chrono::milliseconds(1000);
          if (!listing) {
            this->loop.After(kRetryDelay, [this] { this->ListInstances(); });
            return;
          }
          std::vector<Registration> registered;
          for (const store::Object& object : listing->objects) {
            auto registration = RegistrationFromText(object.value);
            if (registration) registered.push_back(std::move(*registration));
          }
          this->peers.AddRegistered(registered);
          this->state.instances_known = true;
          const TimePoint now = this->loop.Now();
          if (this->state.peers.InstanceCount(now) == 1) {
            this->state.epochs.OnAlone(now);
          }
          this->AnnounceStartupData();
          this->UpdateBudgetSharers(now);
          this->quarantine_sync.Start();
        });
  }

  /// Announces to the failure domain, once, that this process has the data that
  /// other starting processes wait for.
  void AnnounceStartupData() {
    const bool reads_immediately =
        gossip::ReadsImmediately(this->settings.processor_share);
    const bool has_data = this->state.instances_known &&
                          this->state.route_table &&
                          this->state.endpoints.Revision().IsSet();
    if (!reads_immediately || !has_data ||
        std::exchange(this->startup_announced, true)) {
      return;
    }
    this->peers.AnnounceToDomain();
  }

  /// Tells the gateway which instances share the budget of extra arrivals, once
  /// they are known. If the store has not listed them for a whole window, the
  /// peers that have been contacted count.
  void UpdateBudgetSharers(TimePoint now) {
    const Duration window = this->settings.budget.window;
    const bool long_enough = now - this->started >= window;
    if (!this->state.instances_known && !long_enough) return;
    this->gateway.SetSharers({this->state.peers.InstanceCount(now),
                              this->state.peers.StartedWithin(window, now)});
  }

  void RunHousekeeping() {
    const TimePoint now = this->loop.Now();
    this->UpdateBudgetSharers(now);
    this->FollowEpoch(now);
    this->peers.RequestConfirmations();
    this->gateway.ReviewBrokenRuns();
    this->gateway.RemoveOldUnread();
    this->gateway.CheckPaths();
    this->state.ShareLimits(this->settings.datagram_address, now);
    this->state.ForgetGoneEndpoints(now);
    this->LogStateChanges(now);
    this->WatchResources(now);
    if (this->state.stopping_since) this->StopIfDone(now);
    this->logger.Flush();
  }

  /// Logs how far the resources are used, and gives memory back that was needed
  /// for a while.
  void WatchResources(TimePoint now) {
    if (const auto peak = this->resource_watch.NewPeak(this->resources)) {
      this->logger.Write(eventlog::Level::kNotable, "resource_peak", *peak,
                         now);
    }
    if (const auto shortage =
            this->resource_watch.Shortage(this->resources, now)) {
      this->logger.Write(eventlog::Level::kNotable, "resources_short",
                         *shortage, now);
    }
    const std::size_t used =
        this->resources.buffers.Used() + this->resources.answers.Used();
    if (this->resource_watch.HasFreeMemory(used, now)) {
      ReturnFreeMemory();
    }
  }

  /// Logs when this instance starts or stops admitting keys, and when it
  /// becomes ready or not ready for callers.
  void LogStateChanges(TimePoint now) {
    const auto age = this->state.freshness.Age(now);
    const bool keys = this->state.MayAcceptKeys(now);
    if (std::exchange(this->keys_accepted, keys) != keys) {
      eventlog::Fields fields;
      if (age) fields.Millis("configuration_age_ms", *age);
      const store::Revision& revision = this->state.configuration.revision;
      fields.Count("revision", static_cast<std::int64_t>(revision.number))
          .Count("epoch", static_cast<std::int64_t>(revision.epoch));
      this->logger.Write(eventlog::Level::kNotable,
                         keys ? "keys_confirmed" : "keys_unconfirmed", fields,
                         now);
    }
    const bool ready = this->state.Ready(now);
    if (std::exchange(this->was_ready, ready) == ready) return;
    this->logger.Write(eventlog::Level::kNotable, ready ? "ready" : "not_ready",
                       eventlog::Fields(), now);
  }

  void Stop() {
    if (this->state.stopping_since) return;
    const TimePoint now = this->loop.Now();
    this->state.stopping_since = now;
    this->logger.Write(
        eventlog::Level::kNotable, "stopping",
        eventlog::Fields().Count(
            "under_way", static_cast<std::int64_t>(this->gateway.InFlight())),
        now);
    this->caller_server->CloseAfterResponses();
    this->loop.After(this->gateway.Stop().AnswerBy(), [this] { this->End(); });
    this->peers.Announce();
    this->placement.Release();
    this->store.Remove({A::InstanceCollection(), this->settings.name});
  }

  /// Calls \p act with each server.
  template <typename Act>
  void ForEachServer(const Act& act) {
    act(*this->caller_server);
    for (const auto& server : this->control_servers) act(*server);
  }

  /// Returns how many bytes of answers wait for callers, or for peers that
  /// forwarded requests, to read.
  std::size_t UnsentBytes() {
    std::size_t total = 0;
    this->ForEachServer(
        [&](const http::Server& server) { total += server.UnsentBytes(); });
    return total;
  }

  /// Ends the process early if nothing is under way.
  void StopIfDone(TimePoint now) {
    const Duration elapsed = now - *this->state.stopping_since;
    if (elapsed <= kMinDrain || this->ending) return;
    const bool idle = this->gateway.InFlight() == 0 &&
                      this->UnsentBytes() == 0 &&
                      this->caller_server->Receiving() == 0;
    if (idle) this->End();
  }

  /// Gives all that is under way its final answer, and ends the process once
  /// callers have read it.
  void End() {
    if (std::exchange(this->ending, true)) return;
    this->logger.Write(
        eventlog::Level::kNotable, "stopped",
        eventlog::Fields()
            .Count("taken_while_stopping",
                   static_cast<std::int64_t>(
                       this->gateway.Counters().taken_while_stopping))
            .Count("cut", static_cast<std::int64_t>(this->gateway.InFlight()))
            .Count("unsent_bytes",
                   static_cast<std::int64_t>(this->UnsentBytes())),
        this->loop.Now());
    this->gateway.EndAll();
    this->ForEachServer([](http::Server& server) { server.CloseUnused(); });
    this->end_by =
        std::min(*this->state.stopping_since + this->gateway.Stop().ExitBy(),
                 this->loop.Now() + kMaxLastWait);
    this->ExitIfDelivered();
  }

  /// Callers close their side once they have read the end of the last answer.
  void ExitIfDelivered() {
    std::size_t open = 0;
    this->ForEachServer(
        [&](const http::Server& server) { open += server.Open(); });
    if (open == 0 || this->loop.Now() >= this->end_by) {
      this->loop.Stop();
      return;
    }
    this->loop.After(kExitPoll, [this] { this->ExitIfDelivered(); });
  }

  InstanceSettings settings;
  ResourcePlan plan{PlanResources(this->settings.machine, SystemMemoryBytes(),
                                  SystemDescriptors())};
  http::Resources resources{this->plan.buffer_bytes, this->plan.connections,
                            this->plan.answer_bytes};
  ResourceWatch resource_watch;
  http::Loop loop;
  std::shared_ptr<http::ConnectionTable> connections{
      http::MakeConnectionTable(this->loop, this->resources)};
  eventlog::Logger logger;
  EndpointListLog endpoint_log{this->logger};
  InstanceState state;
  Random random{HashText(this->state.instance)};
  http::Client client;
  typename A::Store store;
  Gateway gateway;
  PeerLink peers;
  ConfigurationInForce configuration;
  StoreSync<A> sync;
  PlacementDriver<A> placement;
  QuarantineSync<A> quarantine_sync;
  TimePoint started{this->loop.Now()};
  /// When this instance last wrote its registration.
  std::optional<TimePoint> registered_at;
  /// The store's epoch when it was last looked at.
  std::uint64_t seen_epoch = 0;
  std::uint64_t unreadable_epochs = 0;
  TimePoint unreadable_logged{Duration(-1'000'000'000)};
  /// Whether the last answers were given, and when the process ends.
  bool ending = false;
  TimePoint end_by;
  bool startup_announced = false;
  bool keys_accepted = false;
  bool was_ready = false;
  std::unique_ptr<http::Server> caller_server;
  std::vector<std::unique_ptr<http::Server>> control_servers;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_INSTANCE_H_
