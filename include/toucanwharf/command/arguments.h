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

/// Output streams of a subcommand: results go to out, progress and errors to
/// err.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

/// The parsed arguments of one subcommand.
/// Thread safety: safe after construction.
class Arguments {
 public:
  /// Precondition: \p options outlives the object.
  explicit Arguments(const cxxopts::ParseResult& options) : parsed(options) {}

  /// Returns an option's text; if it is not given, the environment variable
  /// TOUCANWHARF_{NAME}, and without that the default.
  std::string Text(const std::string& name) const;
  /// Returns an option's value. Precondition: the option is an unsigned number.
  std::uint64_t Number(const std::string& name) const;
  double Real(const std::string& name) const;
  bool Flag(const std::string& name) const;
  /// Returns the comma-separated parts of an option.
  std::vector<std::string> List(const std::string& name) const;
  /// Returns the arguments that are not options.
  std::vector<std::string> Positional() const;
  bool Json() const { return this->Text("output") == "json"; }

 private:
  const cxxopts::ParseResult& parsed;
};

/// One subcommand of the program.
struct Subcommand {
  const char* name;
  const char* summary;
  /// Positional arguments as shown in the usage line.
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
