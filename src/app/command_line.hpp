#pragma once
/// @file
/// The program's command line. Used by main().

#include <optional>
#include <string>

namespace asterstair::app {

/// What the command line asks for.
struct CommandLine {
  std::string settings_file;  ///< Path of the settings file (TOML).
  std::string features_file;  ///< Path of the features file (TOML); empty if all are off.
  std::string admin_command;  ///< Admin command on provisioning; empty to serve.
  bool check = false;         ///< Whether to check the files and exit.
};

/// The command line, or how the program ends without one.
struct ParsedCommandLine {
  std::optional<CommandLine> command_line;  ///< None after --help, --version or a wrong flag.
  int exit_status = 0;                      ///< The status to exit with if there is none.
};

/// Parses the command line. Prints the help, the version or what is wrong with the command line.
ParsedCommandLine parse_command_line(int argc, char** argv);

}  // namespace asterstair::app
