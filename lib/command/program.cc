#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <ostream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "subcommands.h"
#include "toucanwharf/command/arguments.h"

namespace toucanwharf::command {
namespace {

constexpr const char* kProgram = "toucanwharf";
constexpr const char* kExitCodes =
    "Exit codes: 0 done; 1 refused without effect; 2 invalid arguments; "
    "3 a document has problems;\n4 changed concurrently by another writer; "
    "5 may or may not have taken effect; 6 no answer;\n7 not found; "
    "8 incomplete or wrong answer.\n";

std::string EnvironmentName(const std::string& option) {
  return "TOUCANWHARF_" +
         absl::StrReplaceAll(absl::AsciiStrToUpper(option), {{"-", "_"}});
}

int PrintOverview(Streams& streams, int exit_code) {
  std::ostream& stream = exit_code == kExitOk ? streams.out : streams.err;
  stream << "Usage: " << kProgram << " SUBCOMMAND [options]\n\nSubcommands:\n";
  for (const Subcommand& subcommand : Subcommands()) {
    const std::string name = subcommand.name;
    stream << "  " << name << std::string(12 - name.size(), ' ')
           << subcommand.summary << "\n";
  }
  stream << "\n"
         << kProgram << " SUBCOMMAND --help prints the options; " << kProgram
         << " --version prints the version.\n"
         << kExitCodes;
  return exit_code;
}

cxxopts::Options OptionsOf(const Subcommand& subcommand) {
  cxxopts::Options options(std::string(kProgram) + " " + subcommand.name,
                           subcommand.summary);
  options.positional_help(subcommand.positional);
  options.custom_help("[options]");
  options.add_options()("h,help", "print this help")(
      "output", "output format: text or json",
      cxxopts::value<std::string>()->default_value("text"));
  subcommand.add_options(options);
  return options;
}

int RunSubcommand(const Subcommand& subcommand,
                  const std::vector<std::string>& arguments, Streams& streams) {
  cxxopts::Options options = OptionsOf(subcommand);
  std::vector<const char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  cxxopts::ParseResult parsed;
  try {
    parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    const Arguments parsed_arguments(parsed);
    if (parsed_arguments.Flag("help")) {
      streams.out << options.help() << "\n" << kExitCodes;
      return kExitOk;
    }
    const std::string output = parsed_arguments.Text("output");
    if (output != "text" && output != "json") {
      return Fail(streams, CommandError::kBadUsage, "--output " + output);
    }
    return subcommand.run(parsed_arguments, streams);
  } catch (const cxxopts::exceptions::exception& error) {
    return Fail(streams, CommandError::kBadUsage, error.what());
  }
}

}  // namespace

std::string Arguments::Text(const std::string& name) const {
  if (this->parsed.count(name) > 0) return this->parsed[name].as<std::string>();
  const char* value = std::getenv(EnvironmentName(name).c_str());
  if (value != nullptr) return value;
  return this->parsed[name].as<std::string>();
}

std::uint64_t Arguments::Number(const std::string& name) const {
  return this->parsed[name].as<std::uint64_t>();
}

double Arguments::Real(const std::string& name) const {
  return this->parsed[name].as<double>();
}

bool Arguments::Flag(const std::string& name) const {
  return this->parsed.count(name) > 0;
}

std::vector<std::string> Arguments::List(const std::string& name) const {
  return absl::StrSplit(this->Text(name), ',', absl::SkipEmpty());
}

std::vector<std::string> Arguments::Positional() const {
  // Avoids cxxopts' positional options, which split arguments at commas.
  return this->parsed.unmatched();
}

const std::vector<Subcommand>& Subcommands() {
  static const auto* const kSubcommands = new std::vector<Subcommand>{
      ValidateSubcommand(), ApplySubcommand(),  GetSubcommand(),
      DeleteSubcommand(),   StatusSubcommand(), EntriesSubcommand(),
      CallSubcommand(),     DrainSubcommand(),  TimelineSubcommand(),
      LoadSubcommand(),     ExplainSubcommand()};
  return *kSubcommands;
}

int RunProgram(const std::vector<std::string>& arguments, Streams streams) {
  if (arguments.empty()) return PrintOverview(streams, kExitUsage);
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    return PrintOverview(streams, kExitOk);
  }
  if (name == "--version") {
    streams.out << kProgram << " " << TOUCANWHARF_VERSION << "\n";
    return kExitOk;
  }
  const auto& subcommands = Subcommands();
  const auto found = std::find_if(subcommands.begin(), subcommands.end(),
                                  [&name](const Subcommand& subcommand) {
                                    return name == subcommand.name;
                                  });
  if (found == subcommands.end()) {
    streams.err << kProgram << ": unknown subcommand \"" << name << "\"\n\n";
    return PrintOverview(streams, kExitUsage);
  }
  return RunSubcommand(*found, arguments, streams);
}

int Fail(Streams& streams, const std::error_code& error,
         std::string_view detail) {
  streams.err << kProgram << ": " << detail << ": " << error.message() << "\n";
  if (error.category() == CommandCategory()) return error.value();
  return static_cast<int>(CommandError::kRefused);
}

}  // namespace toucanwharf::command
