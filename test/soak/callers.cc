#include "test/soak/callers.h"

#include <array>
#include <memory>
#include <string_view>
#include <utility>

#include "toucanwharf/support/random.h"

namespace toucanwharf::soak {
namespace {

using process_test::EventStream;
using process_test::PlatformFleet;
using standins::fleet::Endpoints;

constexpr std::uint64_t kFirstParts = 3;
constexpr std::chrono::milliseconds kCrashingPeriod{100};
constexpr std::chrono::milliseconds kKeptPeriod{10};
constexpr std::size_t kKeptCallers = 8;
constexpr std::size_t kKeptConnections = 4;
constexpr std::string_view kStampPrefix = "stamp-of-";

std::string PrefixOf(CrashCause cause) {
  return cause == CrashCause::kContent ? "crashing-" : "crashing-part-";
}

/// Returns a part that prompts begin with.
std::string FirstPart(std::uint64_t draw) {
  return "f1" + std::to_string(draw % kFirstParts) + ":40";
}

/// Returns the last part of a prompt, which no other request has.
std::string OwnPart(std::uint64_t draw) { return std::to_string(draw) + ":60"; }

/// Returns a whole request for the plain service.
std::string PlainRequest(const std::string& id, RequestKind kind) {
  const bool sign = kind == RequestKind::kSign;
  const std::string body = sign ? "the body of " + id : "";
  return (sign ? "POST /sign/" : "GET /read/") + id +
         " HTTP/1.1\r\nHost: " + PlatformFleet::kHost +
         "\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(kPlainDeadline.count()) +
         "\r\nAuthorization: Token " + PlatformFleet::kKey +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

std::string BodyDefect(RequestKind kind, const std::string& id,
                       const std::string& target,
                       const process_test::Answer& answer) {
  std::string whole = Endpoints::EventsText();
  if (kind != RequestKind::kStream) {
    const auto stamp = answer.headers.find("x-server-stamp");
    const bool named = stamp != answer.headers.end() &&
                       stamp->second.starts_with(kStampPrefix);
    if (!named) return "no endpoint's stamp";
    whole = Endpoints::PlainBody(stamp->second.substr(kStampPrefix.size()), id,
                                 target);
  }
  if (answer.body == whole) return "";
  const bool begins = answer.body.starts_with(whole);
  const bool cut = whole.starts_with(answer.body);
  return std::to_string(answer.body.size()) + " bytes of " +
         std::to_string(whole.size()) + (begins ? ", more behind it" : "") +
         (cut ? ", cut" : "") +
         (answer.headers.contains("content-length") ? ", with a length" : "") +
         (answer.headers.contains("transfer-encoding") ? ", in chunks" : "");
}

std::string CrashingId(CrashCause cause, std::uint64_t number,
                       std::size_t router) {
  return PrefixOf(cause) + std::to_string(router) + "-" +
         std::to_string(number);
}

std::optional<std::size_t> RouterOfCrashing(CrashCause cause,
                                            const std::string& id) {
  const std::string prefix = PrefixOf(cause);
  if (!id.starts_with(prefix)) return std::nullopt;
  const std::string rest = id.substr(prefix.size());
  if (rest.empty() || rest.front() < '0' || rest.front() > '9') {
    return std::nullopt;
  }
  return std::stoul(rest);
}

Callers::Callers(PlatformFleet& called, const SoakSettings& settings)
    : fleet(called),
      has_long_answers(settings.faulty_answers),
      has_parts(settings.crashing_parts) {
  for (std::size_t number = 0; number < settings.callers; ++number) {
    this->threads.emplace_back([this, number, &settings] {
      this->Run(number, MixBits(settings.seed) + number, settings.routers);
    });
  }
  this->threads.emplace_back([this, &settings] {
    this->RunCrashing(CrashCause::kContent, this->crashing,
                      MixBits(settings.seed) + settings.callers,
                      settings.routers);
  });
  constexpr std::uint64_t kKeptStream = 100;
  for (std::size_t number = 0; settings.planned_stops && number < kKeptCallers;
       ++number) {
    this->threads.emplace_back([this, number, &settings] {
      this->RunKept(number, MixBits(settings.seed + kKeptStream) + number,
                    settings.routers);
    });
  }
  if (!settings.crashing_parts) return;
  this->threads.emplace_back([this, &settings] {
    this->RunCrashing(CrashCause::kPromptPart, this->crashing_parts,
                      MixBits(settings.seed) + settings.callers + 1,
                      settings.routers);
  });
}

void Callers::RunCrashing(CrashCause cause, const std::atomic<bool>& active,
                          std::uint64_t seed, std::size_t routers) {
  Random random(seed);
  for (std::uint64_t count = 0; !this->stopping; ++count) {
    std::this_thread::sleep_for(kCrashingPeriod);
    if (!active) continue;
    const std::size_t router = random.Below(routers);
    const std::string id = CrashingId(cause, count, router);
    if (cause == CrashCause::kContent) {
      this->fleet.Stream(router, id, "/chat/one", 0,
                         standins::fleet::Endpoints::kCrashingContent);
      continue;
    }
    const std::string parts = FirstPart(random()) + "," +
                              standins::fleet::Endpoints::kCrashingPart +
                              ":9," + OwnPart(random());
    this->fleet.Stream(router, id, "/chat/one", 0, "the prompt of " + id,
                       parts);
  }
}

void Callers::Join() {
  this->stopping = true;
  for (std::thread& thread : this->threads) thread.join();
  this->threads.clear();
}

std::vector<ObservedRequest> Callers::Stop() {
  this->Join();
  return std::move(this->observed);
}

void Callers::Run(std::size_t number, std::uint64_t seed, std::size_t routers) {
  Random random(seed);
  for (std::uint64_t count = 0; !this->stopping; ++count) {
    const std::string id =
        "caller-" + std::to_string(number) + "-" + std::to_string(count);
    const std::size_t router = random.Below(routers);
    ObservedRequest request = this->CallOnce(id, random(), router);
    const std::lock_guard lock(this->mutex);
    this->observed.push_back(std::move(request));
  }
}

void Callers::RunKept(std::size_t number, std::uint64_t seed,
                      std::size_t routers) {
  Random random(seed);
  std::vector<std::array<std::unique_ptr<KeptConnection>, kKeptConnections>>
      kept(routers);
  for (std::uint64_t count = 0; !this->stopping; ++count) {
    std::this_thread::sleep_for(kKeptPeriod);
    const std::string id =
        "kept-" + std::to_string(number) + "-" + std::to_string(count);
    const std::size_t liked = this->preferred;
    const std::size_t router = liked != kNoRouter && random.Below(3) > 0
                                   ? liked
                                   : random.Below(routers);
    auto& connection = kept[router][random.Below(kKeptConnections)];
    if (connection == nullptr || !connection->IsOpen()) {
      connection =
          std::make_unique<KeptConnection>(this->fleet.CallersAddress(router));
    }
    if (!connection->IsOpen()) continue;
    const RequestKind kind =
        random.Below(2) == 0 ? RequestKind::kSign : RequestKind::kRead;
    ObservedRequest request = this->CallKept(*connection, id, kind, router);
    const std::lock_guard lock(this->mutex);
    this->observed.push_back(std::move(request));
  }
}

ObservedRequest Callers::CallKept(KeptConnection& connection,
                                  const std::string& id, RequestKind kind,
                                  std::size_t router) {
  ObservedRequest request;
  request.id = id;
  request.kind = kind;
  request.router = router;
  request.sent = Clock::now();
  KeptAnswer result = connection.Send(PlainRequest(id, kind));
  request.ended = Clock::now();
  request.answer = std::move(result.answer);
  request.has_more = result.has_more;
  request.body_defect = BodyDefect(kind, id, "", request.answer);
  return request;
}

ObservedRequest Callers::CallOnce(const std::string& id, std::uint64_t draw,
                                  std::size_t router) {
  ObservedRequest request;
  request.id = id;
  request.router = router;
  request.kind = static_cast<RequestKind>(draw % 4);
  request.sent = Clock::now();
  const bool is_long = this->has_long_answers && draw / 4 % 2 == 0;
  const std::string target = id + (is_long ? Endpoints::kOwnLongAnswer : "");
  switch (request.kind) {
    case RequestKind::kRead:
      request.answer = this->fleet.Plain(router, "/read/" + target, id);
      break;
    case RequestKind::kSign:
      request.answer = this->fleet.Plain(router, "/sign/" + target, id);
      break;
    case RequestKind::kSecondCustomer:
      request.answer = this->fleet.Plain(router, "/read/" + target, id,
                                         PlatformFleet::kOtherKey);
      break;
    case RequestKind::kStream: {
      // One caller in four disconnects after 1 to 10 events.
      const std::uint64_t more = draw / 4;
      const std::size_t disconnect_after =
          more % 4 == 0 ? 1 + more / 4 % 10 : 0;
      const std::string parts =
          this->has_parts ? FirstPart(more) + "," + OwnPart(draw) : "";
      EventStream stream =
          this->fleet.Stream(router, id, "/chat/one", disconnect_after,
                             "the prompt of " + id, parts);
      request.disconnected = disconnect_after > 0;
      request.answer = std::move(stream.answer);
      request.events = std::move(stream.ids);
      break;
    }
  }
  request.ended = Clock::now();
  request.body_defect = BodyDefect(request.kind, id, target, request.answer);
  if (request.answer.body.size() > kKeptBodyBytes) {
    request.answer.body.resize(kKeptBodyBytes);
  }
  return request;
}

}  // namespace toucanwharf::soak
