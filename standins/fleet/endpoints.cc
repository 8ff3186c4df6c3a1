#include "standins/fleet/endpoints.h"

#include <cstdio>
#include <stdexcept>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace toucanwharf::standins::fleet {
namespace {

using Json = nlohmann::json;

constexpr int kAccepted = 202;
constexpr Duration kSecondAnswerDelay = std::chrono::milliseconds(60);
constexpr const char* kPartialEvent = "id: 10\nda";
/// Maximum number of layers that an engine of the fleet can hold.
constexpr std::uint32_t kMaxLayers = 6;

http::ResponseHead HeadOf(int status, const http::Request& request) {
  http::ResponseHead head;
  head.status = status;
  const auto id = request.headers.Find("X-Request-Id");
  if (id) head.headers.Add("X-Request-Id", std::string(*id));
  return head;
}

/// Returns whether the prompt of \p request has the part that crashes engines.
bool HasCrashingPart(const http::Request& request) {
  const auto parts = request.headers.Find("X-Prompt-Prefix");
  if (!parts) return false;
  const std::string part = absl::StrCat(Endpoints::kCrashingPart, ":");
  const std::size_t found = parts->find(part);
  return found != std::string::npos &&
         parts->find(',', found) != std::string::npos;
}

bool Crashes(const http::Request& request) {
  const std::string_view content = Endpoints::kCrashingContent;
  return request.body.Text() == content || request.target.ends_with(content) ||
         HasCrashingPart(request);
}

void AddLimit(http::ResponseHead& head,
              const std::optional<double>& per_second) {
  if (!per_second) return;
  head.headers.Add("Server-Limit", absl::StrCat(*per_second));
}

std::string EventText(int number) {
  return absl::StrCat("id: ", number, "\ndata: piece ", number, "\n\n");
}

/// Bytes of an answer that stops, under what a router takes of an event.
constexpr std::size_t kUnendedBytes = 250UL * 1000;
/// Short fields of a head, whose bytes a router takes.
constexpr std::size_t kShortFields = 12'000;

std::string LongReport() {
  constexpr std::size_t kMembers = 1'000'000;
  std::string text = R"({"seq":1,"stalled":[{})";
  for (std::size_t i = 1; i < kMembers; ++i) text += ",{}";
  return text + "]}";
}

void StopInsideAnswer(const std::shared_ptr<http::Exchange>& exchange,
                      bool long_head) {
  http::ResponseHead head = HeadOf(http::kOk, exchange->Received());
  head.headers.Add("Content-Type", "text/event-stream");
  for (std::size_t i = 0; long_head && i < kShortFields; ++i) {
    head.headers.Add("a", "");
  }
  exchange->Begin(head);
  if (!long_head) exchange->Write(std::string(kUnendedBytes, 'x'));
}

}  // namespace

Endpoints::Endpoints(http::Loop& event_loop, Store& registry,
                     std::uint32_t layer_count)
    : loop(event_loop), store(registry), layers(layer_count) {}

void Endpoints::Add(const EndpointSpec& spec) {
  Endpoint endpoint;
  endpoint.spec = spec;
  endpoint.start_time = ++this->starts;
  auto server = http::Server::Listen(
      this->loop, spec.address,
      [this, id = spec.id](std::shared_ptr<http::Exchange> exchange) {
        this->Handle(id, std::move(exchange));
      });
  if (!server) throw std::runtime_error(spec.id + " cannot listen");
  endpoint.server = std::move(server.value());
  this->Register(endpoint);
  this->endpoints[spec.id] = std::move(endpoint);
}

void Endpoints::Register(const Endpoint& endpoint) {
  Json entry = {{"service", endpoint.spec.service},
                {"addr", endpoint.spec.address},
                {"zone", endpoint.spec.failure_domain},
                {"version", "v1"},
                {"slots", 8},
                {"state", endpoint.state},
                {"cold_ms", 0},
                {"born", endpoint.start_time},
                {"seq", endpoint.sequence}};
  if (!endpoint.spec.kind.empty()) {
    entry["kind"] = endpoint.spec.kind;
    entry["layers"] = {{"from", endpoint.layers.begin},
                       {"target", endpoint.layers.end}};
  }
  this->store.Put("servers", endpoint.spec.id, entry);
}

void Endpoints::SetFault(const std::string& id, EndpointFault fault) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end() || found->second.silent) return;
  found->second.fault = fault;
  if (fault == EndpointFault::kStopped) return;
  for (auto& exchange : std::exchange(found->second.unread, {})) {
    this->Handle(id, std::move(exchange));
  }
}

void Endpoints::SetAnswerFault(const std::string& id, AnswerFault fault) {
  const auto found = this->endpoints.find(id);
  if (found != this->endpoints.end()) found->second.answer_fault = fault;
}

void Endpoints::SetLimit(const std::string& id,
                         std::optional<double> per_second) {
  const auto found = this->endpoints.find(id);
  if (found != this->endpoints.end()) found->second.limit = per_second;
}

void Endpoints::SetShedding(const std::string& id,
                            std::optional<std::string> retry_after) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end()) return;
  found->second.shedding = std::move(retry_after);
}

void Endpoints::SetLeaving(const std::string& id) {
  const auto found = this->endpoints.find(id);
  if (found != this->endpoints.end()) found->second.leaving = true;
}

void Endpoints::AddNotices(http::ResponseHead& head, const Endpoint& endpoint) {
  AddLimit(head, endpoint.limit);
  if (!endpoint.leaving) return;
  head.headers.Add("Server-Leaving", "1");
  this->notices[endpoint.spec.id].push_back(this->loop.Now());
}

bool Endpoints::Shed(const Endpoint& endpoint, http::Exchange& exchange) {
  if (!endpoint.shedding) return false;
  this->notices[endpoint.spec.id].push_back(this->loop.Now());
  http::ResponseHead head = HeadOf(http::kUnavailable, exchange.Received());
  head.headers.Add("X-Not-Run", "1");
  head.headers.Add("Retry-After", *endpoint.shedding);
  exchange.Respond(head, "turned away\n");
  return true;
}

void Endpoints::Drain(const std::string& id) {
  Endpoint& endpoint = this->endpoints.at(id);
  endpoint.state = "draining";
  this->Register(endpoint);
}

void Endpoints::Crash(const std::string& id) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end()) return;
  const auto running = this->streams;
  for (const auto& stream : running) {
    if (stream->endpoint != id) continue;
    if (stream->unframed && stream->begun) {
      if (this->cut_at == CutAt::kInsideEvent) {
        stream->exchange->Write(kPartialEvent);
      }
      stream->exchange->End();
    } else {
      stream->exchange->Abort();
    }
    this->streams.erase(stream);
  }
  this->endpoints.erase(found);
}

void Endpoints::CrashAndRestart(const std::string& id) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end() || found->second.silent) return;
  const EndpointSpec spec = found->second.spec;
  this->Crash(id);
  this->RestartLater(id, spec);
}

void Endpoints::FallSilent(const std::string& id) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end()) return;
  Endpoint& endpoint = found->second;
  if (endpoint.silent) return;
  endpoint.silent = true;
  endpoint.fault = EndpointFault::kUnresponsive;
  std::erase_if(this->streams, [&](const auto& stream) {
    if (stream->endpoint != id) return false;
    endpoint.unanswered.push_back(stream->exchange);
    return true;
  });
  this->RestartLater(id, endpoint.spec);
}

void Endpoints::RestartLater(const std::string& id, EndpointSpec spec) {
  spec.id = absl::StrCat("restarted-", ++this->restarts);
  this->loop.After(kRestartDelay, [this, spec, id] {
    this->store.Remove("servers", id);
    this->endpoints.erase(id);
    this->Add(spec);
  });
}

void Endpoints::CrashAfter(const std::string& id,
                           const http::Request& request) {
  if (!Crashes(request)) return;
  this->loop.After(this->crash_delay,
                   [this, id] { this->CrashAndRestart(id); });
}

void Endpoints::CrashForStream(const std::shared_ptr<Stream>& stream) {
  const bool at_last = this->crash_form == CrashForm::kAtLastEngine;
  const std::string id =
      at_last ? stream->path.back().endpoint : stream->endpoint;
  const bool silent = this->crash_form == CrashForm::kSilent;
  this->loop.After(this->crash_delay, [this, id, silent] {
    silent ? this->FallSilent(id) : this->CrashAndRestart(id);
  });
}

Endpoints::Endpoint* Endpoints::FindByAddress(const std::string& address) {
  for (auto& [id, endpoint] : this->endpoints) {
    if (endpoint.spec.address == address) return &endpoint;
  }
  return nullptr;
}

void Endpoints::RecordArrival(const Endpoint& endpoint,
                              const http::Request& request) {
  if (request.target.starts_with("/toucanwharf/")) return;
  this->arrivals.push_back({endpoint.spec.service, endpoint.spec.id,
                            std::string(request.headers.Get("X-Request-Id")),
                            this->loop.Now()});
}

void Endpoints::Handle(const std::string& id,
                       std::shared_ptr<http::Exchange> exchange) {
  Endpoint& endpoint = this->endpoints.at(id);
  if (endpoint.fault == EndpointFault::kStopped) {
    endpoint.unread.push_back(std::move(exchange));
    return;
  }
  this->RecordArrival(endpoint, exchange->Received());
  if (endpoint.fault == EndpointFault::kUnresponsive) {
    endpoint.unanswered.push_back(std::move(exchange));
    return;
  }
  const http::Request& request = exchange->Received();
  if (request.target == "/toucanwharf/report") {
    this->HandleReport(endpoint, *exchange);
    return;
  }
  const auto expected = request.headers.Find("X-Expect-Instance");
  const bool misdirected = endpoint.fault == EndpointFault::kMisdirects;
  if (misdirected || (expected && *expected != id)) {
    http::ResponseHead head = HeadOf(http::kMisdirected, request);
    AddLimit(head, endpoint.limit);
    exchange->Respond(head, "");
    return;
  }
  if (request.target == "/toucanwharf/order") {
    this->HandleOrder(endpoint, *exchange);
    return;
  }
  if (this->Shed(endpoint, *exchange)) return;
  if (endpoint.fault == EndpointFault::kFull) {
    http::ResponseHead head = HeadOf(http::kUnavailable, request);
    head.headers.Add("X-Not-Run", "1");
    head.headers.Add("At-Server", endpoint.spec.address);
    exchange->Respond(head, "");
    return;
  }
  const bool fails = endpoint.fault == EndpointFault::kFailsWithoutEnd;
  if (fails || endpoint.fault == EndpointFault::kSendsWithoutEnd) {
    this->runs.push_back(this->RunOf(endpoint, request));
    http::ResponseHead head =
        HeadOf(fails ? http::kServerError : http::kOk, request);
    head.ends_with_connection = this->unframed;
    exchange->Begin(head);
    this->SendWithoutEnd(exchange);
    return;
  }
  const bool long_head = endpoint.fault == EndpointFault::kSendsLongHead;
  if (long_head || endpoint.fault == EndpointFault::kStopsInsideAnswer) {
    this->runs.push_back(this->RunOf(endpoint, request));
    StopInsideAnswer(exchange, long_head);
    return;
  }
  if (endpoint.answer_fault != AnswerFault::kNone) {
    this->ServeFaulty(endpoint, exchange);
    return;
  }
  const bool resumes = request.headers.Find("Last-Event-Id").has_value();
  if (endpoint.fault == EndpointFault::kRejectsResumed && resumes) {
    exchange->Respond(HeadOf(http::kNotFound, request), "no such answer\n");
    return;
  }
  if (endpoint.fault != EndpointFault::kSlow) {
    this->Serve(endpoint, std::move(exchange));
    return;
  }
  this->loop.After(kSlowDelay, [this, id, exchange] {
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end() || exchange->IsDisconnected()) return;
    this->Serve(found->second, exchange);
  });
}

std::string Endpoints::IdAt(const std::string& address) {
  const Endpoint* endpoint = this->FindByAddress(address);
  return endpoint == nullptr ? "" : endpoint->spec.id;
}

void Endpoints::HandleReport(const Endpoint& endpoint,
                             http::Exchange& exchange) {
  if (endpoint.fault == EndpointFault::kReportsLongList) {
    exchange.Respond(HeadOf(http::kOk, exchange.Received()), LongReport());
    return;
  }
  Json stalled = Json::array();
  for (const auto& stream : this->streams) {
    if (stream->endpoint != endpoint.spec.id) continue;
    const std::string address = this->UnresponsiveAddress(stream->path);
    if (address.empty() || !this->report_stalls) continue;
    stalled.push_back({{"id", stream->request_id}, {"addr", address}});
  }
  const Json body = {
      {"kind", endpoint.spec.kind},
      {"born", endpoint.start_time},
      {"layers",
       {{"from", endpoint.layers.begin}, {"target", endpoint.layers.end}}},
      {"busy", false},
      {"seq", endpoint.sequence},
      {"pace", 1.0},
      {"stalled", stalled}};
  exchange.Respond(HeadOf(http::kOk, exchange.Received()), body.dump());
}

void Endpoints::HandleOrder(Endpoint& endpoint, http::Exchange& exchange) {
  ++this->orders;
  const http::Request& request = exchange.Received();
  const Json body = Json::parse(request.body.Text(), nullptr, false);
  if (body.value("op", "") == "repath") {
    ++this->reroutes;
    const bool refuses = endpoint.fault == EndpointFault::kRefusesReroute;
    for (const auto& stream : this->streams) {
      if (refuses || stream->request_id != body.value("id", "")) continue;
      stream->path = this->ParsePath(body.value("path", ""));
      this->CheckCover(stream->path);
      exchange.Respond(HeadOf(kAccepted, request), "");
      return;
    }
    exchange.Respond(HeadOf(http::kConflict, request), "");
    return;
  }
  if (body.value("expected", endpoint.sequence) != endpoint.sequence) {
    exchange.Respond(HeadOf(http::kConflict, request), "");
    return;
  }
  endpoint.layers = {body.at("from").get<std::uint32_t>(),
                     body.at("target").get<std::uint32_t>()};
  if (endpoint.layers.Count() > kMaxLayers) {
    this->violations.push_back(endpoint.spec.id + " was ordered too much");
  }
  ++endpoint.sequence;
  this->Register(endpoint);
  exchange.Respond(HeadOf(kAccepted, request), "");
}

Run Endpoints::RunOf(const Endpoint& endpoint, const http::Request& request) {
  Run run;
  run.endpoint = endpoint.spec.id;
  run.request_id = std::string(request.headers.Get("X-Request-Id"));
  run.target = request.target;
  run.body = request.body.Text();
  run.customer = std::string(request.headers.Get("X-Tenant"));
  run.headers = request.headers;
  run.at = this->loop.Now();
  return run;
}

void Endpoints::Serve(Endpoint& endpoint,
                      std::shared_ptr<http::Exchange> exchange) {
  const http::Request& request = exchange->Received();
  if (endpoint.spec.kind.empty()) {
    this->runs.push_back(this->RunOf(endpoint, request));
    this->CrashAfter(endpoint.spec.id, request);
    this->ServePlain(endpoint, exchange);
    return;
  }
  this->ServeStream(endpoint, std::move(exchange));
}

void Endpoints::ServePlain(Endpoint& endpoint,
                           const std::shared_ptr<http::Exchange>& shared) {
  http::Exchange& exchange = *shared;
  const http::Request& request = exchange.Received();
  if (Crashes(request)) {
    endpoint.unanswered.push_back(shared);
    return;
  }
  if (endpoint.fault == EndpointFault::kLosesAnswers) {
    exchange.Abort();
    return;
  }
  const bool fails = endpoint.fault == EndpointFault::kFails;
  http::ResponseHead head =
      HeadOf(fails ? http::kServerError : http::kOk, request);
  if (endpoint.fault == EndpointFault::kSendsForeignAnswer) {
    head.headers.Set("X-Request-Id", "of-another-request");
  }
  head.headers.Add("X-Server-Stamp", "stamp-of-" + endpoint.spec.id);
  this->AddNotices(head, endpoint);
  const std::string body = PlainBody(
      endpoint.spec.id, std::string(request.headers.Get("X-Request-Id")),
      request.target);
  if (!this->unframed) {
    exchange.Respond(head, body);
    return;
  }
  this->SendPlainUnframed(endpoint, shared, std::move(head), body);
}

void Endpoints::SendPlainUnframed(
    const Endpoint& endpoint, const std::shared_ptr<http::Exchange>& exchange,
    http::ResponseHead head, const std::string& body) {
  head.ends_with_connection = true;
  exchange->Begin(head);
  if (endpoint.fault == EndpointFault::kCrashesInAnswer) {
    exchange->Write(body.substr(0, body.size() / 2));
    exchange->End();
    this->loop.Post(
        [this, id = endpoint.spec.id] { this->CrashAndRestart(id); });
    return;
  }
  exchange->Write(body);
  const bool late = endpoint.fault == EndpointFault::kAnswersTwiceLate;
  if (!late && endpoint.fault != EndpointFault::kAnswersTwice) {
    exchange->End();
    return;
  }
  std::string second = "HTTP/1.1 200 OK\r\n";
  for (const auto& [name, value] : head.headers) {
    absl::StrAppend(&second, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&second, "\r\n", body);
  this->loop.After(late ? kSecondAnswerDelay : Duration(0), [exchange, second] {
    exchange->Write(second);
    exchange->End();
  });
}

std::string Endpoints::PlainBody(const std::string& id,
                                 const std::string& request_id,
                                 const std::string& target) {
  std::string body = "ran at " + id;
  if (target.ends_with(Endpoints::kOwnLongAnswer)) {
    while (body.size() < Endpoints::kOwnLongAnswerBytes) {
      absl::StrAppend(&body, " ", body.size(), " of ", request_id);
    }
  } else if (target.ends_with(Endpoints::kLongAnswer)) {
    body.resize(Endpoints::kLongAnswerBytes, ' ');
  } else if (target.ends_with(Endpoints::kMediumAnswer)) {
    body.resize(Endpoints::kMediumAnswerBytes, ' ');
  }
  return body;
}

std::string Endpoints::EventsText(int first) {
  std::string text;
  for (int number = first; number <= kEvents; ++number) {
    text += EventText(number);
  }
  return text;
}

void Endpoints::ServeFaulty(const Endpoint& endpoint,
                            const std::shared_ptr<http::Exchange>& exchange) {
  const http::Request& request = exchange->Received();
  Run run = this->RunOf(endpoint, request);
  http::ResponseHead head = HeadOf(http::kOk, request);
  head.headers.Add("X-Server-Stamp", "stamp-of-" + endpoint.spec.id);
  std::string body =
      PlainBody(endpoint.spec.id, run.request_id, request.target);
  if (!endpoint.spec.kind.empty()) {
    int last = 0;
    (void)absl::SimpleAtoi(std::string(request.headers.Get("Last-Event-Id")),
                           &last);
    run.first_event = last + 1;
    head.headers.Add("Content-Type", "text/event-stream");
    body = EventsText(run.first_event);
  }
  this->runs.push_back(std::move(run));
  const AnswerFault fault = endpoint.answer_fault;
  SendFaulty(this->loop, fault, exchange, std::move(head), body);
  if (fault != AnswerFault::kUnframedCutByCrash) return;
  this->loop.Post([this, id = endpoint.spec.id] { this->CrashAndRestart(id); });
}

std::vector<Endpoints::Stage> Endpoints::ParsePath(
    const std::string& text) const {
  std::vector<Stage> path;
  for (const absl::string_view text_part : absl::StrSplit(text, ',')) {
    const std::vector<std::string> fields = absl::StrSplit(text_part, '=');
    if (fields.size() != 2) continue;
    const std::vector<std::string> bounds = absl::StrSplit(fields[1], '-');
    Stage stage;
    stage.address = fields[0];
    if (bounds.size() == 2) {
      (void)absl::SimpleAtoi(bounds[0], &stage.layers.begin);
      (void)absl::SimpleAtoi(bounds[1], &stage.layers.end);
    }
    for (const auto& [id, endpoint] : this->endpoints) {
      if (endpoint.spec.address == stage.address) stage.endpoint = id;
    }
    path.push_back(std::move(stage));
  }
  return path;
}

void Endpoints::CheckCover(const std::vector<Stage>& path) {
  std::vector<pipeline::LayerRange> ranges;
  for (const Stage& stage : path) ranges.push_back(stage.layers);
  if (pipeline::IsExactCover(ranges, this->layers)) return;
  this->violations.emplace_back("a path is no exact cover");
}

std::string Endpoints::UnresponsiveAddress(const std::vector<Stage>& path) {
  for (const Stage& stage : path) {
    const Endpoint* endpoint = this->FindByAddress(stage.address);
    const bool silent = endpoint == nullptr ||
                        endpoint->spec.id != stage.endpoint ||
                        endpoint->fault == EndpointFault::kUnresponsive ||
                        endpoint->fault == EndpointFault::kStopped;
    if (silent) return stage.address;
  }
  return {};
}

void Endpoints::ServeStream(Endpoint& endpoint,
                            std::shared_ptr<http::Exchange> exchange) {
  const http::Request& request = exchange->Received();
  const auto path =
      this->ParsePath(std::string(request.headers.Get("X-Hop-Count")));
  for (const Stage& stage : path) {
    const Endpoint* engine = this->FindByAddress(stage.address);
    const bool holds = engine != nullptr &&
                       engine->layers.begin <= stage.layers.begin &&
                       engine->layers.end >= stage.layers.end;
    if (holds) continue;
    http::ResponseHead head = HeadOf(http::kMisdirected, request);
    head.headers.Add("X-Not-Run", "1");
    head.headers.Add("At-Server", stage.address);
    exchange->Respond(head, "");
    return;
  }
  this->CheckCover(path);
  int last = 0;
  if (endpoint.fault != EndpointFault::kIgnoresLastEvent) {
    (void)absl::SimpleAtoi(std::string(request.headers.Get("Last-Event-Id")),
                           &last);
  }
  Run run = this->RunOf(endpoint, request);
  run.first_event = last + 1;
  this->runs.push_back(run);
  if (exchange->IsDisconnected()) return;
  http::ResponseHead head = HeadOf(http::kOk, request);
  head.headers.Add("Content-Type", "text/event-stream");
  head.headers.Add("X-Server-Stamp", "stamp-of-" + endpoint.spec.id);
  this->AddNotices(head, endpoint);
  head.ends_with_connection = this->unframed;
  auto stream =
      std::make_shared<Stream>(Stream{endpoint.spec.id, run.request_id, path,
                                      exchange, last + 1, this->unframed});
  this->streams.insert(stream);
  exchange->OnDisconnect([this, weak = std::weak_ptr<Stream>(stream)] {
    if (const auto gone = weak.lock()) this->streams.erase(gone);
  });
  const bool before_head = this->crash_form == CrashForm::kBeforeHead ||
                           this->crash_form == CrashForm::kAtLastEngine;
  if (before_head && Crashes(request)) {
    this->CrashForStream(stream);
    return;
  }
  this->BeginStream(stream, head);
}

void Endpoints::BeginStream(const std::shared_ptr<Stream>& stream,
                            const http::ResponseHead& head) {
  stream->begun = true;
  stream->exchange->Begin(head);
  if (this->begin_delay == Duration(0)) {
    this->BeginWriting(stream);
    return;
  }
  this->loop.After(this->begin_delay,
                   [this, stream] { this->BeginWriting(stream); });
}

void Endpoints::BeginWriting(const std::shared_ptr<Stream>& stream) {
  if (!this->streams.contains(stream)) return;
  const http::Request& request = stream->exchange->Received();
  if (Crashes(request)) this->CrashForStream(stream);
  const bool has_events =
      this->cut_at != CutAt::kBeforeFirstEvent || !Crashes(request);
  if (has_events) this->SendNextEvent(stream);
}

void Endpoints::SendWithoutEnd(
    const std::shared_ptr<http::Exchange>& exchange) {
  constexpr std::size_t kBytes = 256UL * 1024;
  constexpr Duration kPause = std::chrono::milliseconds(1);
  if (exchange->IsDisconnected()) return;
  // What the router doesn't read is not piled up here.
  if (exchange->UnsentBytes() < kBytes) {
    exchange->Write(std::string(kBytes, 'x'));
  }
  this->loop.After(kPause,
                   [this, exchange] { this->SendWithoutEnd(exchange); });
}

void Endpoints::AwaitPath(const std::shared_ptr<Stream>& stream) {
  stream->stalled += this->event_gap;
  const bool running =
      this->endpoints.at(stream->endpoint).fault != EndpointFault::kStopped;
  if (running && stream->stalled > this->stall_limit) {
    stream->exchange->End();
    this->streams.erase(stream);
    return;
  }
  this->loop.After(this->event_gap,
                   [this, stream] { this->SendNextEvent(stream); });
}

void Endpoints::SendNextEvent(const std::shared_ptr<Stream>& stream) {
  if (!this->streams.contains(stream)) return;
  const auto send_next = [this, stream] { this->SendNextEvent(stream); };
  if (!this->UnresponsiveAddress(stream->path).empty()) {
    this->AwaitPath(stream);
    return;
  }
  stream->stalled = Duration(0);
  const Endpoint& endpoint = this->endpoints.at(stream->endpoint);
  constexpr int kTruncatedEvent = kEvents / 2;
  if (endpoint.fault == EndpointFault::kTruncatesEvent &&
      stream->next == kTruncatedEvent) {
    stream->exchange->Write(kPartialEvent);
    stream->exchange->Abort();
    this->streams.erase(stream);
    return;
  }
  // A run that goes on after the last event has nothing to send.
  if (stream->next <= kEvents) {
    stream->exchange->Write(EventText(stream->next));
  }
  if (++stream->next > kEvents) {
    this->EndStream(stream);
    return;
  }
  this->loop.After(this->event_gap, send_next);
}

void Endpoints::EndStream(const std::shared_ptr<Stream>& stream) {
  stream->exchange->End();
  this->streams.erase(stream);
  const EndpointFault fault = this->endpoints.at(stream->endpoint).fault;
  if (fault == EndpointFault::kCrashesAfterAnswer) {
    this->loop.Post([this, id = stream->endpoint] { this->Crash(id); });
  }
}

}  // namespace toucanwharf::standins::fleet
