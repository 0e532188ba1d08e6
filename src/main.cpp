#include <csignal>
#include <cstdio>
#include <iostream>

#include "app/admin.hpp"
#include "app/command_line.hpp"
#include "app/serve.hpp"
#include "base/features.hpp"
#include "base/log.hpp"

namespace {

using namespace asterstair;

constexpr int kInvalidSettingsStatus = 2;  // exit status if a settings or features file is invalid

int run(int argc, char** argv) {
  const auto parsed = app::parse_command_line(argc, argv);
  if (!parsed.command_line) return parsed.exit_status;
  const app::CommandLine& command_line = *parsed.command_line;

  Settings settings;
  Features features;
  try {
    settings = load_settings(command_line.settings_file);
    if (!command_line.features_file.empty()) features = load_features(command_line.features_file);
  } catch (const SettingsError& error) {
    std::cerr << error.what() << '\n';
    return kInvalidSettingsStatus;
  }
  if (command_line.check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  // A write to a connection that the peer has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  log::init(settings.node);
  if (!command_line.admin_command.empty()) {
    return app::run_admin_command(command_line.admin_command, settings);
  }
  app::serve(settings, features);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "asterstair: %s\n", error.what());
  } catch (...) {
    std::fputs("asterstair: ended by an unknown exception\n", stderr);
  }
  return 1;
}
