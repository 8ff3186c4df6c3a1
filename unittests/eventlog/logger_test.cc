#include "toucanwharf/eventlog/logger.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace toucanwharf::eventlog {
namespace {

using std::chrono::milliseconds;

/// A pipe that is read only when the test calls ReadAll.
class Pipe {
 public:
  Pipe() {
    BOOST_REQUIRE(pipe2(this->ends, O_CLOEXEC) == 0);
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int Writer() const { return this->ends[1]; }
  std::string ReadAll() {
    std::string text;
    char bytes[4096];
    for (ssize_t count = read(this->ends[0], bytes, sizeof(bytes)); count > 0;
         count = read(this->ends[0], bytes, sizeof(bytes))) {
      text.append(bytes, static_cast<std::size_t>(count));
    }
    return text;
  }

 private:
  int ends[2] = {-1, -1};
};

BOOST_AUTO_TEST_CASE(LinesAreJson) {
  Pipe pipe;
  Logger logger(pipe.Writer(), "instance-1");
  logger.Write(Level::kNotable, "refused",
               Fields()
                   .Text("request", "a \"quoted\"\n\\ id")
                   .Count("status", 503)
                   .Millis("age_ms", milliseconds(17)),
               TimePoint{});
  logger.Flush();
  const auto line = nlohmann::json::parse(pipe.ReadAll());
  BOOST_TEST(line["event"] == "refused");
  BOOST_TEST(line["instance"] == "instance-1");
  BOOST_TEST(line["request"] == "a \"quoted\"\n\\ id");
  BOOST_TEST(line["age_ms"] == 17);
  BOOST_TEST(line["v"] == 3);
}

// Nobody reads the log. The process must continue: no write blocks, memory
// stays bounded, and once the log is read, a line reports how many lines were
// dropped.
BOOST_AUTO_TEST_CASE(UnreadPipeDoesNotBlock) {
  Pipe pipe;
  Logger logger(pipe.Writer(), "instance-1");
  const auto start = std::chrono::steady_clock::now();
  const std::string filler(500, 'x');
  for (int i = 0; i < 20000; ++i) {
    logger.Write(Level::kNotable, "event", Fields().Text("filler", filler),
                 TimePoint{milliseconds(i * 10)});
    logger.Flush();
  }
  const auto took = std::chrono::steady_clock::now() - start;
  BOOST_TEST((took < std::chrono::seconds(5)));
  BOOST_TEST(logger.Buffered() < 300U * 1024);
  BOOST_TEST(logger.Dropped() > 0U);
  pipe.ReadAll();
  logger.Flush();
  pipe.ReadAll();
  logger.Write(Level::kNotable, "after", Fields(),
               TimePoint{std::chrono::seconds(300)});
  for (int round = 0; round < 100 && logger.Buffered() > 0; ++round) {
    logger.Flush();
    if (pipe.ReadAll().find("lines_dropped") != std::string::npos) return;
  }
  BOOST_FAIL("no line reports the dropped lines");
}

// A thousand requests a second are answered and some are refused. Routine lines
// are sampled, and displace no line about a refusal.
BOOST_AUTO_TEST_CASE(RefusalsGoBeforeRoutineLines) {
  Pipe pipe;
  Logger logger(pipe.Writer(), "instance-1");
  std::string text;
  for (int i = 0; i < 5000; ++i) {
    const TimePoint now{milliseconds(i)};
    logger.Write(Level::kRoutine, "answered", Fields(), now);
    if (i % 20 == 0) logger.Write(Level::kNotable, "refused", Fields(), now);
    logger.Flush();
    text += pipe.ReadAll();
  }
  std::istringstream lines(text);
  int refused = 0;
  int answered = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.find("\"refused\"") != std::string::npos) ++refused;
    if (line.find("\"answered\"") != std::string::npos) ++answered;
  }
  BOOST_TEST(refused == 250);
  BOOST_TEST(answered < 200);
}

}  // namespace
}  // namespace toucanwharf::eventlog
