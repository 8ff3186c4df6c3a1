#include "toucanwharf/transport/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cassert>
#include <chrono>
#include <cstdio>

#include "absl/strings/ascii.h"
#include "toucanwharf/resources/eviction.h"

namespace toucanwharf::transport {

/// One call in flight. libcurl holds a pointer to it, so it must not move.
struct HttpClient::Transfer {
  CallId id = 0;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  HttpCall call;
  CallHandlers handlers;
  HttpOutcome outcome;
  // A callback may cancel its own call. libcurl forbids removing a handle
  // inside its callbacks, so Cancel posts the removal.
  bool cancelled = false;
  // Whether the empty line after the fields of the final response was received.
  bool has_head = false;
  HttpClient* owner = nullptr;
  /// Of all fields: of interim responses, of the head and of trailers.
  std::size_t field_bytes = 0;
  std::size_t fields = 0;
  resources::Lease lease;
  /// When the call first kept more than it gave on.
  TimePoint holds_since;
  /// Why this client ended the call; empty if it didn't.
  std::string failure;

  /// Returns what is kept of the response, in bytes.
  std::size_t HeldBytes() const {
    return this->outcome.body.capacity() + this->field_bytes +
           this->fields * kFieldBytes +
           (this->handlers.held_bytes ? this->handlers.held_bytes() : 0);
  }
  bool CountHeld() { return this->owner->CountHeld(*this); }
  /// Ends the call from inside a callback of libcurl.
  std::size_t Fail(std::string_view why) {
    this->failure = why;
    return 0;
  }

  static constexpr std::size_t kFieldBytes =
      sizeof(std::pair<std::string, std::string>) + 4 * sizeof(void*);

  ~Transfer() {
    curl_easy_cleanup(this->easy);
    curl_slist_free_all(this->headers);
  }
};

namespace {

// A connection whose data stays unacknowledged for this long fails, instead of
// after the kernel's default of many minutes on an unresponsive network path.
constexpr int kUserTimeoutMillis = 5000;
// NOLINTBEGIN(google-runtime-int): libcurl's options are long.
constexpr long kKeepaliveIdleSeconds = 5;
constexpr long kKeepaliveProbeSeconds = 2;
// Lower ones are interim: another head follows.
constexpr long kFirstFinalStatus = 200;
/// Most bytes, and number, of the fields of a response, with interim ones and
/// trailers.
constexpr std::size_t kMaxFieldBytes = 64UL * 1024;
constexpr std::size_t kMaxFields = 1000;
/// When there is no room, this part of all is freed at once.
constexpr std::size_t kFreedDivisor = 16;
constexpr Duration kShortageLogPeriod = std::chrono::seconds(1);
constexpr char kTooLong[] = "the response is longer than its limit";
constexpr char kNoMemory[] =
    "no memory for the rest of the response, which held most for longest";
constexpr char kCutHead[] = "the connection closed inside the response's head";

int SetUserTimeout(void* /*owner*/, curl_socket_t socket,
                   curlsocktype /*purpose*/) {
  const int timeout = kUserTimeoutMillis;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  return CURL_SOCKOPT_OK;
}

long StatusOf(CURL* easy) {
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

bool IsEmptyLine(std::string_view line) {
  return line == "\r\n" || line == "\n";
}

template <typename Owner>
std::size_t OnHeader(char* bytes, std::size_t size, std::size_t count,
                     void* owner) {
  auto* transfer = static_cast<Owner*>(owner);
  const std::string_view line(bytes, size * count);
  transfer->field_bytes += line.size();
  ++transfer->fields;
  if (transfer->field_bytes > kMaxFieldBytes || transfer->fields > kMaxFields) {
    return transfer->Fail(kTooLong);
  }
  if (IsEmptyLine(line) && StatusOf(transfer->easy) >= kFirstFinalStatus) {
    transfer->has_head = true;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return line.size();
  const std::string_view value = line.substr(colon + 1);
  transfer->outcome
      .headers[absl::AsciiStrToLower(absl::string_view(line.data(), colon))] =
      std::string(absl::StripAsciiWhitespace(
          absl::string_view(value.data(), value.size())));
  return line.size();
}

template <typename Owner>
std::size_t OnBody(char* bytes, std::size_t size, std::size_t count,
                   void* owner) {
  auto* transfer = static_cast<Owner*>(owner);
  const std::string_view data(bytes, size * count);
  if (transfer->cancelled || !transfer->failure.empty()) return 0;
  if (!transfer->handlers.on_data || StatusOf(transfer->easy) / 100 != 2) {
    std::string& body = transfer->outcome.body;
    if (body.size() + data.size() > transfer->call.max_body_bytes) {
      return transfer->Fail(kTooLong);
    }
    body.append(data);
  } else {
    transfer->handlers.on_data(data);
  }
  if (transfer->cancelled) return 0;
  return transfer->CountHeld() ? data.size() : 0;
}

/// libcurl reports success for a connection that closes between two lines of a
/// response's head, so that success alone is no answer.
CallEnd EndOf(CURLcode code, bool has_head, bool sent) {
  if (code == CURLE_OK && has_head) return CallEnd::kAnswered;
  if (!sent) return CallEnd::kNotConnected;
  if (code == CURLE_OPERATION_TIMEDOUT) return CallEnd::kTimedOut;
  return CallEnd::kBroken;
}

bool MayHaveSent(CURL* easy) {
  curl_off_t pretransfer = 0;
  curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
  long request_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return pretransfer > 0 || request_bytes > 0;
}

long Millis(Duration length) {
  return static_cast<long>(length.count() / 1000);
}

template <typename Owner>
void Configure(Owner& transfer) {
  CURL* easy = transfer.easy;
  const HttpCall& call = transfer.call;
  for (const auto& [name, value] : call.headers) {
    transfer.headers =
        curl_slist_append(transfer.headers, (name + ": " + value).c_str());
  }
  // Without this libcurl waits up to a second for "100 Continue".
  transfer.headers = curl_slist_append(transfer.headers, "Expect:");
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  // Sends the path as the user of this client wrote it.
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepaliveProbeSeconds);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, SetUserTimeout);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   Millis(call.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, Millis(call.total_timeout));
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader<Owner>);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody<Owner>);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  if (call.reuse == Reuse::kNever) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  }
}

// NOLINTEND(google-runtime-int)
}  // namespace

HttpClient::HttpClient(EventLoop& loop, std::size_t answer_bytes)
    : loop(loop), answers(answer_bytes) {
  loop.SetTransfersHook([this] { this->CollectFinished(); });
}

HttpClient::~HttpClient() {
  while (!this->transfers.empty()) this->Remove(this->transfers.begin()->first);
  this->loop.SetTransfersHook(nullptr);
}

CallId HttpClient::Start(HttpCall call, CallHandlers handlers) {
  assert(handlers.on_done && "a call must have an on_done callback");
  auto transfer = std::make_unique<Transfer>();
  const CallId id = ++this->last_call;
  transfer->id = id;
  transfer->easy = curl_easy_init();
  transfer->call = std::move(call);
  transfer->handlers = std::move(handlers);
  transfer->owner = this;
  transfer->lease = resources::Lease(this->answers);
  Configure(*transfer);
  CURL* easy = transfer->easy;
  this->transfers.emplace(id, std::move(transfer));
  const CURLMcode added = curl_multi_add_handle(this->loop.MultiHandle(), easy);
  // libcurl accepts no new transfer inside its callbacks. When data of a stream
  // causes a stage to be replaced, its call starts there; it would be neither
  // sent nor ended, so it is added after the callback.
  if (added == CURLM_RECURSIVE_API_CALL) {
    this->loop.Post([this, id] { this->Add(id); });
  }
  return id;
}

void HttpClient::Add(CallId id) {
  const auto found = this->transfers.find(id);
  if (found == this->transfers.end()) return;
  curl_multi_add_handle(this->loop.MultiHandle(), found->second->easy);
}

void HttpClient::Cancel(CallId id) {
  const auto found = this->transfers.find(id);
  if (found == this->transfers.end()) return;
  found->second->cancelled = true;
  this->loop.Post([this, id] { this->Remove(id); });
}

bool HttpClient::CountHeld(Transfer& transfer) {
  const std::size_t before = transfer.lease.Amount();
  const std::size_t held = transfer.HeldBytes();
  // A receiver that keeps no more than before makes progress.
  if (held <= before || before == 0) transfer.holds_since = this->loop.Now();
  transfer.lease.Resize(held);
  this->KeepWithinAnswers();
  return transfer.failure.empty();
}

void HttpClient::KeepWithinAnswers() {
  if (this->answers.Used() <= this->answers.Capacity()) return;
  const std::size_t wanted =
      this->answers.Capacity() - this->answers.Capacity() / kFreedDivisor;
  const TimePoint now = this->loop.Now();
  std::vector<resources::Holding> holdings;
  for (const auto& [id, transfer] : this->transfers) {
    if (transfer->lease.Amount() == 0) continue;
    holdings.push_back({static_cast<std::size_t>(id), transfer->lease.Amount(),
                        now - transfer->holds_since});
  }
  for (const std::size_t id : resources::ChooseEvictions(
           std::move(holdings), this->answers.Used() - wanted)) {
    this->EndForMemory(*this->transfers.at(id));
  }
  if (now - this->shortage_logged < kShortageLogPeriod) return;
  this->shortage_logged = now;
  std::fprintf(stderr,
               "no memory for answers: %llu calls that held most were ended "
               "so far; %zu of %zu bytes are in use\n",
               static_cast<unsigned long long>(this->evicted),
               this->answers.Used(), this->answers.Capacity());
}

void HttpClient::EndForMemory(Transfer& transfer) {
  ++this->evicted;
  transfer.failure = kNoMemory;
  std::string().swap(transfer.outcome.body);
  transfer.lease.Resize(0);
  // libcurl forbids removing a handle inside its callbacks.
  this->loop.Post([this, id = transfer.id] {
    this->Finish(id, static_cast<int>(CURLE_WRITE_ERROR));
  });
}

void HttpClient::CollectFinished() {
  std::vector<std::pair<CallId, int>> finished;
  int queued = 0;
  while (const CURLMsg* message =
             curl_multi_info_read(this->loop.MultiHandle(), &queued)) {
    if (message->msg != CURLMSG_DONE) continue;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    finished.emplace_back(transfer->id, message->data.result);
  }
  for (const auto& [id, code] : finished) this->Finish(id, code);
}

void HttpClient::Finish(CallId id, int code) {
  const auto found = this->transfers.find(id);
  if (found == this->transfers.end()) return;
  if (found->second->cancelled) return;
  Transfer& transfer = *found->second;
  const auto curl_code = static_cast<CURLcode>(code);
  HttpOutcome outcome = std::move(transfer.outcome);
  outcome.sent = MayHaveSent(transfer.easy);
  outcome.end = EndOf(curl_code, transfer.has_head, outcome.sent);
  if (!transfer.failure.empty() && outcome.end == CallEnd::kAnswered) {
    outcome.end = CallEnd::kBroken;
  }
  if (transfer.has_head) {
    outcome.status = static_cast<int>(StatusOf(transfer.easy));
  }
  if (outcome.end != CallEnd::kAnswered) {
    outcome.error =
        curl_code == CURLE_OK ? kCutHead : curl_easy_strerror(curl_code);
  }
  if (!transfer.failure.empty()) outcome.error = transfer.failure;
  const auto on_done = std::move(transfer.handlers.on_done);
  this->Remove(id);
  on_done(std::move(outcome));
}

void HttpClient::Remove(CallId id) {
  const auto found = this->transfers.find(id);
  if (found == this->transfers.end()) return;
  curl_multi_remove_handle(this->loop.MultiHandle(), found->second->easy);
  this->transfers.erase(found);
}

}  // namespace toucanwharf::transport
