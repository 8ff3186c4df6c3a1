#include "toucanwharf/exchange/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::exchange {
namespace {

/// Ticks per probe period: a probe timeout is detected at most a fifth of a
/// period late.
constexpr int kTicksPerPeriod = 5;

membership::Member LocalMember(const settings::Settings& settings) {
  membership::Member member;
  member.id = settings.instance;
  member.address = settings.advertise.peers;
  member.failure_domain = settings.failure_domain;
  // Above every incarnation of earlier processes with this id, so that others
  // accept the state of the new process immediately.
  member.incarnation = WallMillis();
  return member;
}

Random MakeRandom(const settings::Settings& settings) {
  std::uint64_t state = WallMillis();
  for (const char byte : settings.instance) {
    state = MixBits(state ^ static_cast<unsigned char>(byte));
  }
  return Random(state);
}

std::uint64_t EncodedSizeOf(const membership::Message& message) {
  std::uint64_t size = membership::EncodedSize(message.sender);
  for (const auto& member : message.members) {
    size += membership::EncodedSize(member);
  }
  for (const auto& item : message.items) size += membership::EncodedSize(item);
  return size;
}

}  // namespace

PeerExchange::PeerExchange(transport::EventLoop& event_loop,
                           const settings::Settings& router_settings,
                           PeerCallbacks peer_callbacks)
    : loop(event_loop),
      settings(router_settings),
      callbacks(std::move(peer_callbacks)),
      members(limits, LocalMember(router_settings),
              MakeRandom(router_settings)),
      post([&event_loop, lifetime = std::weak_ptr<bool>(this->lifetime)](
               std::function<void()> task) {
        event_loop.Post([lifetime, task = std::move(task)] {
          if (!lifetime.expired()) task();
        });
      }) {}

PeerExchange::~PeerExchange() {
  if (this->server != nullptr) this->server->Stop();
  this->loop.CancelTimer(this->timer);
}

Result<void> PeerExchange::Start() {
  this->client =
      std::make_unique<peers::PeerClient>(this->post, this->settings.peer_key);
  auto started = peers::PeerServer::Start(this->settings.listen.peers,
                                          this->settings.peer_key, this->post,
                                          this->MakeHandlers());
  if (!started) return started.error();
  this->server = std::move(started.value());
  this->Tick();
  return Success();
}

peers::Handlers PeerExchange::MakeHandlers() {
  peers::Handlers handlers;
  handlers.probe = [this](const membership::Message& message) {
    return this->Answer(message);
  };
  handlers.pass_on = [this](const std::string& address,
                            const membership::Message& message,
                            const peers::PeerClient::OnMessage& done) {
    this->PassOn(address, message, done);
  };
  handlers.config = this->callbacks.config;
  handlers.answer = this->callbacks.answer;
  return handlers;
}

void PeerExchange::Tick() {
  this->timer = this->loop.After(this->limits.period / kTicksPerPeriod,
                                 [this] { this->Tick(); });
  for (const membership::Probe& probe : this->members.Tick(this->loop.Now())) {
    this->Send(probe);
  }
}

void PeerExchange::Send(const membership::Probe& probe) {
  ++this->counters.probes_sent;
  this->counters.bytes_sent += EncodedSizeOf(probe.message);
  this->client->Send(
      probe, this->limits.period,
      [this, id = probe.id](const Result<membership::Message>& answer) {
        if (!answer) {
          ++this->counters.probes_failed;
          return;
        }
        this->counters.bytes_received += EncodedSizeOf(answer.value());
        this->members.OnAnswer(id, answer.value(), this->loop.Now());
      });
}

membership::Message PeerExchange::Answer(const membership::Message& message) {
  ++this->counters.probes_received;
  this->counters.bytes_received += EncodedSizeOf(message);
  membership::Message answer = this->members.OnProbe(message, this->loop.Now());
  this->counters.bytes_sent += EncodedSizeOf(answer);
  return answer;
}

void PeerExchange::PassOn(const std::string& address,
                          const membership::Message& message,
                          peers::PeerClient::OnMessage done) {
  // Forward only to addresses of known members, never to arbitrary addresses.
  const std::vector<membership::Member> present = this->members.Present();
  const bool known = std::any_of(
      present.begin(), present.end(),
      [&address](const auto& member) { return member.address == address; });
  if (!known) return done(std::make_error_code(std::errc::host_unreachable));
  this->counters.bytes_sent += EncodedSizeOf(message);
  this->client->Send(membership::Probe{0, address, "", message},
                     this->limits.probe_timeout, std::move(done));
}

void PeerExchange::OnList(const std::vector<membership::Seed>& list) {
  this->members.OnList(list);
}

void PeerExchange::Leave() { this->members.Leave(); }

bool PeerExchange::Publish(membership::ItemKind kind, const std::string& key,
                           const std::string& value) {
  return this->members.Publish(kind, key, value);
}

std::vector<membership::Member> PeerExchange::Present() const {
  return this->members.Present();
}

bool PeerExchange::IsDeparted(const std::string& id) const {
  const membership::Member* member = this->members.CurrentView().Find(id);
  if (member == nullptr) return false;
  return member->leaving || member->status == membership::Status::kDead;
}

std::vector<membership::Item> PeerExchange::Items(
    membership::ItemKind kind) const {
  return this->members.CurrentView().Items(kind);
}

std::size_t PeerExchange::ObserverRank(const std::string& endpoint,
                                       std::size_t count) const {
  const auto observers =
      membership::WatchersOf(endpoint, this->members.Present(), count);
  const auto self =
      std::find(observers.begin(), observers.end(), this->settings.instance);
  if (self == observers.end()) return count;
  return static_cast<std::size_t>(self - observers.begin());
}

}  // namespace toucanwharf::exchange
