// Settings of one process of a seeded deployment. A process is given its own
// addresses and a few seeds, and discovers everything else.
//
// The format is JSON with comments; `deploy/host.json` is the template from
// which a platform makes the file. Unknown keys, wrong types and values out of
// range are refused with the key's path. The file may change while the process
// runs (settings_watch.h).
#ifndef CYCLAMENWOOD_HOST_SETTINGS_H_
#define CYCLAMENWOOD_HOST_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenwood/error.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

struct host_settings {
  std::string name;
  std::string zone;
  // Listening addresses, "ip:port"; empty: not served by this process.
  std::string callers;
  std::string readiness;
  std::string control;
  std::string metrics;
  // Address for messages between processes; also identifies this process to the
  // others.
  std::string rpc;
  // `rpc` addresses of replicas that existed when the file was written.
  std::vector<std::string> seeds;
  // The deployment is started for the first time, with empty disks.
  bool bootstrap = false;
  std::string data_folder;
  // Longest lease that an upstream grants to a run.
  int64_t run_lease_ms = 1000;
  // Callers without an answer submit their job again after this time at the
  // earliest.
  int64_t resubmission_ms = 1300;
  // Number of hosts with a disk that may be lost at the same time.
  int64_t tolerated_hosts = 1;
  // Longest time from the request to stop until the exit of the process.
  int64_t stop_grace_ms = 6000;
  // Processor capacity of the host, in thousandths of a core; 0: not known.
  int64_t processor_milli = 0;
  // Names of the availability zones; empty: not known. Where evacuations are
  // served they consist of letters, digits and `-._~`, and `zone` is one of
  // them.
  std::vector<std::string> zones;
  // Longest time from the acknowledgement of an evacuation until no task is
  // started in the zone any more; 0: evacuations are not served.
  int64_t evacuation_ms = 0;
  // Pools learn how fast each upstream is, and use it for placement.
  bool learn_speeds = false;
  // Pools reserve upstreams for tasks that fit on none at present.
  bool reserve_for_waiting = false;
};

// Parses the text of a settings file.
result<host_settings> parse_host_settings(std::string_view text);

// Reads and parses a file; error messages name it.
result<host_settings> load_host_settings(const std::string& path);

// Returns the whole content of a file, or nothing when it cannot be read.
std::optional<std::string> read_text_file(const std::string& path);

// Whether the text may be the name of a zone that can be evacuated: it stands
// in a path of operators' requests as it is, without an encoding.
bool is_zone_name(std::string_view text);

// Returns the IP address of an "ip:port" address.
std::string_view ip_of(std::string_view address);

// Returns the port of an "ip:port" address as text, or an empty string when it
// has none.
std::string_view port_of(std::string_view address);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HOST_SETTINGS_H_
