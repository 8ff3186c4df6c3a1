#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "toucanwharf/command/arguments.h"

namespace toucanwharf::command {
namespace {

/// Exit code and output of one run of the program.
struct RunResult {
  int exit_code;
  std::string out;
  std::string err;
};

RunResult Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const int exit_code = RunProgram(arguments, {out, err});
  return {exit_code, out.str(), err.str()};
}

/// A file that is deleted when the object is destroyed.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path(std::filesystem::temp_directory_path() /
             ("toucanwharf-test-" + std::to_string(++count) + "-" +
              std::to_string(getpid()) + ".json")) {
    std::ofstream(this->path) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(this->path); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string Path() const { return this->path; }

 private:
  static inline int count = 0;
  std::filesystem::path path;
};

BOOST_AUTO_TEST_CASE(EverySubcommandHasHelpWithExitCodes) {
  for (const Subcommand& subcommand : Subcommands()) {
    const RunResult result = Run({subcommand.name, "--help"});
    BOOST_TEST(result.exit_code == 0);
    BOOST_TEST((result.out.find("Exit codes") != std::string::npos));
  }
}

BOOST_AUTO_TEST_CASE(WrongArgumentsGiveExitCodeTwo) {
  const std::vector<std::vector<std::string>> invalid_calls = {
      {},
      {"bogus"},
      {"apply"},
      {"apply", "--no-such-option"},
      {"validate", "--output", "yaml", "x"},
      {"entries"},
      {"drain"},
      {"load", "--rate", "zero"}};
  for (const auto& arguments : invalid_calls) {
    BOOST_TEST(Run(arguments).exit_code == 2);
  }
}

BOOST_AUTO_TEST_CASE(ValidateReportsEveryProblemWithItsPointer) {
  const TemporaryFile file(R"([
    {"schema": "toucanwharf/v1", "kind": "model", "name": "m",
     "spec": {"layers": 0, "bytes_per_layer": 1, "kv_bytes_per_token": 1}},
    {"schema": "toucanwharf/v2", "kind": "customer", "name": "c", "spec": {}}])");
  const RunResult result = Run({"validate", "--output", "json", file.Path()});
  BOOST_TEST(result.exit_code == 3);
  const auto problems = nlohmann::json::parse(result.out)["problems"];
  BOOST_REQUIRE(problems.size() == 2u);
  BOOST_TEST(problems[0]["pointer"] == "/0/spec/layers");
  BOOST_TEST(problems[1]["pointer"] == "/1/spec/key");
}

BOOST_AUTO_TEST_CASE(ValidateChecksReferencesWhenAsked) {
  const TemporaryFile file(
      R"({"schema": "toucanwharf/v1", "kind": "version", "name": "v",
          "spec": {"model": "m", "weights": "w"}})");
  BOOST_TEST(Run({"validate", file.Path()}).exit_code == 0);
  BOOST_TEST(Run({"validate", "--references", file.Path()}).exit_code == 3);
}

// The option parser splits positional arguments at commas: a prompt with a
// comma would be rejected for a wrong number of arguments.
BOOST_AUTO_TEST_CASE(CommasInArgumentsAreKept) {
  const RunResult result = Run({"validate", "/no/such, file.json"});
  BOOST_TEST((result.err.find("/no/such, file.json: ") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(MissingFileIsAProblem) {
  const RunResult result = Run({"validate", "/no/such/file.json"});
  BOOST_TEST(result.exit_code == 3);
  BOOST_TEST((result.err.find("correct the path") != std::string::npos));
}

}  // namespace
}  // namespace toucanwharf::command
