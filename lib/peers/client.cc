#include "toucanwharf/peers/client.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <list>
#include <map>
#include <optional>
#include <utility>

#include "callback_queue.h"
#include "peer.grpc.pb.h"
#include "toucanwharf/peers/error.h"
#include "toucanwharf/peers/seal.h"
#include "wire.h"

namespace toucanwharf::peers {
namespace {

/// Connections kept open. Probes cycle through all members; with 420 of them,
/// each connection would be used once in 210 s, and its buffers count against
/// the memory budget of the control plane.
constexpr std::size_t kMaxChannels = 16;
constexpr int kReconnectMillis = 250;
/// Largest answer: a configuration snapshot of the largest supported size.
constexpr int kMaxMessageBytes = 8 * 1024 * 1024;

std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  // By default gRPC would wait up to two minutes before it reconnects to a
  // restarted router, share connections between channels, and use a proxy set
  // in the environment.
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMillis);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMillis);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  const std::string scheme = address.starts_with('[') ? "ipv6:" : "ipv4:";
  return grpc::CreateCustomChannel(
      scheme + address, grpc::InsecureChannelCredentials(), arguments);
}

std::error_code ToErrorCode(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return Errc::kTimeout;
    case grpc::StatusCode::UNAUTHENTICATED:
      return Errc::kWrongKey;
    case grpc::StatusCode::NOT_FOUND:
      return Errc::kNotFound;
    case grpc::StatusCode::INVALID_ARGUMENT:
      return Errc::kMalformed;
    default:
      return Errc::kUnreachable;
  }
}

std::chrono::system_clock::time_point Deadline(Duration timeout) {
  return std::chrono::system_clock::now() + timeout;
}

}  // namespace

/// Owns the connections. Thread safety: none; on the owner's thread only.
class PeerClient::Impl {
 public:
  Impl(Post post_task, std::string shared_key)
      : post(std::move(post_task)), key(std::move(shared_key)) {
    KeepCallbackQueue();
  }

  std::unique_ptr<wire::Peer::Stub> StubFor(const std::string& address) {
    const auto found = this->positions.find(address);
    if (found != this->positions.end()) {
      this->channels.splice(this->channels.begin(), this->channels,
                            found->second);
      return wire::Peer::NewStub(found->second->second);
    }
    this->channels.emplace_front(address, OpenChannel(address));
    this->positions[address] = this->channels.begin();
    auto stub = wire::Peer::NewStub(this->channels.front().second);
    if (this->channels.size() > kMaxChannels) {
      this->positions.erase(this->channels.back().first);
      this->channels.pop_back();
    }
    return stub;
  }

  void CloseChannel(const std::string& address) {
    const auto found = this->positions.find(address);
    if (found == this->positions.end()) return;
    this->channels.erase(found->second);
    this->positions.erase(found);
  }

  wire::Envelope Sealed(const char* call, std::string body) const {
    wire::Envelope envelope;
    envelope.set_seal(SealRequest(this->key, call, body));
    envelope.set_body(std::move(body));
    return envelope;
  }

  Post post;
  std::string key;

 private:
  using Channel = std::pair<std::string, std::shared_ptr<grpc::Channel>>;

  std::list<Channel> channels;
  std::map<std::string, std::list<Channel>::iterator> positions;
};

namespace {

/// A call with a single answer; lives until gRPC's callback has run.
struct UnaryCall {
  std::unique_ptr<wire::Peer::Stub> stub;
  grpc::ClientContext context;
  wire::Envelope request;
  wire::Envelope reply;
};

using Method = void (wire::Peer::Stub::async::*)(
    grpc::ClientContext*, const wire::Envelope*, wire::Envelope*,
    std::function<void(grpc::Status)>);

// Each method has overloads; these constants select those with a callback.
constexpr Method kProbe = &wire::Peer::Stub::async::Probe;
constexpr Method kPassOnProbe = &wire::Peer::Stub::async::PassOnProbe;
constexpr Method kFetchConfig = &wire::Peer::Stub::async::FetchConfig;

void CallOnce(const std::shared_ptr<PeerClient::Impl>& impl,
              const std::string& address, Method method, wire::Envelope request,
              Duration timeout, PeerClient::OnBytes done) {
  const auto call = std::make_shared<UnaryCall>();
  call->stub = impl->StubFor(address);
  call->request = std::move(request);
  call->context.set_deadline(Deadline(timeout));
  const std::weak_ptr<PeerClient::Impl> owner = impl;
  const auto finish = [call, owner, address, done](const grpc::Status& status) {
    const auto client = owner.lock();
    if (client == nullptr) return;
    if (!status.ok()) {
      // This connection may be unresponsive while new ones would work: the next
      // call opens a new one.
      client->CloseChannel(address);
      done(ToErrorCode(status));
      return;
    }
    const std::string seal =
        SealAnswer(client->key, call->request.seal(), 0, call->reply.body());
    if (!SameSeal(seal, call->reply.seal())) {
      done(make_error_code(Errc::kWrongKey));
      return;
    }
    done(call->reply.body());
  };
  const Post post = impl->post;
  (call->stub->async()->*method)(&call->context, &call->request, &call->reply,
                                 [post, finish](const grpc::Status& status) {
                                   post([finish, status] { finish(status); });
                                 });
}

/// Receives a streamed answer; deletes itself in OnDone.
class AnswerReader : public grpc::ClientReadReactor<wire::Envelope> {
 public:
  AnswerReader(const std::shared_ptr<PeerClient::Impl>& impl,
               const std::string& address, wire::Envelope sealed,
               Duration timeout, std::function<void(std::string)> part_handler,
               PeerClient::OnEnd end_handler)
      : owner(impl),
        post(impl->post),
        key(impl->key),
        stub(impl->StubFor(address)),
        request(std::move(sealed)),
        on_part(std::move(part_handler)),
        on_end(std::move(end_handler)) {
    this->context.set_deadline(Deadline(timeout));
    this->stub->async()->GetAnswer(&this->context, &this->request, this);
    this->StartRead(&this->reply);
    this->StartCall();
  }

  void OnReadDone(bool received) override {
    if (!received) return;
    const std::string seal = SealAnswer(this->key, this->request.seal(),
                                        this->parts++, this->reply.body());
    if (!SameSeal(seal, this->reply.seal())) {
      this->wrong_seal = true;
      this->context.TryCancel();
      return;
    }
    wire::AnswerPart part;
    if (part.ParseFromString(this->reply.body())) {
      this->Deliver(
          [handler = this->on_part, data = part.data()] { handler(data); });
    }
    this->StartRead(&this->reply);
  }

  void OnDone(const grpc::Status& status) override {
    Result<void> result = Success();
    if (this->wrong_seal) {
      result = make_error_code(Errc::kWrongKey);
    } else if (!status.ok()) {
      result = ToErrorCode(status);
    }
    this->Deliver([handler = this->on_end, result] { handler(result); });
    delete this;
  }

 private:
  void Deliver(std::function<void()> task) {
    this->post([weak_client = this->owner, task = std::move(task)] {
      if (!weak_client.expired()) task();
    });
  }

  std::weak_ptr<PeerClient::Impl> owner;
  Post post;
  std::string key;
  std::unique_ptr<wire::Peer::Stub> stub;
  grpc::ClientContext context;
  wire::Envelope request;
  wire::Envelope reply;
  std::uint64_t parts = 0;
  bool wrong_seal = false;
  std::function<void(std::string)> on_part;
  PeerClient::OnEnd on_end;
};

}  // namespace

PeerClient::PeerClient(Post post, std::string key)
    : impl(std::make_shared<Impl>(std::move(post), std::move(key))) {}

PeerClient::~PeerClient() = default;

void PeerClient::Send(const membership::Probe& probe, Duration timeout,
                      OnMessage done) {
  const bool direct = probe.via.empty();
  wire::PassOn pass_on;
  ToWire(probe.message, *pass_on.mutable_gossip());
  pass_on.set_address(probe.address);
  wire::Envelope request =
      direct
          ? this->impl->Sealed(kProbeCall, pass_on.gossip().SerializeAsString())
          : this->impl->Sealed(kPassOnCall, pass_on.SerializeAsString());
  const Method method = direct ? kProbe : kPassOnProbe;
  CallOnce(this->impl, direct ? probe.address : probe.via, method,
           std::move(request), timeout,
           [done](const Result<std::string>& body) {
             if (!body) return done(body.error());
             wire::Gossip gossip;
             const bool parsed = gossip.ParseFromString(body.value());
             const auto message = parsed ? FromWire(gossip) : std::nullopt;
             if (!message) return done(make_error_code(Errc::kMalformed));
             done(*message);
           });
}

void PeerClient::FetchConfig(const std::string& address, std::uint64_t since,
                             Duration timeout, OnBytes done) {
  wire::ConfigRequest request;
  request.set_since(since);
  CallOnce(this->impl, address, kFetchConfig,
           this->impl->Sealed(kConfigCall, request.SerializeAsString()),
           timeout, [done](const Result<std::string>& body) {
             if (!body) return done(body.error());
             wire::ConfigReply reply;
             if (!reply.ParseFromString(body.value())) {
               return done(make_error_code(Errc::kMalformed));
             }
             if (!reply.found()) return done(make_error_code(Errc::kNotFound));
             done(reply.data());
           });
}

void PeerClient::GetAnswer(const std::string& address,
                           const std::string& request, std::uint64_t from,
                           const std::string& customer, Duration timeout,
                           std::function<void(std::string)> on_part,
                           OnEnd on_end) {
  wire::AnswerRequest body;
  body.set_request(request);
  body.set_from(from);
  body.set_customer(customer);
  // Deletes itself in OnDone.
  new AnswerReader(this->impl, address,
                   this->impl->Sealed(kAnswerCall, body.SerializeAsString()),
                   timeout, std::move(on_part), std::move(on_end));
}

}  // namespace toucanwharf::peers
