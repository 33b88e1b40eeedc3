// Random runs of simulated deployments (testing/host_model.h), one for each
// seed: `host_soak --first=1 --count=50 --max-run-ms=3000 --cut-hosts`. Prints
// each violation; the exit code is then 1. `--help` lists the options.
#include <fmt/format.h>
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "cyclamenwood/testing/host_model.h"

namespace cyclamenwood {
namespace {

constexpr int64_t FAULTY_MS = 8'000;
constexpr int64_t CALM_MS = 8'000;
constexpr int USAGE_ERROR = 2;

constexpr const char* USAGE =
    "host_soak [option...]\n"
    "  --first=SEED              first seed (1)\n"
    "  --count=NUMBER            number of seeds (50)\n"
    "  --trace                   print the events of each run\n"
    "  --max-run-ms=MS           longest run of a task (500)\n"
    "  --crashing-jobs=SHARE     jobs that crash upstreams\n"
    "  --leaving-callers=SHARE   callers that leave before an answer\n"
    "  --late-orders=SHARE       orders that are carried out 2 to 12 s later\n"
    "  --refused-orders=SHARE    orders that an unhealthy upstream refuses\n"
    "  --lost-replies=SHARE      orders that are carried out without a reply\n"
    "  --slow-clocks=SHARE       by which clocks of upstreams are slow at "
    "most\n"
    "  --changing-capacity --restarting-clocks --cut-upstreams --cut-hosts\n"
    "  --fault-series --draining-hosts --evacuations\n";

struct soak_options {
  uint64_t first = 1;
  uint64_t count = 50;
  bool trace = false;
  bool help = false;
  bool valid = true;
  host_model_options model;
};

void apply(soak_options& options, const std::string& name, const char* text) {
  host_model_options& model = options.model;
  if (name == "first")
    options.first = std::strtoull(text, nullptr, 10);
  else if (name == "count")
    options.count = std::strtoull(text, nullptr, 10);
  else if (name == "trace")
    options.trace = true;
  else if (name == "help")
    options.help = true;
  else if (name == "max-run-ms")
    model.max_run_ms = std::strtoll(text, nullptr, 10);
  else if (name == "crashing-jobs")
    model.crashing_jobs = std::strtod(text, nullptr);
  else if (name == "leaving-callers")
    model.leaving_callers = std::strtod(text, nullptr);
  else if (name == "late-orders")
    model.late_orders = std::strtod(text, nullptr);
  else if (name == "refused-orders")
    model.refused_orders = std::strtod(text, nullptr);
  else if (name == "lost-replies")
    model.lost_replies = std::strtod(text, nullptr);
  else if (name == "slow-clocks")
    model.slow_clocks = std::strtod(text, nullptr);
  else if (name == "changing-capacity")
    model.changing_capacity = true;
  else if (name == "restarting-clocks")
    model.restarting_clocks = true;
  else if (name == "cut-upstreams")
    model.cut_upstreams = true;
  else if (name == "cut-hosts")
    model.cut_hosts = true;
  else if (name == "fault-series")
    model.fault_series = true;
  else if (name == "draining-hosts")
    model.draining_hosts = true;
  else if (name == "evacuations")
    model.evacuations = true;
}

soak_options parse_options(int argc, char** argv) {
  static const option names[] = {
      {"first", required_argument, nullptr, 0},
      {"count", required_argument, nullptr, 0},
      {"trace", no_argument, nullptr, 0},
      {"help", no_argument, nullptr, 0},
      {"max-run-ms", required_argument, nullptr, 0},
      {"crashing-jobs", required_argument, nullptr, 0},
      {"leaving-callers", required_argument, nullptr, 0},
      {"late-orders", required_argument, nullptr, 0},
      {"refused-orders", required_argument, nullptr, 0},
      {"lost-replies", required_argument, nullptr, 0},
      {"slow-clocks", required_argument, nullptr, 0},
      {"changing-capacity", no_argument, nullptr, 0},
      {"restarting-clocks", no_argument, nullptr, 0},
      {"cut-upstreams", no_argument, nullptr, 0},
      {"cut-hosts", no_argument, nullptr, 0},
      {"fault-series", no_argument, nullptr, 0},
      {"draining-hosts", no_argument, nullptr, 0},
      {"evacuations", no_argument, nullptr, 0},
      {nullptr, 0, nullptr, 0}};
  soak_options options;
  int index = 0;
  int found = 0;
  while ((found = getopt_long(argc, argv, "", names, &index)) == 0)
    apply(options, names[index].name, optarg);
  options.valid = found == -1 && optind == argc;
  return options;
}

// Returns what is wrong with the run; empty: nothing.
std::string run_seed(uint64_t seed, const soak_options& options) {
  host_model_options model_options = options.model;
  if (options.trace)
    model_options.trace = [](const std::string& line) {
      fmt::print("{}\n", line);
    };
  host_model model(seed, model_options);
  model.run(FAULTY_MS, CALM_MS);
  if (model.violation())
    return *model.violation();
  if (model.open_jobs() > 0)
    return fmt::format("{} callers have no answer", model.open_jobs());
  return {};
}

int soak(const soak_options& options) {
  uint64_t violations = 0;
  for (uint64_t i = 0; i < options.count; ++i) {
    uint64_t seed = options.first + i;
    std::string wrong = run_seed(seed, options);
    if (wrong.empty())
      continue;
    ++violations;
    fmt::print("seed {}: {}\n", seed, wrong);
    std::fflush(stdout);
  }
  fmt::print("{} seeds from {}: {} violations\n", options.count, options.first,
             violations);
  return violations == 0 ? 0 : 1;
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  cyclamenwood::soak_options options = cyclamenwood::parse_options(argc, argv);
  if (!options.valid || options.help) {
    fmt::print(stderr, "{}", cyclamenwood::USAGE);
    return options.help ? 0 : cyclamenwood::USAGE_ERROR;
  }
  return cyclamenwood::soak(options);
}
