#include "toucanwharf/peers/server.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "callback_queue.h"
#include "peer.grpc.pb.h"
#include "toucanwharf/peers/error.h"
#include "toucanwharf/peers/seal.h"
#include "wire.h"

namespace toucanwharf::peers {
namespace {

/// Parts queued for a slow receiver, which can resume from its last part.
constexpr std::size_t kMaxQueuedParts = 4096;
/// Largest message: a configuration snapshot of the largest supported size.
constexpr int kMaxMessageBytes = 8 * 1024 * 1024;

grpc::Status Malformed() {
  return {grpc::StatusCode::INVALID_ARGUMENT, "malformed"};
}

/// Sends one streamed answer; lives until gRPC has called OnDone and the
/// handler has released it.
class AnswerWriter final : public grpc::ServerWriteReactor<wire::Envelope>,
                           public std::enable_shared_from_this<AnswerWriter> {
 public:
  AnswerWriter(std::string shared_key, std::string seal)
      : key(std::move(shared_key)), request_seal(std::move(seal)) {}

  /// Keeps this object alive until OnDone. Precondition: called once, at the
  /// start.
  void KeepAliveUntilDone() { this->self = this->shared_from_this(); }

  bool Write(std::string part) {
    const std::lock_guard lock(this->mutex);
    if (this->finished) return false;
    if (this->queued.size() >= kMaxQueuedParts) {
      this->FinishNow({grpc::StatusCode::RESOURCE_EXHAUSTED, "too slow"});
      return false;
    }
    wire::AnswerPart body;
    body.set_data(std::move(part));
    wire::Envelope envelope;
    envelope.set_body(body.SerializeAsString());
    envelope.set_seal(SealAnswer(this->key, this->request_seal, this->parts++,
                                 envelope.body()));
    this->queued.push_back(std::move(envelope));
    this->SendNext();
    return true;
  }

  void End(bool complete) {
    const std::lock_guard lock(this->mutex);
    if (this->ending) return;
    this->ending = complete
                       ? grpc::Status::OK
                       : grpc::Status(grpc::StatusCode::NOT_FOUND, "not here");
    this->SendNext();
  }

  void Abort() {
    const std::lock_guard lock(this->mutex);
    this->FinishNow({grpc::StatusCode::UNAVAILABLE, "stopping"});
  }

  void OnWriteDone(bool sent) override {
    const std::lock_guard lock(this->mutex);
    this->writing = false;
    this->queued.pop_front();
    if (!sent) {
      this->FinishNow({grpc::StatusCode::UNAVAILABLE, "gone"});
      return;
    }
    this->SendNext();
  }

  void OnCancel() override {
    const std::lock_guard lock(this->mutex);
    this->FinishNow(grpc::Status::CANCELLED);
  }

  void OnDone() override {
    const std::shared_ptr<AnswerWriter> last = std::move(this->self);
  }

 private:
  void SendNext() {
    if (this->finished || this->writing) return;
    if (!this->queued.empty()) {
      this->writing = true;
      this->StartWrite(&this->queued.front());
      return;
    }
    if (this->ending) this->FinishNow(*this->ending);
  }

  void FinishNow(const grpc::Status& status) {
    if (this->finished) return;
    this->finished = true;
    this->Finish(status);
  }

  std::string key;
  std::string request_seal;
  std::mutex mutex;
  std::deque<wire::Envelope> queued;
  std::uint64_t parts = 0;
  bool writing = false;
  bool finished = false;
  std::optional<grpc::Status> ending;
  std::shared_ptr<AnswerWriter> self;
};

}  // namespace

/// The gRPC service. Its callbacks check seals and post the requests. It tracks
/// open calls, so that Stop can end them without the owner's thread.
class PeerServer::Impl final : public wire::Peer::CallbackService {
 public:
  Impl(std::string shared_key, Post post_task, Handlers request_handlers)
      : calls(std::make_shared<Calls>()),
        key(std::move(shared_key)),
        post(std::move(post_task)),
        handlers(
            std::make_shared<const Handlers>(std::move(request_handlers))) {}

  bool Listen(const std::string& address) {
    KeepCallbackQueue();
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                             &this->port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.RegisterService(this);
    this->server = builder.BuildAndStart();
    return this->server != nullptr && this->port != 0;
  }

  int Port() const { return this->port; }

  void Stop() {
    if (this->server == nullptr) return;
    this->calls->EndAll();
    this->server->Shutdown(std::chrono::system_clock::now());
    this->server.reset();
  }

  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* context,
                                  const wire::Envelope* request,
                                  wire::Envelope* reply) override {
    const auto open = this->Open(context, kProbeCall, *request, reply);
    wire::Gossip gossip;
    if (!open.id) return open.reactor;
    const bool parsed = gossip.ParseFromString(request->body());
    const auto message = parsed ? FromWire(gossip) : std::nullopt;
    if (!message) return this->Reject(open);
    this->post([state = this->calls, handlers = this->handlers, open, message] {
      wire::Gossip answer;
      ToWire(handlers->probe(*message), answer);
      state->Answer(open, answer.SerializeAsString());
    });
    return open.reactor;
  }

  grpc::ServerUnaryReactor* PassOnProbe(grpc::CallbackServerContext* context,
                                        const wire::Envelope* request,
                                        wire::Envelope* reply) override {
    const auto open = this->Open(context, kPassOnCall, *request, reply);
    wire::PassOn pass_on;
    if (!open.id) return open.reactor;
    const bool parsed = pass_on.ParseFromString(request->body());
    const auto message = parsed ? FromWire(pass_on.gossip()) : std::nullopt;
    if (!message) return this->Reject(open);
    const auto done = [state = this->calls,
                       open](const Result<membership::Message>& answer) {
      if (!answer) {
        state->End(open, {grpc::StatusCode::NOT_FOUND, "no answer"});
        return;
      }
      wire::Gossip gossip;
      ToWire(answer.value(), gossip);
      state->Answer(open, gossip.SerializeAsString());
    };
    this->post([handlers = this->handlers, address = pass_on.address(), message,
                done] { handlers->pass_on(address, *message, done); });
    return open.reactor;
  }

  grpc::ServerUnaryReactor* FetchConfig(grpc::CallbackServerContext* context,
                                        const wire::Envelope* request,
                                        wire::Envelope* reply) override {
    const auto open = this->Open(context, kConfigCall, *request, reply);
    wire::ConfigRequest body;
    if (!open.id) return open.reactor;
    if (!body.ParseFromString(request->body())) return this->Reject(open);
    this->post([state = this->calls, handlers = this->handlers, open,
                since = body.since()] {
      const auto data = handlers->config(since);
      wire::ConfigReply answer;
      answer.set_found(data.has_value());
      answer.set_data(data.value_or(""));
      state->Answer(open, answer.SerializeAsString());
    });
    return open.reactor;
  }

  grpc::ServerWriteReactor<wire::Envelope>* GetAnswer(
      grpc::CallbackServerContext* /*context*/,
      const wire::Envelope* request) override {
    const auto writer =
        std::make_shared<AnswerWriter>(this->key, request->seal());
    writer->KeepAliveUntilDone();
    wire::AnswerRequest body;
    if (!this->HasValidSeal(kAnswerCall, *request) ||
        !body.ParseFromString(request->body())) {
      writer->Abort();
      return writer.get();
    }
    this->calls->Add(writer);
    this->post([handlers = this->handlers, body, writer] {
      const AnswerSink sink{
          [writer](std::string part) { return writer->Write(std::move(part)); },
          [writer](bool complete) { writer->End(complete); }};
      handlers->answer(body.request(), body.from(), body.customer(), sink);
    });
    return writer.get();
  }

 private:
  /// An open call with a single answer; has no id if it was already rejected.
  struct OpenCall {
    std::optional<std::uint64_t> id;
    grpc::ServerUnaryReactor* reactor = nullptr;
    wire::Envelope* reply = nullptr;
    std::string seal;
    std::string key;
  };

  /// The open calls. Shared with posted tasks, which may run after the server
  /// was destroyed. Thread safety: safe.
  class Calls {
   public:
    std::uint64_t Add(grpc::ServerUnaryReactor* reactor) {
      const std::lock_guard lock(this->mutex);
      this->unary[++this->last] = reactor;
      return this->last;
    }
    void Add(const std::shared_ptr<AnswerWriter>& writer) {
      const std::lock_guard lock(this->mutex);
      std::erase_if(this->writers,
                    [](const auto& old) { return old.expired(); });
      this->writers.push_back(writer);
    }
    void Answer(const OpenCall& call, std::string body) {
      const std::lock_guard lock(this->mutex);
      if (this->unary.erase(*call.id) == 0) return;
      call.reply->set_seal(SealAnswer(call.key, call.seal, 0, body));
      call.reply->set_body(std::move(body));
      call.reactor->Finish(grpc::Status::OK);
    }
    void End(const OpenCall& call, const grpc::Status& status) {
      const std::lock_guard lock(this->mutex);
      if (this->unary.erase(*call.id) == 0) return;
      call.reactor->Finish(status);
    }
    void EndAll() {
      const std::lock_guard lock(this->mutex);
      for (const auto& [id, reactor] : this->unary) {
        reactor->Finish({grpc::StatusCode::UNAVAILABLE, "stopping"});
      }
      this->unary.clear();
      for (const auto& writer : this->writers) {
        if (const auto open = writer.lock()) open->Abort();
      }
    }

   private:
    std::mutex mutex;
    std::uint64_t last = 0;
    std::map<std::uint64_t, grpc::ServerUnaryReactor*> unary;
    std::deque<std::weak_ptr<AnswerWriter>> writers;
  };

  bool HasValidSeal(const char* call, const wire::Envelope& request) const {
    return SameSeal(SealRequest(this->key, call, request.body()),
                    request.seal());
  }

  OpenCall Open(grpc::CallbackServerContext* context, const char* call,
                const wire::Envelope& request, wire::Envelope* reply) {
    OpenCall open;
    open.reactor = context->DefaultReactor();
    if (!this->HasValidSeal(call, request)) {
      open.reactor->Finish({grpc::StatusCode::UNAUTHENTICATED, "wrong seal"});
      return open;
    }
    open.reply = reply;
    open.seal = request.seal();
    open.key = this->key;
    open.id = this->calls->Add(open.reactor);
    return open;
  }

  grpc::ServerUnaryReactor* Reject(const OpenCall& open) {
    this->calls->End(open, Malformed());
    return open.reactor;
  }

  std::shared_ptr<Calls> calls;
  std::string key;
  Post post;
  std::shared_ptr<const Handlers> handlers;
  std::unique_ptr<grpc::Server> server;
  int port = 0;
};

Result<std::unique_ptr<PeerServer>> PeerServer::Start(
    const std::string& address, std::string key, Post post, Handlers handlers) {
  auto impl = std::make_unique<Impl>(std::move(key), std::move(post),
                                     std::move(handlers));
  if (!impl->Listen(address)) return make_error_code(Errc::kCannotListen);
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::PeerServer(std::unique_ptr<Impl> started)
    : impl(std::move(started)) {}

PeerServer::~PeerServer() { this->Stop(); }

int PeerServer::Port() const { return this->impl->Port(); }

void PeerServer::Stop() { this->impl->Stop(); }

}  // namespace toucanwharf::peers
