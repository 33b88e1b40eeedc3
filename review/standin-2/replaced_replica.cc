// A planned replacement of a replica, followed by the loss of one disk.
//
// A new machine takes the place of a replica, which ends for good once the new
// one has been up for catchUpS. Then another replica loses its disk. CONFIG:
// the configuration that was acknowledged can be read, and a new one is
// acknowledged, recoveryS after all are back.
#include <signal.h>
#include <unistd.h>

#include "lab.h"

namespace {

using lab::record;

// Bounds of zupancic-fit, in milliseconds.
constexpr int64_t CATCH_UP_MS = 4'000;
constexpr int64_t GRACE_MS = 6'000;
constexpr int64_t RECOVERY_MS = 12'000;

constexpr int64_t SPARE_MARGIN_MS = 1'000;
constexpr int64_t BEFORE_LOSS_MS = 1'000;
// The site's after_ack_wipe has 3 s, its closing faults 1.5 s.
constexpr int64_t DOWN_MS = 1'500;
constexpr int64_t ACK_LIMIT_MS = 4'000;
constexpr int64_t EXTRA_MS = 10'000;
constexpr unsigned LIMIT_S = 115;

constexpr int64_t SECOND_VERSION = 5;
constexpr int64_t THIRD_VERSION = 8;

int play(const std::string& folder) {
  lab::deployment site(folder);
  site.add_zone("lj-bezigrad", 3, 4);
  site.add_zone("lj-vic", 2, 4);
  site.add_zone("kranj", 2, 4);
  lab::process& spare = site.add_spare_replica("kranj");
  if (!site.start())
    return lab::EXIT_NOT_RUN;
  std::vector<lab::process*> replicas = site.replicas();
  lab::process& lost = *replicas[1];
  lab::process& replaced = *replicas[2];
  site.start_process(spare, false);
  lab::sleep_ms(CATCH_UP_MS + SPARE_MARGIN_MS);
  if (!site.replace_config(SECOND_VERSION, ACK_LIMIT_MS))
    return lab::EXIT_NOT_RUN;
  site.send_signal(replaced, SIGTERM);
  if (site.wait_for_end(replaced, GRACE_MS) < 0)
    return lab::EXIT_NOT_RUN;
  lab::sleep_ms(BEFORE_LOSS_MS);
  if (lab::has_trouble()) {
    site.send_signal(lost, SIGKILL);
    site.wait_for_end(lost, GRACE_MS);
    site.wipe(lost);
    lab::sleep_ms(DOWN_MS);
    site.start_process(lost, false);
  }
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
