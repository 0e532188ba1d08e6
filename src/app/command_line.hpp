#pragma once
/// @file
/// Parses the program's command line. Used by main().

#include <optional>
#include <string>

namespace asterstair::app {

/// Options of the command line.
struct CommandLine {
  std::string settings_file;  ///< Path of the settings file (TOML).
  std::string features_file;  ///< Path of the features file (TOML). Empty: all features are off.
  std::string admin_command;  ///< Administrators' command for provisioning. Empty: run a node.
  bool check = false;         ///< Whether to validate the files and exit.
};

/// The options, or the exit status if the program ends without running.
struct ParsedCommandLine {
  std::optional<CommandLine> command_line;  ///< None after --help, --version or an error.
  int exit_status = 0;                      ///< Exit status if `command_line` is empty.
};

/// Parses the command line. Prints the help, the version or an error if there is nothing to run.
ParsedCommandLine parse_command_line(int argc, char** argv);

}  // namespace asterstair::app
