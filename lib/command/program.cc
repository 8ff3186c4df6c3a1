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
    "Exit codes: 0 done; 1 refused, surely without effect; 2 wrong arguments; "
    "3 a document has problems;\n4 changed meanwhile by somebody else; 5 may "
    "or "
    "may not have taken effect; 6 no answer; 7 not found;\n8 incomplete or "
    "wrong answer.\n";

std::string EnvironmentName(const std::string& option) {
  return "TOUCANWHARF_" +
         absl::StrReplaceAll(absl::AsciiStrToUpper(option), {{"-", "_"}});
}

int PrintOverview(Streams& streams, int exit_code) {
  std::ostream& to = exit_code == kExitOk ? streams.out : streams.err;
  to << "Usage: " << kProgram << " SUBCOMMAND [options]\n\nSubcommands:\n";
  for (const Subcommand& subcommand : Subcommands()) {
    const std::string name = subcommand.name;
    to << "  " << name << std::string(12 - name.size(), ' ')
       << subcommand.summary << "\n";
  }
  to << "\n"
     << kProgram << " SUBCOMMAND --help tells the options; " << kProgram
     << " --version the version.\n"
     << kExitCodes;
  return exit_code;
}

cxxopts::Options OptionsOf(const Subcommand& subcommand) {
  cxxopts::Options options(std::string(kProgram) + " " + subcommand.name,
                           subcommand.summary);
  options.positional_help(subcommand.positional);
  options.custom_help("[options]");
  options.add_options()("h,help", "print this")(
      "output", "form of the result: text or json",
      cxxopts::value<std::string>()->default_value("text"));
  subcommand.add_options(options);
  return options;
}

int RunSubcommand(const Subcommand& subcommand,
                  const std::vector<std::string>& arguments, Streams& streams) {
  cxxopts::Options options = OptionsOf(subcommand);
  std::vector<const char*> words;
  for (const std::string& argument : arguments) {
    words.push_back(argument.c_str());
  }
  cxxopts::ParseResult parsed;
  try {
    parsed = options.parse(static_cast<int>(words.size()), words.data());
    const Arguments given(parsed);
    if (given.Flag("help")) {
      streams.out << options.help() << "\n" << kExitCodes;
      return kExitOk;
    }
    const std::string output = given.Text("output");
    if (output != "text" && output != "json") {
      return Fail(streams, CommandError::kBadUsage, "--output " + output);
    }
    return subcommand.run(given, streams);
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
  // Not by cxxopts' positional options, which split a text at its commas.
  return this->parsed.unmatched();
}

const std::vector<Subcommand>& Subcommands() {
  static const auto* const kAll = new std::vector<Subcommand>{
      ValidateSubcommand(), ApplySubcommand(),  GetSubcommand(),
      DeleteSubcommand(),   StatusSubcommand(), EntriesSubcommand(),
      CallSubcommand(),     DrainSubcommand(),  TimelineSubcommand(),
      LoadSubcommand(),     ExplainSubcommand()};
  return *kAll;
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
  const auto& all = Subcommands();
  const auto chosen = std::find_if(all.begin(), all.end(),
                                   [&name](const Subcommand& subcommand) {
                                     return name == subcommand.name;
                                   });
  if (chosen == all.end()) {
    streams.err << kProgram << ": no subcommand \"" << name << "\"\n\n";
    return PrintOverview(streams, kExitUsage);
  }
  return RunSubcommand(*chosen, arguments, streams);
}

int Fail(Streams& streams, const std::error_code& error,
         std::string_view detail) {
  streams.err << kProgram << ": " << detail << ": " << error.message() << "\n";
  if (error.category() == CommandCategory()) return error.value();
  return static_cast<int>(CommandError::kRefused);
}

}  // namespace toucanwharf::command
