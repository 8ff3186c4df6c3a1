#include "toucanwharf/command/http.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "toucanwharf/transport/event_loop.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HttpOutcome;

constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(100);

std::string EndText(const HttpOutcome& outcome) {
  switch (outcome.end) {
    case CallEnd::kAnswered:
      return "status " + std::to_string(outcome.status);
    case CallEnd::kNotConnected:
      return "cannot connect (" + outcome.error + ")";
    case CallEnd::kBroken:
      return "connection lost (" + outcome.error + ")";
    case CallEnd::kTimedOut:
      return "timed out";
  }
  return outcome.error;
}

}  // namespace

HttpOutcome Fetch(transport::HttpCall call,
                  std::function<void(std::string_view)> on_data) {
  transport::EventLoop loop;
  transport::HttpClient client(loop);
  HttpOutcome result;
  const auto on_done = [&result, &loop](HttpOutcome outcome) {
    result = std::move(outcome);
    loop.Stop();
  };
  client.Start(std::move(call), {std::move(on_data), on_done});
  loop.Run();
  return result;
}

HttpOutcome FetchStream(transport::HttpCall call,
                        std::function<void(std::string_view)> on_data,
                        Duration idle_timeout) {
  transport::EventLoop loop;
  transport::HttpClient client(loop);
  HttpOutcome result;
  TimePoint last_byte = loop.Now();
  const auto record_data = [&](std::string_view bytes) {
    last_byte = loop.Now();
    on_data(bytes);
  };
  const auto on_done = [&](HttpOutcome outcome) {
    result = std::move(outcome);
    loop.Stop();
  };
  call.total_timeout = Duration(0);
  const auto id = client.Start(std::move(call), {record_data, on_done});
  std::function<void()> check_idle = [&] {
    if (loop.Now() - last_byte >= idle_timeout) {
      client.Cancel(id);
      result.end = CallEnd::kBroken;
      result.sent = true;
      result.error = "no data within the idle timeout";
      loop.Stop();
      return;
    }
    loop.After(kIdleCheckPeriod, check_idle);
  };
  loop.After(kIdleCheckPeriod, check_idle);
  loop.Run();
  return result;
}

transport::HttpCall MakeCall(std::string_view method, std::string_view address,
                             std::string_view target, std::string_view key) {
  transport::HttpCall call;
  call.method = std::string(method);
  call.url = "http://" + std::string(address) + std::string(target);
  if (!key.empty()) {
    call.headers.emplace_back("Authorization", "Bearer " + std::string(key));
  }
  return call;
}

std::string Explain(const HttpOutcome& outcome) {
  const std::string end = EndText(outcome);
  const json body = json::parse(outcome.body, nullptr, false);
  if (!body.is_object() || !body.contains("error")) return end;
  const json& error = body["error"];
  if (error.is_string()) return end + ": " + error.get<std::string>();
  if (!error.is_object()) return end;
  return end + ": " + error.value("message", "");
}

}  // namespace toucanwharf::command
