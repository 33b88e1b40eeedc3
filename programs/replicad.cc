// cyclamenwood-replicad: the daemon of one replica of the replicated logs, and
// the command that formats its data folder.
#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <string>

#include "cyclamenwood/control_daemon.h"
#include "cyclamenwood/replica_daemon.h"
#include "cyclamenwood/util/log.h"
#include "cyclamenwood/util/program.h"
#include "cyclamenwood/wal.h"
#include "platform/adapter.h"

namespace cyclamenwood {
namespace {

constexpr const char* PROGRAM = "cyclamenwood-replicad";

constexpr const char* HELP =
    R"(Usage: cyclamenwood-replicad --settings FILE --name NAME --data DIR
       cyclamenwood-replicad format --name NAME --data DIR
       cyclamenwood-replicad --host [FILE]

Runs the replicas that the settings place on NAME and stores their log in DIR.
`format` initialises DIR and prints its new identity. For a new deployment, add
the identity to the settings. A folder that replaces a lost one joins
automatically; the settings need no change. On SIGTERM the process transfers
leadership and exits.

  -s, --settings FILE   the deployment's settings
  -n, --name NAME       the name of this replica in the settings
  -d, --data DIR        the data folder
      --host [=FILE]    this host's own settings, for a deployment that is
                        discovered through seeds; default: $CYCLAMENWOOD_CONFIG
  -h, --help            print this help

Exit codes: 0 drained, 2 invalid command line or settings, 4 log or port
unusable.
)";

struct arguments {
  std::string settings_path;
  std::string name;
  std::string folder;
  std::string host_path;
  bool format = false;
};

int format(const arguments& args) {
  result<uint64_t> identity = format_folder(args.folder, args.name);
  if (!ok(identity))
    return report_error(PROGRAM, failure(identity));
  fmt::print("{:016x}\n", value(identity));
  return EXIT_CODE_OK;
}

int run(const arguments& args) {
  result<settings> loaded = load_settings(args.settings_path);
  if (!ok(loaded))
    return report_error(PROGRAM, failure(loaded));
  set_log_level(value(loaded).level);
  result<done> ended =
      run_replica_daemon(value(loaded), args.name, args.folder);
  return ok(ended) ? EXIT_CODE_OK : report_error(PROGRAM, failure(ended));
}

int run_host(const arguments& args) {
  result<host_settings> loaded = load_host_settings(args.host_path);
  if (!ok(loaded))
    return report_error(PROGRAM, failure(loaded));
  control_daemon<platform::adapter> daemon(value(loaded), args.host_path);
  result<done> ended = daemon.run();
  return ok(ended) ? EXIT_CODE_OK : report_error(PROGRAM, failure(ended));
}

int run_program(int argc, char** argv) {
  arguments args;
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"name", required_argument, nullptr, 'n'},
                            {"data", required_argument, nullptr, 'd'},
                            {"host", optional_argument, nullptr, 'H'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "s:n:d:h", options, nullptr)) !=
         -1) {
    switch (choice) {
      case 's':
        args.settings_path = optarg;
        break;
      case 'n':
        args.name = optarg;
        break;
      case 'd':
        args.folder = optarg;
        break;
      case 'H':
        args.host_path = host_settings_path(optarg);
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
  // A write beyond the file size limit then fails with EFBIG instead of
  // terminating the process.
  std::signal(SIGXFSZ, SIG_IGN);
  if (!args.host_path.empty())
    return run_host(args);
  args.format = optind < argc && std::string(argv[optind]) == "format";
  if (args.name.empty() || args.folder.empty())
    return report_error(
        PROGRAM, error{error_code::usage, "--name and --data are required"});
  if (args.format)
    return format(args);
  if (args.settings_path.empty())
    return report_error(PROGRAM,
                        error{error_code::usage, "--settings is required"});
  return run(args);
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  return cyclamenwood::run_program(argc, argv);
}
