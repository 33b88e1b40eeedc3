// Settings of one process of a seeded deployment: it is told its own addresses
// and a few seeds, and finds everything else.
//
// A JSON file with comments; `deploy/host.json` is the template from which a
// platform makes it. Unknown keys, wrong types and values out of range are
// refused with the key's path. The file may change while the process runs; it
// is read again then, and a bad file is logged and the old one kept.
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
  // Addresses are "ip:port"; empty: not served by this process.
  std::string callers;
  std::string readiness;
  std::string control;
  std::string metrics;
  // For the project's own processes; also this process's name among them.
  std::string rpc;
  // `rpc` addresses of replicas that existed when the file was written.
  std::vector<std::string> seeds;
  // Whether the deployment starts for the first time, with empty disks.
  bool bootstrap = false;
  std::string data_folder;
  // Longest lease that an upstream grants to its runs.
  int64_t run_lease_ms = 1000;
  // Hosts with a disk that may be lost at a time.
  int64_t tolerated_hosts = 1;
  // Longest time between a request to stop and the end of the process.
  int64_t stop_grace_ms = 6000;
};

result<host_settings> parse_host_settings(std::string_view text);

// Reads and parses a file; errors name it.
result<host_settings> load_host_settings(const std::string& path);

// A file's whole content, or nothing when it can't be read.
std::optional<std::string> read_text(const std::string& path);

// The ip of an "ip:port" address.
std::string_view ip_of(std::string_view address);

// The port of an "ip:port" address, as text.
std::string_view port_of(std::string_view address);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_HOST_SETTINGS_H_
