// Planned replacements of two replicas, one after the other.
//
// New machines take the places of two replicas. When both have been up for
// longer than catchUpS, the old ones are ended by SIGTERM in turn, for good.
// CONFIG: the configuration that was acknowledged can be read, and a new one is
// acknowledged, recoveryS after the last of them has ended.
#include <signal.h>
#include <unistd.h>

#include "lab.h"

namespace {

using lab::record;

// Bounds of zupancic-fit, in milliseconds.
constexpr int64_t CATCH_UP_MS = 4'000;
constexpr int64_t GRACE_MS = 6'000;
constexpr int64_t RECOVERY_MS = 12'000;
constexpr int64_t ACK_LIMIT_MS = 4'000;

constexpr int64_t CATCH_UP_MARGIN_MS = 2'000;
// Between the end of the first old replica and the SIGTERM of the second one.
constexpr int64_t PAUSE_MS = 1'300;
constexpr int64_t EXTRA_MS = 10'000;
constexpr unsigned LIMIT_S = 115;

constexpr int64_t SECOND_VERSION = 5;
constexpr int64_t THIRD_VERSION = 8;

// Returns whether the process ended by itself, with exit code 0.
bool end_for_good(lab::deployment& site, lab::process& old) {
  site.send_signal(old, SIGTERM);
  return site.wait_for_end(old, GRACE_MS) == 0;
}

int play(const std::string& folder) {
  lab::deployment site(folder);
  site.add_zone("lj-bezigrad", 3, 4);
  site.add_zone("lj-vic", 2, 4);
  site.add_zone("kranj", 2, 4);
  lab::process& first_successor = site.add_spare_replica("kranj");
  lab::process& second_successor = site.add_spare_replica("lj-vic");
  if (!site.start())
    return lab::EXIT_NOT_RUN;
  std::vector<lab::process*> replicas = site.replicas();
  lab::process& first = *replicas[2];
  lab::process& second = *replicas[1];
  site.start_process(first_successor, false);
  site.start_process(second_successor, false);
  lab::sleep_ms(CATCH_UP_MS + CATCH_UP_MARGIN_MS);
  if (!site.replace_config(SECOND_VERSION, ACK_LIMIT_MS))
    return lab::EXIT_NOT_RUN;
  if (!end_for_good(site, first))
    return lab::EXIT_NOT_RUN;
  lab::sleep_ms(PAUSE_MS);
  if (lab::has_trouble() && !end_for_good(site, second))
    return lab::EXIT_NOT_RUN;
  lab::sleep_ms(RECOVERY_MS);
  int64_t version = site.read_config(EXTRA_MS);
  bool is_acknowledged = site.replace_config(THIRD_VERSION, EXTRA_MS);
  bool is_held = version == SECOND_VERSION && is_acknowledged;
  return is_held ? lab::EXIT_HELD : lab::EXIT_BROKEN;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return lab::EXIT_NOT_RUN;
  ::alarm(LIMIT_S);
  int result = play(argv[1]);
  record("exit " + std::to_string(result));
  return result;
}
