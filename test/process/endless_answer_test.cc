#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>

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

}  // namespace
}  // namespace toucanwharf::process_test
