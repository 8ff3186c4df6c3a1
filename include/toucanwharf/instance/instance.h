#ifndef TOUCANWHARF_INSTANCE_INSTANCE_H_
#define TOUCANWHARF_INSTANCE_INSTANCE_H_

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/endpoint_list_log.h"
#include "toucanwharf/instance/gateway.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/metrics.h"
#include "toucanwharf/instance/peer_link.h"
#include "toucanwharf/instance/placement_driver.h"
#include "toucanwharf/instance/registration.h"
#include "toucanwharf/instance/store_sync.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::instance {

/// One router process: all parts on one loop.
/// Thread safety: only on the thread that calls Run.
template <Adapter A>
class Instance {
 public:
  /// Writes its log to \p log_descriptor.
  Instance(InstanceSettings chosen, int log_descriptor)
      : settings(std::move(chosen)),
        logger(log_descriptor, this->settings.name),
        state(this->settings, NewId()),
        client(this->loop),
        store(this->loop, this->client, this->settings.store_address),
        gateway(this->loop, this->client, this->state, this->logger,
                this->settings, A::Headers(),
                {A::ReportRequest(), &A::ToReport, &A::RerouteRequest,
                 &A::PathText, &A::ToRerouteFault}),
        peers(this->loop, this->client, this->state, this->logger, this->lists,
              this->settings),
        sync(
            this->loop, this->store, this->state, this->logger, this->lists,
            [this] { this->OnChange(); },
            StoreSyncTimes(this->settings.bounds.configuration),
            gossip::InitialReadPolicy(this->settings.processor_share,
                                      this->loop.Now(), this->random.Unit())),
        placement(this->loop, this->client, this->store, this->state,
                  this->peers, this->logger, this->settings) {}

  /// Listens and serves until it was told to stop. Returns an error if it
  /// can't listen.
  Result<void> Run() {
    this->logger.Write(eventlog::Level::kNotable, "start",
                       eventlog::Fields()
                           .Text("process", this->state.instance)
                           .Text("domain", this->settings.failure_domain),
                       this->loop.Now());
    BOOST_OUTCOME_TRYV(this->Listen());
    BOOST_OUTCOME_TRYV(this->peers.Start(
        [this](std::uint64_t revision, const std::string& text) {
          this->sync.Adopt(revision, text);
        },
        [this] { this->OnChange(); }));
    this->gateway.OnSilentEngine(
        [this] { this->peers.AnnounceSilentEngine(); });
    this->peers.OnSilentEngine([this](const std::string& endpoint) {
      this->gateway.RerouteAround(endpoint);
    });
    this->sync.Start();
    this->placement.Start();
    this->Register();
    this->loop.OnSignal(SIGTERM, [this] { this->Stop(); });
    this->loop.OnSignal(SIGINT, [this] { this->Stop(); });
    // Settings are read at the start only: addresses and bounds don't change
    // while a process runs.
    this->loop.OnSignal(SIGHUP, [this] {
      this->logger.Write(eventlog::Level::kNotable, "reload_ignored",
                         eventlog::Fields(), this->loop.Now());
    });
    this->loop.Every(kHousekeeping, [this] { this->Housekeep(); });
    this->loop.Run();
    this->logger.Flush();
    return Success();
  }

 private:
  /// Flushes the log, and looks whether a stop is done.
  static constexpr Duration kHousekeeping = std::chrono::milliseconds(100);
  /// After the signal to stop, callers may still come for as long as the other
  /// instances take to hear of it.
  static constexpr Duration kLeastDrain = std::chrono::milliseconds(1500);
  /// Time for the last answers to leave before the kill.
  static constexpr Duration kBeforeKill = std::chrono::milliseconds(400);
  static constexpr Duration kAdviceLives = std::chrono::seconds(2);
  static constexpr std::size_t kMostAdvised = 64;
  static constexpr const char* kMetricsPath = "/metrics";

  Result<void> Listen() {
    BOOST_OUTCOME_TRY(opened,
                      this->Open(this->settings.callers_address,
                                 [this](std::shared_ptr<http::Exchange> one) {
                                   this->gateway.Handle(std::move(one));
                                 }));
    this->front = std::move(opened);
    const auto ask = [this](const std::shared_ptr<http::Exchange>& one) {
      this->HandleQuestion(one);
    };
    for (const std::string& address :
         {this->settings.ready_address, this->settings.directory_address,
          this->settings.control_address}) {
      if (address.empty()) continue;
      BOOST_OUTCOME_TRY(server, this->Open(address, ask));
      this->others.push_back(std::move(server));
    }
    return Success();
  }

  Result<std::unique_ptr<http::Server>> Open(const std::string& address,
                                             http::Server::Handler handler) {
    auto server = http::Server::Listen(this->loop, address, std::move(handler));
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

  void HandleQuestion(const std::shared_ptr<http::Exchange>& asked) {
    http::Exchange& exchange = *asked;
    const std::string& target = exchange.Received().target;
    const TimePoint now = this->loop.Now();
    http::ResponseHead head;
    head.status = http::kOk;
    if (A::IsReadinessRequest(target)) {
      if (!this->state.Ready(now)) head.status = http::kUnavailable;
      exchange.Respond(head, "");
      return;
    }
    if (const auto question = A::ToEntryRequest(target)) {
      const auto addresses = this->Advice(now);
      if (addresses.empty()) head.status = http::kUnavailable;
      head.headers.Add("Content-Type", "application/json");
      exchange.Respond(head, A::EntryResponse(addresses, kAdviceLives));
      return;
    }
    if (target == kMetricsPath) {
      head.headers.Add("Content-Type", "text/plain; version=0.0.4");
      exchange.Respond(head, MetricsText(this->gateway, this->state,
                                         this->logger.Dropped(), now));
      return;
    }
    if (this->peers.HandlePeer(asked)) return;
    head.status = http::kNotFound;
    exchange.Respond(head, "");
  }

  /// Returns where callers may connect: the instances that are ready, by the
  /// leader's word or their own.
  std::vector<std::string> Advice(TimePoint now) {
    std::vector<std::string> addresses = this->state.ReadyPeers(
        now, this->settings.callers_address, this->settings.datagram_address);
    if (this->state.Ready(now)) {
      addresses.push_back(this->settings.callers_address);
    }
    // Callers read this many; each instance leaves others out.
    std::shuffle(addresses.begin(), addresses.end(), this->random);
    addresses.resize(std::min(addresses.size(), kMostAdvised));
    return addresses;
  }

  void OnChange() {
    this->peers.AnnounceChange();
    this->TellAtStart();
    if (!this->state.table) return;
    const routes::CallerLimits& limits = this->state.table->All().limits;
    this->front->SetLimits({limits.max_header_bytes, limits.max_body_bytes,
                            limits.header_timeout, limits.idle_timeout});
  }

  /// Writes this instance's address to the store and learns the others'.
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
    // Only now: of two instances that start together, the one whose entry was
    // written last reads the other's. If both read first, neither would hear of
    // the other.
    if (answer.status == store::WriteStatus::kWritten) {
      this->LearnInstances();
      return;
    }
    // The entry of an earlier start is overwritten, and at once: until it is,
    // this process doesn't know how many others there are.
    const bool earlier_start = write.if_version == 0 && answer.version > 0;
    constexpr Duration kAgain = std::chrono::milliseconds(700);
    write.if_version = answer.version;
    this->loop.After(earlier_start ? Duration(0) : kAgain, [this, write] {
      if (this->state.stopping_since) return;
      this->store.Write(write, [this, write](const auto& next) {
        this->OnRegistered(write, next);
      });
    });
  }

  void LearnInstances() {
    this->store.List(
        A::InstanceCollection(),
        [this](const std::optional<store::Listing>& listing) {
          constexpr Duration kAgain = std::chrono::milliseconds(1000);
          if (!listing) {
            this->loop.After(kAgain, [this] { this->LearnInstances(); });
            return;
          }
          std::vector<Registration> registered;
          for (const store::Object& object : listing->objects) {
            auto one = RegistrationFromText(object.value);
            if (one) registered.push_back(std::move(*one));
          }
          this->peers.AddRegistered(registered);
          this->state.knows_instances = true;
          this->TellAtStart();
          this->ShareBudget(this->loop.Now());
        });
  }

  /// Tells the failure domain, once, that this process has what others that
  /// have just started wait for.
  void TellAtStart() {
    const bool reads_first =
        gossip::ReadsImmediately(this->settings.processor_share);
    const bool has = this->state.knows_instances && this->state.table &&
                     this->state.endpoints.Revision() > 0;
    if (!reads_first || !has || std::exchange(this->told_at_start, true)) {
      return;
    }
    this->peers.AnnounceToDomain();
  }

  /// Tells the gateway who shares the budget of extra arrivals, once that is
  /// known. If the store has not told it for a whole window, those count that
  /// were heard of.
  void ShareBudget(TimePoint now) {
    const Duration window = this->settings.budget.window;
    const bool long_enough = now - this->started >= window;
    if (!this->state.knows_instances && !long_enough) return;
    this->gateway.SetSharers({this->state.peers.InstanceCount(now),
                              this->state.peers.StartedWithin(window, now)});
  }

  void Housekeep() {
    const TimePoint now = this->loop.Now();
    this->ShareBudget(now);
    this->NoteBeliefs(now);
    if (this->state.stopping_since) this->EndIfDone(now);
    this->logger.Flush();
  }

  /// Logs when keys begin or cease to be admitted, and callers to be sent here.
  void NoteBeliefs(TimePoint now) {
    const auto age = this->state.freshness.Age(now);
    const bool keys = this->state.KeysHold(now);
    if (std::exchange(this->keys_held, keys) != keys) {
      eventlog::Fields fields;
      if (age) fields.Millis("configuration_age_ms", *age);
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
            "under_way", static_cast<std::int64_t>(this->gateway.UnderWay())),
        now);
    this->front->CloseAfterResponses();
    this->peers.Announce();
    this->placement.Release();
    this->store.Remove({A::InstanceCollection(), this->settings.name});
  }

  void EndIfDone(TimePoint now) {
    const Duration since = now - *this->state.stopping_since;
    const bool idle = this->gateway.UnderWay() == 0 && since > kLeastDrain;
    const bool late = since > this->settings.bounds.grace - kBeforeKill;
    if (!idle && !late) return;
    this->logger.Write(
        eventlog::Level::kNotable, "stopped",
        eventlog::Fields().Count(
            "cut", static_cast<std::int64_t>(this->gateway.UnderWay())),
        now);
    this->loop.Stop();
  }

  InstanceSettings settings;
  http::Loop loop;
  eventlog::Logger logger;
  EndpointListLog lists{this->logger};
  InstanceState state;
  Random random{HashText(this->state.instance)};
  http::Client client;
  typename A::Store store;
  Gateway gateway;
  PeerLink peers;
  StoreSync<A> sync;
  PlacementDriver<A> placement;
  TimePoint started{this->loop.Now()};
  bool told_at_start = false;
  bool keys_held = false;
  bool was_ready = false;
  std::unique_ptr<http::Server> front;
  std::vector<std::unique_ptr<http::Server>> others;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_INSTANCE_H_
