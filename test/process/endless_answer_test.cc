#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "test/process/crowd.h"
#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::EndpointFault;
using std::chrono::milliseconds;

/// An idle router takes under 20 MiB.
constexpr long kMaxResidentKib = 48L * 1024;  // NOLINT(google-runtime-int)

/// Returns the largest memory that the process \p pid ever had in use.
long PeakResidentKib(pid_t pid) {  // NOLINT(google-runtime-int)
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::stol(line.substr(6));
  }
  return 0;
}

void SetAll(PlatformFleet& fleet, EndpointFault fault) {
  fleet.RunOnLoop([&] {
    for (const char* domain : {"domain-a-", "domain-b-"}) {
      for (int i = 0; i < 5; ++i) {
        fleet.Endpoints().SetFault(domain + std::to_string(i), fault);
      }
    }
    fleet.Endpoints().SetFault("plain-0", fault);
    fleet.Endpoints().SetFault("plain-1", fault);
  });
}

/// Reads a plain answer slowly for two seconds, and closes then.
void ReadSlowly(PlatformFleet& fleet) {
  const auto until = std::chrono::steady_clock::now() + milliseconds(2000);
  Call call;
  call.url = fleet.CallersAddress(0) + "/read/slowly";
  call.headers = {"Host: calls.example", "X-Request-Id: slow",
                  "X-Deadline-Ms: 4000",
                  std::string("Authorization: Token ") + PlatformFleet::kKey};
  call.on_data = [until](const std::string&) {
    std::this_thread::sleep_for(milliseconds(20));
    return std::chrono::steady_clock::now() < until;
  };
  Send(call);
}

// Guards against bytes without an end that a router holds until its memory runs
// out.
BOOST_AUTO_TEST_CASE(AnswersWithoutAnEndTakeLittleMemory) {
  for (const EndpointFault fault :
       {EndpointFault::kSendsWithoutEnd, EndpointFault::kFailsWithoutEnd}) {
    PlatformFleet fleet(1);
    SetAll(fleet, fault);
    const EventStream stream = fleet.Stream(0, "stream");
    BOOST_TEST(stream.ids.empty());
    BOOST_TEST(!(stream.answer.status == http::kOk && stream.answer.complete));
    ReadSlowly(fleet);
    BOOST_TEST(PeakResidentKib(fleet.Router(0).Pid()) <= kMaxResidentKib);
    SetAll(fleet, EndpointFault::kNone);
    BOOST_TEST(PlatformFleet::Eventually([&] {
      return fleet.Plain(0, "/read/x", "after").status == http::kOk;
    }));
  }
}

constexpr std::size_t kBytesPerMegabyte = 1'000'000;
/// An idle router takes a third of its memory.
constexpr MachineLimits kSmallMachine{64, 1600, 0};
constexpr std::size_t kCrowd = 300;

void SetFaults(PlatformFleet& fleet, const std::vector<std::string>& ids,
               EndpointFault fault) {
  fleet.RunOnLoop([&] {
    for (const std::string& id : ids) fleet.Endpoints().SetFault(id, fault);
  });
}

void CheckMachine(PlatformFleet& fleet, const ProcessWatch& watch) {
  BOOST_TEST(fleet.Router(0).ExitDescription() == "");
  BOOST_TEST(watch.PeakResidentBytes() <=
             kSmallMachine.memory_mb * kBytesPerMegabyte);
}

/// Sends many streams to engines with \p fault.
void PlayStreams(EndpointFault fault) {
  PlatformFleet fleet(1, false, false, {}, kSmallMachine);
  const ProcessWatch watch(fleet.Router(0).Pid());
  SetFaults(fleet, PlatformFleet::EngineIds(), fault);
  {
    Crowd crowd(fleet.CallersAddress(0), kCrowd);
    crowd.Send(
        [](std::size_t index) {
          return RequestHead(index,
                             LengthField(1) + "X-Token-Counts: 100,100\r\n",
                             "POST /chat/one");
        },
        "p");
    BOOST_TEST(fleet.Plain(0, "/read/x", "beside").status == http::kOk);
    CheckMachine(fleet, watch);
  }
  SetFaults(fleet, PlatformFleet::EngineIds(), EndpointFault::kNone);
  BOOST_TEST(PlatformFleet::Eventually(
      [&] { return fleet.Plain(0, "/read/x", "after").status == http::kOk; }));
  CheckMachine(fleet, watch);
}

/// Sends many plain requests to endpoints with \p fault.
void PlayPlain(EndpointFault fault) {
  PlatformFleet fleet(1, false, false, {}, kSmallMachine);
  const ProcessWatch watch(fleet.Router(0).Pid());
  SetFaults(fleet, PlatformFleet::PlainIds(), fault);
  {
    Crowd crowd(fleet.CallersAddress(0), kCrowd);
    crowd.Send(
        [](std::size_t index) { return RequestHead(index, "", "GET /read/x"); },
        "");
    const EventStream beside = fleet.Stream(0, "beside");
    BOOST_TEST(beside.answer.status == http::kOk);
    BOOST_TEST(beside.answer.complete);
    CheckMachine(fleet, watch);
  }
  SetFaults(fleet, PlatformFleet::PlainIds(), EndpointFault::kNone);
  BOOST_TEST(PlatformFleet::Eventually(
      [&] { return fleet.Plain(0, "/read/x", "after").status == http::kOk; }));
  CheckMachine(fleet, watch);
}

// Guards against events without an end that each stay inside their limit, and
// all together fill the memory.
BOOST_AUTO_TEST_CASE(ManyEventsWithoutAnEnd) {
  PlayStreams(EndpointFault::kStopsInsideAnswer);
}

// Guards against heads of answers whose many short fields take a multiple of
// their bytes.
BOOST_AUTO_TEST_CASE(ManyHeadsOfManyFields) {
  PlayPlain(EndpointFault::kSendsLongHead);
}

BOOST_AUTO_TEST_CASE(ManyPlainAnswersWithoutAnEnd) {
  PlayPlain(EndpointFault::kStopsInsideAnswer);
}

// Guards against a report that takes a multiple of its bytes when it is parsed.
BOOST_AUTO_TEST_CASE(ReportsOfLongLists) {
  PlatformFleet fleet(1, false, false, {}, kSmallMachine);
  const ProcessWatch watch(fleet.Router(0).Pid());
  SetFaults(fleet, PlatformFleet::EngineIds(), EndpointFault::kReportsLongList);
  // For several reports of each engine.
  std::this_thread::sleep_for(milliseconds(5000));
  BOOST_TEST(fleet.Plain(0, "/read/x", "beside").status == http::kOk);
  CheckMachine(fleet, watch);
  SetFaults(fleet, PlatformFleet::EngineIds(), EndpointFault::kNone);
  BOOST_TEST(PlatformFleet::Eventually(
      [&] { return fleet.Stream(0, "after").answer.status == http::kOk; }));
  CheckMachine(fleet, watch);
}

}  // namespace
}  // namespace toucanwharf::process_test
