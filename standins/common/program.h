#ifndef TOUCANWHARF_STANDINS_COMMON_PROGRAM_H_
#define TOUCANWHARF_STANDINS_COMMON_PROGRAM_H_

#include <cstdint>
#include <cxxopts.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

/// Functions shared by the main functions of the stand-ins.
namespace toucanwharf::standins {

/// Parses the arguments, calls \p run with them and returns the exit code.
/// Handles --help, and prints any exception that \p run throws.
int RunMain(cxxopts::Options& options, int argc, char** argv,
            const std::function<void(const cxxopts::ParseResult&)>& run);

/// Returns the port of \p listen, "127.0.0.1:PORT". Throws std::runtime_error
/// for any other address: the stand-ins listen on loopback only.
std::uint16_t ListenPort(const std::string& listen);

/// Blocks SIGTERM and SIGINT in this thread and all threads it starts.
/// Precondition: no other thread has been started.
void BlockSignals();

/// Prints the line with the address on which the stand-in listens.
void AnnouncePort(std::uint16_t port);

/// Waits for SIGTERM or SIGINT. Precondition: BlockSignals was called.
void WaitForSignal();

/// Exits immediately with success; calls in flight are aborted.
[[noreturn]] void ExitNow();

/// Adds \p instance to the instance list of the platform at \p platform
/// ("ip:port"); does nothing if \p platform is empty.
void RegisterInstance(const std::string& platform,
                      const nlohmann::json& instance);

/// Removes \p id from the platform's instance list; does nothing if
/// \p platform is empty.
void RemoveInstance(const std::string& platform, const std::string& id);

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_COMMON_PROGRAM_H_
