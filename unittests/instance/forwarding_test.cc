#include "toucanwharf/instance/forwarding.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

namespace toucanwharf::instance {
namespace {

const ForwardedRequest kForwarded{"0190-an-instance", 17, 1, false,
                                  std::chrono::milliseconds(250)};

http::Headers Written() {
  http::Headers headers;
  headers.Add("X-Request-Id", "one");
  SetForwarding(headers, kForwarded);
  return headers;
}

BOOST_AUTO_TEST_CASE(WhatIsWrittenIsRead) {
  const auto read = ForwardingOf(Written());
  BOOST_TEST((read == kForwarded));
}

// Guards against a caller's fields that stand beside those of the instance.
BOOST_AUTO_TEST_CASE(FieldsOfACallerAreReplaced) {
  http::Headers headers;
  headers.Add("X-Forwarded-Instance", "of-a-caller");
  headers.Add("x-forwarded-runs", "0");
  SetForwarding(headers, kForwarded);
  BOOST_TEST((ForwardingOf(headers) == kForwarded));
}

// Guards against bad input that is taken for a number.
BOOST_AUTO_TEST_CASE(UnreadableFieldsAreRejected) {
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"X-Forwarded-Instance", ""},
      {"X-Forwarded-Instance", std::string(65, 'x')},
      {"X-Forwarded-Configuration", "-1"},
      {"X-Forwarded-Configuration", "1e3"},
      {"X-Forwarded-Runs", "17"},
      {"X-Forwarded-Runs", ""},
      {"X-Forwarded-Runs", "1 2"},
      {"X-Forwarded-Age-Us", "600000001"},
      {"X-Forwarded-Age-Us", std::string(5000, '9')},
      {"X-Forwarded-Age-Us", "nan"}};
  for (const auto& [name, value] : bad) {
    http::Headers headers = Written();
    headers.Set(name, value);
    BOOST_TEST(!ForwardingOf(headers).has_value(), name << ": " << value);
    http::Headers twice = Written();
    twice.Add(name, "1");
    BOOST_TEST(!ForwardingOf(twice).has_value(), name << " twice");
    http::Headers without = Written();
    without.Remove(name);
    BOOST_TEST(!ForwardingOf(without).has_value(), name << " missing");
  }
}

// Guards against a request that each instance on its way counts as a new one.
BOOST_AUTO_TEST_CASE(RequestOfAnEarlierBuildIsCounted) {
  http::Headers headers = Written();
  headers.Remove("X-Forwarded-Counted");
  BOOST_REQUIRE(ForwardingOf(headers).has_value());
  BOOST_TEST(ForwardingOf(headers)->counted);
  headers.Set("X-Forwarded-Counted", "2");
  BOOST_TEST(!ForwardingOf(headers).has_value());
}

BOOST_AUTO_TEST_CASE(RefusalSaysWhetherAnEndpointGotTheRequest) {
  http::ResponseHead head;
  SetRefusal(head.headers, ForwardRefusal::kElsewhere, false);
  BOOST_TEST(!ReachedEndpoint(head));
  SetRefusal(head.headers, ForwardRefusal::kElsewhere, true);
  BOOST_TEST(ReachedEndpoint(head));
}

BOOST_AUTO_TEST_CASE(NothingOfItRemains) {
  http::Headers headers = Written();
  SetRefusal(headers, ForwardRefusal::kFinal, true);
  RemoveForwarding(headers);
  http::Headers expected;
  expected.Add("X-Request-Id", "one");
  BOOST_TEST((headers == expected));
}

// Guards against a request that is refused for good because one peer stops, and
// against one that goes from peer to peer while the fleet is full.
BOOST_AUTO_TEST_CASE(RefusalSaysWhetherAnotherInstanceMayServe) {
  BOOST_TEST((RefusalFor("stopping") == ForwardRefusal::kElsewhere));
  BOOST_TEST((RefusalFor("isolated") == ForwardRefusal::kElsewhere));
  BOOST_TEST((RefusalFor("no_room") == ForwardRefusal::kFinal));
  for (const ForwardRefusal refusal :
       {ForwardRefusal::kElsewhere, ForwardRefusal::kFinal}) {
    http::ResponseHead head;
    BOOST_TEST(!RefusalOf(head).has_value());
    SetRefusal(head.headers, refusal, false);
    BOOST_TEST((RefusalOf(head) == refusal));
  }
}

}  // namespace
}  // namespace toucanwharf::instance
