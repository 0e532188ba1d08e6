#include "app/admin.hpp"

#include <iostream>
#include <vector>

#include "net/loop.hpp"
#include "provisioning/admin_commands.hpp"

namespace asterstair::app {

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

}  // namespace asterstair::app
