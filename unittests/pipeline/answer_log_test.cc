#include "toucanwharf/pipeline/answer_log.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

// A caller's connection breaks after two tokens. It resumes by request id from
// the third; no token may be repeated.
BOOST_AUTO_TEST_CASE(ResumeReadsFromTheNextToken) {
  AnswerLog log;
  log.Open("r", "atlas");
  for (std::uint32_t index = 0; index < 4; ++index) {
    log.Append("r", {index, std::to_string(index)});
  }
  const AnswerSlice slice = log.Read("r", "atlas", 2).value();
  BOOST_TEST((slice.tokens == std::vector<std::string>{"2", "3"}));
  BOOST_TEST(!slice.end.has_value());
  log.Close("r", Finish{4}, {});
  BOOST_TEST(log.Read("r", "atlas", 4).value().end.has_value());
  BOOST_TEST((log.Read("r", "atlas", 5).error() == Error::kIndexNotReached));
}

// A customer learns another's request id from a log line and reads its answer.
// The error must be the same as for an unknown id (I2).
BOOST_AUTO_TEST_CASE(OtherCustomersReadNothing) {
  AnswerLog log;
  log.Open("r", "atlas");
  log.Append("r", {0, "secret"});
  for (const std::string id : {"r", "none"}) {
    const auto slice = log.Read(id, "rangi", 0);
    BOOST_REQUIRE(!slice.has_value());
    BOOST_TEST((slice.error() == Error::kUnknownRequest));
  }
}

BOOST_AUTO_TEST_CASE(EndedAnswersExpire) {
  AnswerLog log;
  log.Open("r", "atlas");
  log.Close("r", Finish{0}, TimePoint{std::chrono::seconds(5)});
  log.Expire(TimePoint{std::chrono::seconds(64)});
  BOOST_TEST(log.Contains("r"));
  log.Expire(TimePoint{std::chrono::seconds(65)});
  BOOST_TEST(!log.Contains("r"));
  BOOST_TEST(log.Bytes() == 0u);
}

// Many concurrent long answers must not grow the router's memory until the
// process is killed.
RC_BOOST_PROP(MemoryIsBounded, (const std::vector<std::uint8_t>& script)) {
  AnswerLogLimits limits;
  limits.max_bytes = 2000;
  AnswerLog log(limits);
  std::vector<std::uint32_t> lengths;
  for (const std::uint8_t step : script) {
    if (step % 4 == 0 || lengths.empty()) {
      log.Open(std::to_string(lengths.size()), "c");
      lengths.push_back(0);
      continue;
    }
    const std::size_t number = step % lengths.size();
    const std::string id = std::to_string(number);
    if (step % 4 == 1) log.Close(id, Finish{lengths[number]}, {});
    if (log.Contains(id)) log.Append(id, {lengths[number]++, "twelve bytes"});
    RC_ASSERT(log.Bytes() <= limits.max_bytes);
  }
}

}  // namespace
}  // namespace toucanwharf::pipeline
