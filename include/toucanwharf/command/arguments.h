#ifndef TOUCANWHARF_COMMAND_ARGUMENTS_H_
#define TOUCANWHARF_COMMAND_ARGUMENTS_H_

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/command/errors.h"
#include "toucanwharf/support/result.h"

namespace cxxopts {
class Options;
class ParseResult;
}  // namespace cxxopts

namespace toucanwharf::command {

/// Where a subcommand writes: results to out, progress and errors to err.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

/// The arguments of one subcommand, read.
/// Thread safety: safe once made.
class Arguments {
 public:
  /// Precondition: \p options outlives the object.
  explicit Arguments(const cxxopts::ParseResult& options) : parsed(options) {}

  /// Returns an option's text; without it the environment variable
  /// TOUCANWHARF_{NAME}, without that the default.
  std::string Text(const std::string& name) const;
  /// Returns an option's number. Precondition: the option is one.
  std::uint64_t Number(const std::string& name) const;
  double Real(const std::string& name) const;
  bool Flag(const std::string& name) const;
  /// Returns the parts of an option between commas.
  std::vector<std::string> List(const std::string& name) const;
  /// Returns the arguments that are no options.
  std::vector<std::string> Positional() const;
  bool Json() const { return this->Text("output") == "json"; }

 private:
  const cxxopts::ParseResult& parsed;
};

/// One subcommand of the program.
struct Subcommand {
  const char* name;
  const char* summary;
  /// What follows the options in the usage line.
  const char* positional;
  void (*add_options)(cxxopts::Options&);
  /// Returns the exit code.
  int (*run)(const Arguments&, Streams&);
};

/// Returns all subcommands in the order of the help text.
/// Thread safety: safe.
const std::vector<Subcommand>& Subcommands();

/// Runs the program with the arguments after its own name and returns its exit
/// code. Thread safety: safe; blocks.
int RunProgram(const std::vector<std::string>& arguments, Streams streams);

/// Writes "toucanwharf: detail: message" to err and returns the exit code of
/// \p error. Thread safety: as the stream.
int Fail(Streams& streams, const std::error_code& error,
         std::string_view detail);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_ARGUMENTS_H_
