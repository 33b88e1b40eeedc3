// cyclamenwood-entryd: the daemon of an entry host. Parses the command line,
// loads the settings and runs the daemon for their kind of deployment.
#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include "cyclamenwood/entry_daemon.h"
#include "cyclamenwood/host_entry_daemon.h"
#include "cyclamenwood/util/log.h"
#include "cyclamenwood/util/program.h"
#include "platform/adapter.h"

namespace cyclamenwood {
namespace {

constexpr const char* PROGRAM = "cyclamenwood-entryd";

constexpr const char* HELP =
    R"(Usage: cyclamenwood-entryd --settings FILE --name NAME

       cyclamenwood-entryd --host [FILE]

Serves callers, upstreams and operators on the entry host NAME of the
deployment described in FILE. On SIGTERM the process drains: it finishes the
running work and exits.

  -s, --settings FILE   the deployment's settings
  -n, --name NAME       the name of this entry host in the settings
      --host [=FILE]    this host's own settings, for a deployment that is
                        discovered through seeds; default: $CYCLAMENWOOD_CONFIG
  -h, --help            print this help

Exit codes: 0 drained, 2 invalid command line or settings, 4 port in use.
)";

int run_host(const std::string& path) {
  result<host_settings> loaded = load_host_settings(path);
  if (!ok(loaded))
    return report_error(PROGRAM, failure(loaded));
  auto daemon = std::make_unique<host_entry_daemon<platform::adapter>>(
      value(loaded), path);
  result<done> ended = daemon->run();
  daemon.reset();
  log_line(log_level::info, "ended", "");
  return ok(ended) ? EXIT_CODE_OK : report_error(PROGRAM, failure(ended));
}

int run_program(int argc, char** argv) {
  std::string settings_path;
  std::string name;
  std::string host_path;
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"name", required_argument, nullptr, 'n'},
                            {"host", optional_argument, nullptr, 'H'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "s:n:h", options, nullptr)) != -1) {
    switch (choice) {
      case 's':
        settings_path = optarg;
        break;
      case 'n':
        name = optarg;
        break;
      case 'H':
        host_path = host_settings_path(optarg);
        break;
      case 'h':
        fmt::print("{}", HELP);
        return EXIT_CODE_OK;
      default:
        return EXIT_CODE_USAGE;
    }
  }
  disable_lock_order_checks();
  std::signal(SIGPIPE, SIG_IGN);
  if (!host_path.empty())
    return run_host(host_path);
  if (settings_path.empty() || name.empty())
    return report_error(PROGRAM, error{error_code::usage,
                                       "--settings and --name are required"});
  result<settings> loaded = load_settings(settings_path);
  if (!ok(loaded))
    return report_error(PROGRAM, failure(loaded));
  set_log_level(value(loaded).level);
  result<done> ended = run_entry_daemon(value(loaded), name);
  return ok(ended) ? EXIT_CODE_OK : report_error(PROGRAM, failure(ended));
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  return cyclamenwood::run_program(argc, argv);
}
