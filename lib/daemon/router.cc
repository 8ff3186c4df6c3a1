#include "toucanwharf/daemon/router.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "toucanwharf/admission/stop_plan.h"
#include "toucanwharf/daemon/admin_api.h"
#include "toucanwharf/daemon/answer_admission.h"
#include "toucanwharf/daemon/answer_relay.h"
#include "toucanwharf/daemon/answer_runner.h"
#include "toucanwharf/daemon/answer_sessions.h"
#include "toucanwharf/daemon/caller_api.h"
#include "toucanwharf/daemon/directory.h"
#include "toucanwharf/daemon/entry_advice_provider.h"
#include "toucanwharf/daemon/fleet_sync.h"
#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/daemon/service_runner.h"
#include "toucanwharf/platform/client.h"
#include "toucanwharf/platform/config_service.h"
#include "toucanwharf/platform/idempotency_journal.h"
#include "toucanwharf/support/ids.h"
#include "toucanwharf/support/process_limits.h"
#include "toucanwharf/support/random.h"
#include "toucanwharf/timeline/buffer.h"
#include "toucanwharf/timeline/codec.h"
#include "toucanwharf/timeline/event.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_client.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::daemon {
namespace {

using Json = nlohmann::json;
using SharedExchange = std::shared_ptr<transport::Exchange>;

// Maximum number of events per timeline response; the client requests the next
// page with the last sequence number.
constexpr std::size_t kTimelinePage = 2000;
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(100);
constexpr Duration kEndCheckPeriod = std::chrono::milliseconds(10);
constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
/// Part of the memory for requests that are received and answers that wait.
constexpr std::uint64_t kBufferDivisor = 4;
/// Part of the memory for connections, and what each takes in libmicrohttpd.
constexpr std::uint64_t kConnectionDivisor = 4;
constexpr std::uint64_t kConnectionBytes = 36UL * 1024;
/// Part of the memory for what calls keep of their answers.
constexpr std::uint64_t kAnswerDivisor = 8;
constexpr Duration kMemoryExportPeriod = std::chrono::seconds(1);
/// Descriptors for calls to endpoints, peers and the platform, and for files.
constexpr std::uint64_t kOtherDescriptors = 1024;

/// Returns the memory of this machine, or the part that the settings state.
std::uint64_t MemoryBytes(const settings::Settings& settings) {
  const std::uint64_t stated = settings.limits.memory_mb * kBytesPerMegabyte;
  if (stated == 0) return SystemMemoryBytes();
  return std::min(stated, SystemMemoryBytes());
}

}  // namespace

/// All components of a router, in dependency order; destruction runs in
/// reverse.
struct Router::Parts {
  explicit Parts(settings::Settings new_settings)
      : settings(std::move(new_settings)),
        incarnation(NewId()),
        seed(HashText(this->incarnation)),
        events(this->settings.instance, this->settings.limits.timeline_events),
        client(this->loop, MemoryBytes(this->settings) / kAnswerDivisor),
        directory(this->loop, this->client, this->metrics,
                  this->settings.platform_address,
                  this->settings.failure_domain),
        platform(this->loop, this->client, this->settings.platform_address,
                 this->seed),
        config(this->loop, this->platform, this->settings.instance,
               this->incarnation),
        journal(this->loop, this->platform, this->incarnation),
        fleet(this->loop, this->settings, this->directory, this->metrics,
              this->MakeConfigCallbacks(), this->MakeAnswerSender(),
              this->seed),
        answer_admission(this->loop, this->directory, this->metrics,
                         this->seed),
        runner(this->loop, this->client, this->answer_admission, this->metrics,
               this->events),
        sessions(this->loop, this->runner, this->metrics),
        relay(this->loop, this->sessions),
        services(this->client, this->directory, this->journal, this->metrics,
                 this->seed),
        entry_advice(this->directory, this->settings, this->seed),
        callers(this->loop, this->settings, this->config, this->sessions,
                this->services, this->entry_advice, this->metrics),
        admin(this->settings.admin_key, this->MakeAdminCallbacks()) {
    this->entry_advice.SetDepartedSource(
        [this](const std::string& id) { return this->fleet.IsDeparted(id); });
    this->entry_advice.SetTrafficShare([this](const std::string& customer) {
      return this->answer_admission.TrafficShareOf(customer);
    });
    this->callers.SetEndsWithin([this](const admission::ExpectedTime& time) {
      return this->EndsWithin(time);
    });
    this->callers.SetResumeElsewhere(
        [this](const std::string& id, std::uint32_t from,
               const std::string& customer, const SharedExchange& exchange) {
          const auto origin = this->fleet.OriginOf(id);
          if (!origin) return false;
          AnswerRelay::Read(this->fleet.Client(), *origin, id, from, customer,
                            exchange);
          return true;
        });
  }

  AnswerSender MakeAnswerSender() {
    return [this](const std::string& id, std::uint64_t from,
                  const std::string& customer, const peers::AnswerSink& sink) {
      this->relay.Serve(id, static_cast<std::uint32_t>(from), customer, sink);
    };
  }

  ConfigCallbacks MakeConfigCallbacks() {
    ConfigCallbacks callbacks;
    callbacks.generation = [this] { return this->config.Catalog().generation; };
    callbacks.update_for = [this](std::uint64_t since) {
      return this->config.UpdateFor(since);
    };
    callbacks.apply_update = [this](const std::string& text) {
      return this->config.OnPeerUpdate(text);
    };
    return callbacks;
  }

  AdminCallbacks MakeAdminCallbacks() {
    AdminCallbacks callbacks;
    callbacks.status = [this] { return this->Status(); };
    callbacks.timeline = [this](std::uint64_t after) {
      return timeline::ToJson(this->events.After(after, kTimelinePage));
    };
    callbacks.metrics = [this] { return this->metrics.Render(); };
    callbacks.drain = [this] { this->BeginDrain(); };
    return callbacks;
  }

  /// Gives the configuration its source of live routers, and exports the
  /// generation in force as a metric.
  void ConnectConfig() {
    this->config.SetLiveRouters([this] {
      std::vector<std::string> ids;
      for (const Instance& router :
           this->directory.InstancesWithRole(Role::kRouter)) {
        ids.push_back(router.id);
      }
      return ids;
    });
    this->config.OnChange([this] {
      this->metrics.Set("toucanwharf_config_generation",
                        static_cast<double>(this->config.Catalog().generation));
    });
    this->ExportAnswerMemory();
  }

  void ExportAnswerMemory() {
    this->metrics.Set("toucanwharf_answer_bytes",
                      static_cast<double>(this->client.HeldBytes()));
    this->metrics.Set("toucanwharf_answers_evicted",
                      static_cast<double>(this->client.Evicted()));
    this->loop.After(kMemoryExportPeriod,
                     [this] { this->ExportAnswerMemory(); });
  }

  std::string Status() const {
    const Json status = {{"instance", this->settings.instance},
                         {"incarnation", this->incarnation},
                         {"failure_domain", this->settings.failure_domain},
                         {"generation", this->config.Catalog().generation},
                         {"accepts_records", this->config.HoldsLease()},
                         {"engines", this->directory.Engines().Size()},
                         {"members", this->fleet.LiveRouters()},
                         {"answers_running", this->runner.Running()},
                         {"service_calls_running", this->services.Running()},
                         {"state", this->drain_began ? "leaving" : "live"}};
    return status.dump() + "\n";
  }

  void RecordEvent(timeline::EventKind kind) {
    timeline::EventDetails details;
    details.kind = kind;
    details.endpoint = this->settings.instance;
    this->events.Add(WallMillis(), std::move(details));
  }

  void BeginDrain() {
    if (this->drain_began) return;
    this->drain_began = this->loop.Now();
    LOG(INFO) << "drain of " << this->settings.instance << " begins";
    this->RecordEvent(timeline::EventKind::kDrainBegan);
    this->entry_advice.Leave();
    this->fleet.AnnounceDrain();
    this->config.ReleaseLease();
    this->loop.After(this->stop_plan.AnswerBy(), [this] { this->EndAll(); });
    this->loop.After(this->stop_plan.ExitBy(), [this] { this->Exit(); });
    this->CheckDrain();
  }

  /// Ends what is under way with a final answer.
  void EndAll() {
    LOG(WARNING) << "drain of " << this->settings.instance << " breaks off "
                 << this->services.Running() << " calls and "
                 << this->sessions.Running() << " answers";
    this->ending = true;
    this->services.EndAll();
    this->sessions.EndAll();
  }

  void Exit() {
    LOG(INFO) << "drain of " << this->settings.instance << " complete";
    this->loop.Stop();
  }

  bool IsIdle() const {
    return this->runner.Running() == 0 && this->services.Running() == 0 &&
           this->journal.Idle() && this->caller_server->OpenExchanges() == 0;
  }

  bool EndsWithin(const admission::ExpectedTime& time) const {
    if (!this->drain_began) return false;
    return !this->stop_plan.MayTake(this->loop.Now() - *this->drain_began,
                                    time);
  }

  void CheckDrain() {
    const TimePoint now = this->loop.Now();
    if (now >= this->entry_advice.ServeUntil(*this->drain_began)) {
      this->caller_server->StopListening();
      if (this->IsIdle()) {
        this->Exit();
        return;
      }
    }
    this->loop.After(this->ending ? kEndCheckPeriod : kDrainCheckPeriod,
                     [this] { this->CheckDrain(); });
  }

  /// Returns how much all listeners together may use.
  transport::ConnectionLimits SharedLimits() const {
    const settings::Limits& configured = this->settings.limits;
    const std::uint64_t memory = MemoryBytes(this->settings);
    const std::uint64_t descriptors = SystemDescriptors();
    transport::ConnectionLimits shared;
    shared.buffer_bytes = memory / kBufferDivisor;
    shared.connections = std::min<std::uint64_t>(
        {configured.connections,
         descriptors - std::min(descriptors / 2, kOtherDescriptors),
         memory / kConnectionDivisor / kConnectionBytes});
    return shared;
  }

  Result<void> OpenListeners() {
    const auto registry =
        std::make_shared<transport::ConnectionRegistry>(this->SharedLimits());
    transport::ServerLimits limits;
    limits.body_bytes = this->settings.limits.body_bytes;
    limits.connections = this->settings.limits.connections;
    BOOST_OUTCOME_TRY(caller_listener,
                      transport::HttpServer::Open(
                          this->settings.listen.callers, limits,
                          [this](const SharedExchange& exchange) {
                            this->loop.Post([this, exchange] {
                              this->callers.Serve(exchange);
                            });
                          },
                          registry));
    transport::ServerLimits admin_limits;
    admin_limits.threads = 1;
    BOOST_OUTCOME_TRY(admin_listener,
                      transport::HttpServer::Open(
                          this->settings.listen.admin, admin_limits,
                          [this](const SharedExchange& exchange) {
                            this->loop.Post([this, exchange] {
                              this->admin.Serve(exchange);
                            });
                          },
                          registry));
    BOOST_OUTCOME_TRY(this->fleet.Start());
    this->caller_server = std::move(caller_listener);
    this->admin_server = std::move(admin_listener);
    return Success();
  }

  settings::Settings settings;
  std::string incarnation;
  std::uint64_t seed;
  timeline::Buffer events;
  transport::EventLoop loop;
  transport::HttpClient client;
  Metrics metrics;
  Directory directory;
  platform::Client platform;
  platform::ConfigService config;
  platform::IdempotencyJournal journal;
  FleetSync fleet;
  AnswerAdmission answer_admission;
  AnswerRunner runner;
  AnswerSessions sessions;
  AnswerRelay relay;
  ServiceRunner services;
  EntryAdviceProvider entry_advice;
  CallerApi callers;
  AdminApi admin;
  std::unique_ptr<transport::HttpServer> caller_server;
  std::unique_ptr<transport::HttpServer> admin_server;
  std::optional<TimePoint> drain_began;
  /// Callers are served at least until they know of the drain.
  Duration news{this->entry_advice.ServeUntil(TimePoint()) - TimePoint()};
  admission::StopPlan stop_plan{
      std::max(this->settings.timeouts.drain, this->news), this->news};
  /// Whether what was under way was broken off.
  bool ending = false;
};

Router::Router(std::unique_ptr<Parts> parts) : parts(std::move(parts)) {}

Router::~Router() = default;

Result<std::unique_ptr<Router>> Router::Open(settings::Settings settings) {
  auto parts = std::make_unique<Parts>(std::move(settings));
  BOOST_OUTCOME_TRY(parts->OpenListeners());
  return std::unique_ptr<Router>(new Router(std::move(parts)));
}

void Router::Run() {
  this->parts->RecordEvent(timeline::EventKind::kStarted);
  this->parts->answer_admission.Start();
  this->parts->directory.Start();
  this->parts->ConnectConfig();
  this->parts->config.Start();
  this->parts->sessions.Start();
  LOG(INFO) << "instance " << this->parts->settings.instance
            << " listens for callers on port "
            << this->parts->caller_server->Port() << ", for operators on port "
            << this->parts->admin_server->Port();
  this->parts->loop.Run();
}

void Router::Drain() {
  this->parts->loop.Post([this] { this->parts->BeginDrain(); });
}

}  // namespace toucanwharf::daemon
