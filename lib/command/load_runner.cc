#include "load_runner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "expected_answer.h"
#include "toucanwharf/command/http.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HttpOutcome;

constexpr int kOk = 200;
constexpr int kFirstErrorStatus = 400;
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(250);
constexpr Duration kProgressPeriod = std::chrono::seconds(1);
constexpr Duration kServiceTimeout = std::chrono::seconds(30);

/// Returns the addresses in a `/v1/entries` response.
std::vector<std::string> AddressesOf(const json& advice) {
  std::vector<std::string> addresses;
  const auto entries = advice.find("entries");
  if (entries == advice.end() || !entries->is_array()) return addresses;
  for (const json& line : *entries) {
    const std::string address = line.value("address", "");
    if (!address.empty()) addresses.push_back(address);
  }
  return addresses;
}

}  // namespace

/// One model answer in progress.
struct LoadRunner::Answer {
  AnswerSession session;
  AnswerQuery query;
  std::string key;
  TimePoint planned;
  TimePoint last_byte;
  std::optional<TimePoint> last_token;
  transport::CallId call = 0;
};

LoadRunner::LoadRunner(LoadOptions load_options,
                       std::function<void(const LoadReport&)> progress)
    : options(std::move(load_options)),
      on_progress(std::move(progress)),
      arrivals(this->options.profile, this->options.rate, this->options.seed),
      random(this->options.seed + 1),
      client(this->loop) {}

LoadReport LoadRunner::Run() {
  this->start_time = this->loop.Now();
  for (std::size_t customer = 0;
       customer < this->options.profile.customers.size(); ++customer) {
    this->RefreshAdvice(customer);
  }
  this->ScheduleNext();
  this->AbortIdleCalls();
  this->ReportProgress();
  this->loop.Run();
  this->report.duration = this->loop.Now() - this->start_time;
  return this->report;
}

void LoadRunner::ScheduleNext() {
  const Arrival arrival = this->arrivals.Next();
  if (arrival.offset > this->options.duration) {
    this->all_calls_started = true;
    this->StopIfDone();
    return;
  }
  const Duration passed = this->loop.Now() - this->start_time;
  this->loop.After(std::max(arrival.offset - passed, Duration(0)),
                   [this, arrival] {
                     this->Start(arrival);
                     this->ScheduleNext();
                   });
}

void LoadRunner::Start(const Arrival& arrival) {
  ++this->calls_running;
  if (arrival.to_service) {
    this->StartService(arrival);
    return;
  }
  this->StartAnswer(arrival);
}

void LoadRunner::StartAnswer(const Arrival& arrival) {
  ++this->report.answers;
  const AnswerQuery query{true, this->options.profile.model, arrival.prompt,
                          arrival.max_tokens, arrival.seed};
  const TimePoint planned = this->start_time + arrival.offset;
  auto answer = std::make_shared<Answer>(
      Answer{AnswerSession(query, this->EntriesFor(arrival.customer)), query,
             this->options.profile.customers[arrival.customer].key, planned,
             this->loop.Now(), std::nullopt, 0});
  this->answers.push_back(answer);
  this->Continue(answer);
}

void LoadRunner::Continue(const SharedAnswer& answer) {
  answer->last_byte = this->loop.Now();
  auto call = answer->session.Call(answer->key);
  call.total_timeout = Duration(0);
  transport::CallHandlers handlers;
  handlers.on_data = [this, answer](std::string_view bytes) {
    this->ProcessBytes(*answer, bytes);
  };
  handlers.on_done = [this, answer](const HttpOutcome& outcome) {
    answer->call = 0;
    answer->session.OnEnd(outcome);
    this->EndAnswer(answer);
  };
  answer->call = this->client.Start(std::move(call), std::move(handlers));
}

void LoadRunner::ProcessBytes(Answer& answer, std::string_view bytes) {
  const TimePoint now = this->loop.Now();
  answer.last_byte = now;
  const std::size_t added = answer.session.OnBytes(bytes);
  if (added == 0) return;
  this->report.tokens += added;
  if (answer.last_token) {
    this->report.gaps.push_back(now - *answer.last_token);
  } else {
    this->report.first_token.push_back(now - answer.planned);
  }
  answer.last_token = now;
}

void LoadRunner::EndAnswer(const SharedAnswer& answer) {
  const AnswerSession& session = answer->session;
  if (session.Next().kind != AnswerStep::Kind::kEnd) {
    this->loop.After(kRetryDelay, [this, answer] { this->Continue(answer); });
    return;
  }
  this->report.interruptions += session.Interruptions();
  if (session.Status() == AnswerSession::State::kComplete) {
    ++this->report.whole;
    this->report.totals.push_back(this->loop.Now() - answer->planned);
    if (this->options.catalog) {
      const auto expected =
          ExpectedAnswer(*this->options.catalog, answer->query);
      const bool correct = expected && expected.value() == session.Tokens();
      if (!correct) ++this->report.wrong;
    }
  } else if (session.Status() == AnswerSession::State::kRefused) {
    const std::string& ran = session.Failure().ran;
    ++this->report.refused_by_ran[ran.empty() ? "unsaid" : ran];
  } else {
    ++this->report.broken;
  }
  std::erase(this->answers, answer);
  --this->calls_running;
  this->StopIfDone();
}

void LoadRunner::StartService(const Arrival& arrival) {
  ++this->report.service_calls;
  const LoadProfile& profile = this->options.profile;
  auto call = MakeCall("POST", this->EntriesFor(arrival.customer).front(),
                       "/v1/services/" + profile.service + arrival.path,
                       profile.customers[arrival.customer].key);
  call.headers.emplace_back("Idempotency-Key", NewId());
  call.reuse = transport::Reuse::kNever;
  call.total_timeout = kServiceTimeout;
  const TimePoint planned = this->start_time + arrival.offset;
  const auto on_done = [this, planned](const HttpOutcome& outcome) {
    this->EndService(outcome, planned);
  };
  this->client.Start(std::move(call), {nullptr, on_done});
}

void LoadRunner::EndService(const HttpOutcome& outcome, TimePoint planned) {
  const bool answered = outcome.end == CallEnd::kAnswered;
  if (answered && outcome.status < kFirstErrorStatus) {
    ++this->report.service_done;
    this->report.service_totals.push_back(this->loop.Now() - planned);
  } else if (answered) {
    const json body = json::parse(outcome.body, nullptr, false);
    const std::string ran =
        body.is_object() ? body.value("ran", "unsaid") : "unsaid";
    ++this->report.refused_by_ran[ran];
  } else {
    ++this->report.broken;
  }
  --this->calls_running;
  this->StopIfDone();
}

void LoadRunner::RefreshAdvice(std::size_t customer) {
  Advice& current = this->advice[customer];
  if (current.request_in_flight) return;
  current.request_in_flight = true;
  const auto& candidates =
      current.entries.empty() ? this->options.entries : current.entries;
  const std::string entry = candidates[this->random.Below(candidates.size())];
  auto call = MakeCall("GET", entry, "/v1/entries",
                       this->options.profile.customers[customer].key);
  const auto on_done = [this, customer](const HttpOutcome& outcome) {
    Advice& updated = this->advice[customer];
    updated.request_in_flight = false;
    const json body = json::parse(outcome.body, nullptr, false);
    if (outcome.status != kOk || !body.is_object()) return;
    auto addresses = AddressesOf(body);
    if (addresses.empty()) return;
    updated.entries = std::move(addresses);
    const auto ttl = std::chrono::seconds(body.value("ttl_s", 1));
    updated.valid_until = this->loop.Now() + ttl;
  };
  this->client.Start(std::move(call), {nullptr, on_done});
}

std::vector<std::string> LoadRunner::EntriesFor(std::size_t customer) {
  const Advice& current = this->advice[customer];
  const bool expired = current.valid_until <= this->loop.Now();
  const bool retain = this->options.keep_advice && !current.entries.empty();
  if (expired && !retain) this->RefreshAdvice(customer);
  std::vector<std::string> entries =
      current.entries.empty() ? this->options.entries : current.entries;
  const auto first =
      static_cast<std::ptrdiff_t>(this->random.Below(entries.size()));
  std::rotate(entries.begin(), entries.begin() + first, entries.end());
  // If the advised instances have departed, a caller falls back to its
  // configured entries.
  for (const std::string& entry : this->options.entries) {
    const auto listed = std::find(entries.begin(), entries.end(), entry);
    if (listed == entries.end()) entries.push_back(entry);
  }
  return entries;
}

void LoadRunner::AbortIdleCalls() {
  const std::vector<SharedAnswer> running_answers = this->answers;
  for (const SharedAnswer& answer : running_answers) {
    const bool idle =
        this->loop.Now() - answer->last_byte >= this->options.idle_timeout;
    if (!idle || answer->call == 0) continue;
    this->client.Cancel(answer->call);
    answer->call = 0;
    HttpOutcome outcome;
    outcome.sent = true;
    outcome.error = "no data within the idle timeout";
    answer->session.OnEnd(outcome);
    this->EndAnswer(answer);
  }
  this->loop.After(kIdleCheckPeriod, [this] { this->AbortIdleCalls(); });
}

void LoadRunner::ReportProgress() {
  this->on_progress(this->report);
  this->loop.After(kProgressPeriod, [this] { this->ReportProgress(); });
}

void LoadRunner::StopIfDone() {
  if (this->all_calls_started && this->calls_running == 0) this->loop.Stop();
}

}  // namespace toucanwharf::command
