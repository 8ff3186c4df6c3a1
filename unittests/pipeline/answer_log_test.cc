#include "toucanwharf/pipeline/answer_log.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

// A caller's connection breaks after two tokens. It comes back with the id and
// reads on from the third; nothing is said twice.
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
  BOOST_TEST((log.Read("r", "atlas", 5).error() == Error::kNotReached));
}

// A customer who learns another's request id from a log line asks for it. The
// answer must look the same as for an id that never was (I2).
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

// Many long answers at once must not grow the router until it is killed.
RC_BOOST_PROP(MemoryIsBounded, (const std::vector<std::uint8_t>& script)) {
  AnswerLogLimits limits;
  limits.bytes = 2000;
  AnswerLog log(limits);
  std::vector<std::uint32_t> lengths;
  for (const std::uint8_t step : script) {
    if (step % 4 == 0 || lengths.empty()) {
      log.Open(std::to_string(lengths.size()), "c");
      lengths.push_back(0);
      continue;
    }
    const std::size_t which = step % lengths.size();
    const std::string id = std::to_string(which);
    if (step % 4 == 1) log.Close(id, Finish{lengths[which]}, {});
    if (log.Contains(id)) log.Append(id, {lengths[which]++, "twelve bytes"});
    RC_ASSERT(log.Bytes() <= limits.bytes);
  }
}

}  // namespace
}  // namespace toucanwharf::pipeline
