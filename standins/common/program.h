#ifndef TOUCANWHARF_STANDINS_COMMON_PROGRAM_H_
#define TOUCANWHARF_STANDINS_COMMON_PROGRAM_H_

#include <cstdint>
#include <cxxopts.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

/// What the main functions of the stand-ins share.
namespace toucanwharf::standins {

/// Parses the arguments and runs \p run with them; the exit code of main.
/// Prints the help if asked for it, and what \p run throws.
int RunMain(cxxopts::Options& options, int argc, char** argv,
            const std::function<void(const cxxopts::ParseResult&)>& run);

/// Returns the port of \p listen, "127.0.0.1:PORT". Throws std::runtime_error
/// for any other address: the stand-ins serve the loopback only.
std::uint16_t ListenPort(const std::string& listen);

/// Blocks the signals that end the program in this and all later threads.
/// Precondition: no other thread runs yet.
void BlockSignals();

/// Prints the line that tells where the stand-in listens.
void AnnouncePort(std::uint16_t port);

/// Waits for SIGTERM or SIGINT and returns. Precondition: BlockSignals ran.
void WaitForSignal();

/// Ends the process at once with success; calls that wait are cut.
[[noreturn]] void ExitNow();

/// Puts \p instance onto the instance list of the platform at \p platform
/// ("ip:port"); nothing happens for an empty \p platform.
void RegisterInstance(const std::string& platform,
                      const nlohmann::json& instance);

/// Takes \p id from the platform's instance list.
void RemoveInstance(const std::string& platform, const std::string& id);

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_COMMON_PROGRAM_H_
