// cyclamenwood-replicad: the process of one replica of the replicated logs.
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

Holds the replicas that the settings place on NAME, with their log under DIR.
`format` makes DIR ready and prints its new identity. For a new deployment the
identity goes into the settings; a folder that replaces a lost one joins by
itself, and the settings stay as they are. SIGTERM hands leadership over and
exits.

  -s, --settings FILE   the deployment's settings
  -n, --name NAME       this replica's name in the settings
  -d, --data DIR        the data folder
      --host [=FILE]    this host's own settings, in a deployment that is found
                        from seeds; default: $CYCLAMENWOOD_CONFIG
  -h, --help            this text

Exit codes: 0 drained, 2 command line or settings, 4 log or port unusable.
)";

struct arguments {
  std::string settings_path;
  std::string name;
  std::string folder;
  std::string host_path;
  bool format = false;
};

int format(const arguments& given) {
  result<uint64_t> identity = format_folder(given.folder, given.name);
  if (!ok(identity))
    return report_error(PROGRAM, failure(identity));
  fmt::print("{:016x}\n", value(identity));
  return EXIT_CODE_OK;
}

int run(const arguments& given) {
  result<settings> loaded = load_settings(given.settings_path);
  if (!ok(loaded))
    return report_error(PROGRAM, failure(loaded));
  set_log_level(value(loaded).level);
  result<done> ended =
      run_replica_daemon(value(loaded), given.name, given.folder);
  return ok(ended) ? EXIT_CODE_OK : report_error(PROGRAM, failure(ended));
}

int run_host(const arguments& given) {
  result<host_settings> loaded = load_host_settings(given.host_path);
  if (!ok(loaded))
    return report_error(PROGRAM, failure(loaded));
  control_daemon<platform::adapter> daemon(value(loaded), given.host_path);
  result<done> ended = daemon.run();
  return ok(ended) ? EXIT_CODE_OK : report_error(PROGRAM, failure(ended));
}

int run_program(int argc, char** argv) {
  arguments given;
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
        given.settings_path = optarg;
        break;
      case 'n':
        given.name = optarg;
        break;
      case 'd':
        given.folder = optarg;
        break;
      case 'H':
        given.host_path = host_settings_path(optarg);
        break;
      case 'h':
        fmt::print("{}", HELP);
        return EXIT_CODE_OK;
      default:
        return EXIT_CODE_USAGE;
    }
  }
  std::signal(SIGPIPE, SIG_IGN);
  // A file size limit shows as a failed write.
  std::signal(SIGXFSZ, SIG_IGN);
  if (!given.host_path.empty())
    return run_host(given);
  given.format = optind < argc && std::string(argv[optind]) == "format";
  if (given.name.empty() || given.folder.empty())
    return report_error(
        PROGRAM, error{error_code::usage, "--name and --data are needed"});
  if (given.format)
    return format(given);
  if (given.settings_path.empty())
    return report_error(PROGRAM,
                        error{error_code::usage, "--settings is needed"});
  return run(given);
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  return cyclamenwood::run_program(argc, argv);
}
