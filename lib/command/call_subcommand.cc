#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <ostream>
#include <thread>

#include "expected_answer.h"
#include "options.h"
#include "subcommands.h"
#include "toucanwharf/command/answer_session.h"
#include "toucanwharf/command/http.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HttpOutcome;

constexpr int kOk = 200;
constexpr int kFirstErrorStatus = 400;
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

/// Returns the advised entry addresses followed by those of --entry; with
/// --direct only those of --entry.
std::vector<std::string> EntryAddresses(const Arguments& arguments) {
  const std::vector<std::string> configured = arguments.List("entry");
  std::vector<std::string> addresses;
  if (arguments.Flag("direct")) return configured;
  for (const std::string& entry : configured) {
    const HttpOutcome outcome =
        Fetch(MakeCall("GET", entry, "/v1/entries", arguments.Text("key")));
    const json advice = json::parse(outcome.body, nullptr, false);
    if (outcome.status != kOk || !advice.is_object()) continue;
    for (const json& line : advice.value("entries", json::array())) {
      addresses.push_back(line.value("address", ""));
    }
    break;
  }
  for (const std::string& entry : configured) {
    if (std::find(addresses.begin(), addresses.end(), entry) ==
        addresses.end()) {
      addresses.push_back(entry);
    }
  }
  return addresses;
}

std::string Join(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& token : tokens) text += token;
  return text;
}

/// Makes the session's calls until it ends; prints tokens as they arrive.
void RunSession(AnswerSession& session, const Arguments& arguments,
                Streams& streams) {
  const bool print_tokens = !arguments.Json();
  const auto idle_timeout =
      std::chrono::milliseconds(arguments.Number("silence-ms"));
  while (session.Next().kind != AnswerStep::Kind::kEnd) {
    const auto on_data = [&](std::string_view bytes) {
      std::size_t added = session.OnBytes(bytes);
      const auto& tokens = session.Tokens();
      for (; print_tokens && added > 0; --added) {
        streams.out << tokens[tokens.size() - added] << std::flush;
      }
    };
    const std::string entry = session.Next().entry;
    session.OnEnd(FetchStream(session.Call(arguments.Text("key")), on_data,
                              idle_timeout));
    if (session.Next().kind == AnswerStep::Kind::kEnd) return;
    streams.err << "\n"
                << entry << ": " << session.Failure().message
                << "; continuing at " << session.Next().entry << "\n";
    std::this_thread::sleep_for(kRetryDelay);
  }
}

int ReportOutcome(const AnswerSession& session, Streams& streams) {
  if (session.Status() == AnswerSession::State::kComplete) return kExitOk;
  const AnswerFailure& failure = session.Failure();
  std::string detail = failure.message + " (ran: " + failure.ran + ")";
  if (failure.retry_after_s > 0) {
    detail += ", retry in " + std::to_string(failure.retry_after_s) + " s";
  }
  if (session.Status() == AnswerSession::State::kFailed) {
    return Fail(streams, CommandError::kWrongAnswer, detail);
  }
  return Fail(streams,
              failure.ran == "no" ? CommandError::kRefused
                                  : CommandError::kOutcomeUnknown,
              detail);
}

int Verify(const Arguments& arguments, const AnswerQuery& query,
           const AnswerSession& session, Streams& streams) {
  const auto platform = PlatformOf(arguments);
  if (!platform) return Fail(streams, platform.error(), "--platform");
  const auto catalog = ReadCatalog(platform.value());
  if (!catalog) return Fail(streams, catalog.error(), "records");
  const auto expected = ExpectedAnswer(catalog.value(), query);
  if (!expected) return Fail(streams, expected.error(), query.model);
  if (expected.value() == session.Tokens()) {
    streams.err << "verified: all " << session.Tokens().size()
                << " tokens are correct\n";
    return kExitOk;
  }
  return Fail(streams, CommandError::kWrongAnswer,
              "the answer differs from what the model's layers produce");
}

int CallModel(const Arguments& arguments, bool chat, Streams& streams) {
  const auto positional = arguments.Positional();
  if (positional.size() != 3) {
    return Fail(streams, CommandError::kBadUsage,
                "MODEL and PROMPT are needed");
  }
  const auto entries = EntryAddresses(arguments);
  if (entries.empty()) {
    return Fail(streams, CommandError::kBadUsage, "--entry is missing");
  }
  AnswerQuery query{chat, positional[1], positional[2],
                    static_cast<std::uint32_t>(arguments.Number("max-tokens")),
                    arguments.Number("seed")};
  AnswerSession session(query, entries);
  RunSession(session, arguments, streams);
  if (arguments.Json()) {
    streams.out << json{{"request", session.Id()},
                        {"text", Join(session.Tokens())},
                        {"tokens", session.Tokens().size()},
                        {"interruptions", session.Interruptions()},
                        {"whole",
                         session.Status() == AnswerSession::State::kComplete}}
                << "\n";
  } else {
    streams.out << "\n";
    streams.err << "request " << session.Id() << ", " << session.Tokens().size()
                << " tokens, " << session.Interruptions() << " interruptions\n";
  }
  const int exit_code = ReportOutcome(session, streams);
  if (exit_code != kExitOk || !arguments.Flag("verify")) return exit_code;
  return Verify(arguments, query, session, streams);
}

int ReportServiceOutcome(const HttpOutcome& outcome, const std::string& key,
                         Streams& streams) {
  const json body = json::parse(outcome.body, nullptr, false);
  const bool not_run = body.is_object() && body.value("ran", "") == "no";
  const bool refused = outcome.end == CallEnd::kAnswered && not_run;
  return Fail(streams,
              refused ? CommandError::kRefused : CommandError::kOutcomeUnknown,
              Explain(outcome) + "; idempotency key " + key +
                  " returns the outcome of this call");
}

int CallService(const Arguments& arguments, Streams& streams) {
  const auto positional = arguments.Positional();
  if (positional.size() != 4) {
    return Fail(streams, CommandError::kBadUsage,
                "SERVICE, METHOD and PATH are needed");
  }
  std::string key = arguments.Text("idempotency-key");
  if (key.empty()) key = NewId();
  HttpOutcome outcome;
  for (const std::string& entry : EntryAddresses(arguments)) {
    auto call = MakeCall(positional[2], entry,
                         "/v1/services/" + positional[1] + positional[3],
                         arguments.Text("key"));
    call.headers.emplace_back("Idempotency-Key", key);
    call.headers.emplace_back("Content-Type", "application/json");
    call.body = arguments.Text("body");
    call.reuse = transport::Reuse::kNever;
    call.total_timeout =
        std::chrono::milliseconds(arguments.Number("silence-ms"));
    outcome = Fetch(std::move(call));
    // A call that was sent may have run; only one that certainly was not sent
    // goes to another entry instance (I4).
    if (outcome.sent || outcome.end == CallEnd::kAnswered) break;
  }
  if (outcome.end == CallEnd::kAnswered && outcome.status < kFirstErrorStatus) {
    streams.out << outcome.body << "\n";
    return kExitOk;
  }
  return ReportServiceOutcome(outcome, key, streams);
}

int Call(const Arguments& arguments, Streams& streams) {
  const auto positional = arguments.Positional();
  const std::string kind = positional.empty() ? "" : positional.front();
  if (arguments.List("entry").empty()) {
    return Fail(streams, CommandError::kBadUsage, "--entry is missing");
  }
  if (kind == "chat") return CallModel(arguments, true, streams);
  if (kind == "completion") return CallModel(arguments, false, streams);
  if (kind == "service") return CallService(arguments, streams);
  return Fail(streams, CommandError::kBadUsage,
              "call needs chat, completion or service");
}

void AddCallOptions(cxxopts::Options& options) {
  AddCallerOptions(options);
  AddPlatformOptions(options);
  const auto number = [](const char* fallback) {
    return cxxopts::value<std::uint64_t>()->default_value(fallback);
  };
  const auto text = [] {
    return cxxopts::value<std::string>()->default_value("");
  };
  options.add_options()("max-tokens", "maximum number of tokens", number("64"))(
      "seed", "sampling seed", number("1"))(
      "direct", "use only the addresses of --entry, request no entry advice")(
      "silence-ms", "milliseconds without data until another entry is used",
      number("10000"))("body", "body of a service call", text())(
      "idempotency-key",
      "idempotency key of a service call; default: a new one",
      text())("verify",
              "compare with the expected answer of the stand-in engines "
              "(needs --platform)");
}

}  // namespace

Subcommand CallSubcommand() {
  return {"call", "Make one call as a customer",
          "chat MODEL PROMPT | completion MODEL PROMPT | service SERVICE "
          "METHOD PATH",
          AddCallOptions, Call};
}

}  // namespace toucanwharf::command
