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

/// Connections kept open. Probes go round all members; with 420 of them each
/// connection would be used once in 210 s, and its buffers count against the
/// memory that control may use.
constexpr std::size_t kMostChannels = 16;
constexpr int kReconnectMillis = 250;
/// Largest answer: a snapshot of the configuration at the target's size.
constexpr int kMostBytes = 8 * 1024 * 1024;

std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  // Without these gRPC would wait up to two minutes before it tries again a
  // router that was restarted, share connections behind our back, and ask a
  // proxy named by the environment.
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMillis);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMillis);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMostBytes);
  const std::string scheme = address.starts_with('[') ? "ipv6:" : "ipv4:";
  return grpc::CreateCustomChannel(
      scheme + address, grpc::InsecureChannelCredentials(), arguments);
}

std::error_code CodeOf(const grpc::Status& status) {
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

/// Holds the connections. Used on the owner's thread only.
class PeerClient::Impl {
 public:
  Impl(Post post_task, std::string shared_key)
      : post(std::move(post_task)), key(std::move(shared_key)) {
    KeepCallbackQueue();
  }

  std::unique_ptr<wire::Peer::Stub> StubFor(const std::string& address) {
    const auto found = this->places.find(address);
    if (found != this->places.end()) {
      this->channels.splice(this->channels.begin(), this->channels,
                            found->second);
      return wire::Peer::NewStub(found->second->second);
    }
    this->channels.emplace_front(address, OpenChannel(address));
    this->places[address] = this->channels.begin();
    auto stub = wire::Peer::NewStub(this->channels.front().second);
    if (this->channels.size() > kMostChannels) {
      this->places.erase(this->channels.back().first);
      this->channels.pop_back();
    }
    return stub;
  }

  void Forget(const std::string& address) {
    const auto found = this->places.find(address);
    if (found == this->places.end()) return;
    this->channels.erase(found->second);
    this->places.erase(found);
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
  std::map<std::string, std::list<Channel>::iterator> places;
};

namespace {

/// One call with one answer; lives until gRPC's callback has run.
struct UnaryCall {
  std::unique_ptr<wire::Peer::Stub> stub;
  grpc::ClientContext context;
  wire::Envelope request;
  wire::Envelope reply;
};

using Method = void (wire::Peer::Stub::async::*)(
    grpc::ClientContext*, const wire::Envelope*, wire::Envelope*,
    std::function<void(grpc::Status)>);

// Each call has overloads; these name the ones with a callback.
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
    const auto alive = owner.lock();
    if (alive == nullptr) return;
    if (!status.ok()) {
      // The connection may have gone silent while new ones work: the next
      // call gets a fresh one.
      alive->Forget(address);
      done(CodeOf(status));
      return;
    }
    const std::string seal =
        SealAnswer(alive->key, call->request.seal(), 0, call->reply.body());
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

/// A streamed answer on its way in; deletes itself after OnDone.
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
      this->forged = true;
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
    if (this->forged) {
      result = make_error_code(Errc::kWrongKey);
    } else if (!status.ok()) {
      result = CodeOf(status);
    }
    this->Deliver([handler = this->on_end, result] { handler(result); });
    delete this;
  }

 private:
  void Deliver(std::function<void()> task) {
    this->post([client = this->owner, task = std::move(task)] {
      if (!client.expired()) task();
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
  bool forged = false;
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
  // Deletes itself once gRPC is done with it.
  new AnswerReader(this->impl, address,
                   this->impl->Sealed(kAnswerCall, body.SerializeAsString()),
                   timeout, std::move(on_part), std::move(on_end));
}

}  // namespace toucanwharf::peers
