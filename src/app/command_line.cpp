#include "app/command_line.hpp"

#include <CLI/CLI.hpp>

namespace asterstair::app {

ParsedCommandLine parse_command_line(int argc, char** argv) {
  CLI::App parser{"asterstair: a cluster scheduler. Logging level: LOG_LEVEL=error|info|debug."};
  CommandLine out;
  parser.set_version_flag("--version", std::string("asterstair ") + ASTERSTAIR_VERSION);
  parser.add_option("--config", out.settings_file, "Settings file (TOML)")->required();
  parser.add_option("--features", out.features_file,
                    "Features file (TOML); without it all are off");
  // --machine-duty is the former name of --provisioning, accepted for compatibility.
  parser
      .add_option("--provisioning,--machine-duty", out.admin_command,
                  "Show or change who provisions machines, and exit")
      ->check(CLI::IsMember({"show", "pause", "resume", "hand-over"}));
  parser.add_flag("--check", out.check, "Check the settings file and exit");
  try {
    parser.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return {std::nullopt, parser.exit(error)};
  }
  return {std::move(out), 0};
}

}  // namespace asterstair::app
