#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>

#include "base/features.hpp"
#include "base/log.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "node/node.hpp"
#include "provisioning/admin_commands.hpp"

namespace {

using namespace asterstair;

// Of the memory, for requests that have not come whole.
constexpr std::size_t kBufferedPartOfMemory = 8;
constexpr std::size_t kLeastBuffered = std::size_t{1} * 1024 * 1024;

// Serves until the process is killed.
void serve(const Settings& settings, const Features& features) {
  net::LoopRuntime runtime(settings);
  Node node(runtime, settings, features);
  net::HttpServer::Limits limits;
  // The rest is for the node's own connections: state service, cloud, peers.
  limits.connections = settings.max_connections * 13 / 16;
  limits.kept = limits.connections * 7 / 8;
  limits.buffered = std::max(kLeastBuffered, settings.memory_bytes / kBufferedPartOfMemory);
  net::HttpServer server(runtime.loop(), limits,
                         [&](HttpRequest request, const net::Respond& respond) {
                           node.handle(std::move(request), respond);
                         });
  server.listen(settings.api_address);
  runtime.peers().listen([&](const std::string& message) { node.peer_message(message); });
  log::info("started in zone {}", settings.zone);
  for (const auto& limit : limits_too_small(settings)) log::error("{}", limit);
  node.start();
  runtime.run();
}

// Carries out an operator's command on the machine duty; 1 if that failed.
int run_admin_command(const std::string& command, const Settings& settings) {
  net::LoopRuntime runtime(settings);
  store::Store store(runtime, settings);
  provisioning::AdminCommands admin_commands(store);
  int status = 1;
  const auto done = [&](bool ok, const std::vector<std::string>& lines) {
    for (const auto& line : lines) std::cout << line << '\n';
    status = ok ? 0 : 1;
    uv_stop(runtime.loop());
  };
  if (command == "show") {
    admin_commands.show(done);
  } else if (command == "hand-over") {
    admin_commands.hand_over(done);
  } else {
    admin_commands.pause(command == "pause", done);
  }
  runtime.run();
  return status;
}

int run(int argc, char** argv) {
  CLI::App app{"asterstair: a cluster scheduler. Logging level: LOG_LEVEL=error|info|debug."};
  std::string config;
  std::string features_file;
  std::string admin_command;
  bool check = false;
  app.set_version_flag("--version", std::string("asterstair ") + ASTERSTAIR_VERSION);
  app.add_option("--config", config, "Settings file (TOML)")->required();
  app.add_option("--features", features_file, "Features file (TOML); without it all are off");
  app.add_option("--provisioning,--machine-duty", admin_command,
                 "Show or change who provisions machines, and exit")
      ->check(CLI::IsMember({"show", "pause", "resume", "hand-over"}));
  app.add_flag("--check", check, "Check the settings file and exit");
  CLI11_PARSE(app, argc, argv);

  Settings settings;
  Features features;
  try {
    settings = load_settings(config);
    if (!features_file.empty()) features = load_features(features_file);
  } catch (const SettingsError& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  if (check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  log::init(settings.node);
  if (!admin_command.empty()) return run_admin_command(admin_command, settings);
  serve(settings, features);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "asterstair: %s\n", e.what());
  } catch (...) {
    std::fputs("asterstair: ended by an unknown exception\n", stderr);
  }
  return 1;
}
