#include "toucanwharf/instance/configuration_in_force.h"

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

/// An instance that reads its configuration; a text is its version.
struct Reader {
  /// Reads \p version at \p revision of the store, at \p millis.
  void Read(const std::string& version, const store::Revision& revision,
            int millis) {
    this->state.OnStoreEpoch(revision.epoch, At(millis));
    this->configuration.OnRead({{"config", "main"}, revision, "", version},
                               At(millis), At(millis));
  }
  /// Reads the first configuration, twice: the process has just started.
  void Start() {
    this->Read("18", {1, 112}, 500);
    this->Read("18", {1, 112}, 1000);
  }
  std::uint64_t Version() const { return this->state.configuration.version; }
  /// Returns whether the configuration was last confirmed at \p millis.
  bool ConfirmedAt(int millis) const {
    return this->state.freshness.Age(At(millis)) == Duration(0);
  }

  InstanceState state{InstanceSettings{}, "reader"};
  eventlog::Logger logger{open("/dev/null", O_WRONLY | O_CLOEXEC), "reader"};
  ConfigurationInForce configuration{
      this->state, this->logger,
      [](const std::string& text) -> std::optional<routes::Configuration> {
        if (text.empty()) return std::nullopt;
        routes::Configuration parsed;
        parsed.version = std::stoul(text);
        return parsed;
      },
      [] {}};
};

// Guards against an accepted configuration that is replaced by the one of an
// older copy of the store, or confirmed by it before all is written again (I7).
BOOST_AUTO_TEST_CASE(CopyReplacesNothingAndConfirmsNothingAtOnce) {
  Reader reader;
  reader.Start();
  BOOST_TEST(reader.ConfirmedAt(1000));
  reader.Read("16", {2, 104}, 5000);
  BOOST_TEST(reader.Version() == 18U);
  reader.Read("16", {2, 104}, 6900);
  BOOST_TEST(reader.Version() == 18U);
  BOOST_TEST(!reader.ConfirmedAt(6900));
}

// Guards against callers who are refused for as long as the operator doesn't
// write again what the store lost, though nothing newer was accepted.
BOOST_AUTO_TEST_CASE(OlderConfigurationInTheStoreConfirmsOnceSettled) {
  Reader reader;
  reader.Start();
  reader.Read("16", {2, 104}, 5000);
  reader.Read("16", {2, 104}, 7000);
  BOOST_TEST(reader.Version() == 18U);
  BOOST_TEST(reader.ConfirmedAt(7000));
}

// Guards against a text that can't be read, and may be newer, as proof of what
// is in force.
BOOST_AUTO_TEST_CASE(UnreadableConfigurationConfirmsNothing) {
  Reader reader;
  reader.Start();
  reader.Read("", {1, 113}, 2000);
  reader.Read("", {1, 113}, 9000);
  BOOST_TEST(reader.Version() == 18U);
  BOOST_TEST(!reader.ConfirmedAt(9000));
}

// Guards against a configuration that is ignored because its revision is lower
// than that of an earlier one, or the same.
BOOST_AUTO_TEST_CASE(ChangeWithAnEarlierRevisionIsInForce) {
  Reader reader;
  reader.Start();
  reader.Read("22", {2, 108}, 5000);
  BOOST_TEST(reader.Version() == 22U);
  reader.Read("31", {2, 112}, 5600);
  BOOST_TEST(reader.Version() == 31U);
}

// Guards against a revoked key that is confirmed by a copy which lacks the
// revocation.
BOOST_AUTO_TEST_CASE(UnchangedConfigurationIsConfirmedOnceAllIsWrittenAgain) {
  Reader reader;
  reader.Start();
  reader.Read("18", {2, 112}, 5000);
  reader.Read("18", {2, 112}, 6900);
  BOOST_TEST(!reader.ConfirmedAt(6900));
  reader.Read("18", {2, 112}, 7000);
  BOOST_TEST(reader.ConfirmedAt(7000));
}

// Guards against callers who are refused though the operator has written again
// what was lost.
BOOST_AUTO_TEST_CASE(ConfigurationWrittenAgainIsConfirmedSooner) {
  Reader reader;
  reader.Start();
  reader.Read("22", {2, 106}, 5000);
  BOOST_TEST(!reader.ConfirmedAt(5000));
  reader.Read("22", {2, 106}, 5500);
  BOOST_TEST(reader.ConfirmedAt(5500));
}

// Guards against a version that this instance had missed and that the copy has,
// taken for one written since: a later one may be lost.
BOOST_AUTO_TEST_CASE(LaterVersionInTheCopyIsNoSignOfTheOperator) {
  Reader reader;
  reader.Start();
  reader.Read("22", {2, 118}, 5000);
  reader.Read("22", {2, 118}, 5600);
  BOOST_TEST(reader.Version() == 22U);
  BOOST_TEST(!reader.ConfirmedAt(5600));
  reader.Read("24", {2, 119}, 5900);
  reader.Read("24", {2, 119}, 6400);
  BOOST_TEST(reader.ConfirmedAt(6400));
}

// Guards against an answer of before the return that arrives after it.
BOOST_AUTO_TEST_CASE(AnswerOfTheEarlierEpochConfirmsNothing) {
  Reader reader;
  reader.Start();
  reader.Read("18", {2, 106}, 5000);
  reader.Read("18", {1, 112}, 9000);
  BOOST_TEST(!reader.ConfirmedAt(9000));
}

}  // namespace
}  // namespace toucanwharf::instance
