// A whole deployment of real processes on 127.0.0.0/8, for tests, the demo
// and measurements: entry hosts, replicas and stand-in upstreams, with every
// link between processes going through a fault-injecting proxy.
//
//   deployment site({.zones = {"lj-bezigrad", "lj-vic", "kranj"}});
//   site.start();
//   site.roll_out(1);
//   http_reply reply = site.submit("kranj-1", "kranj:order-1", 3, "ms=50");
#ifndef CYCLAMENWOOD_TESTING_DEPLOYMENT_H_
#define CYCLAMENWOOD_TESTING_DEPLOYMENT_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cyclamenwood/testing/fault_proxy.h"
#include "cyclamenwood/types.h"

namespace cyclamenwood {

struct deployment_options {
  std::vector<std::string> zones = {"lj-bezigrad", "lj-vic", "kranj"};
  int entry_hosts_a_zone = 2;
  int replicas_a_zone = 2;
  int upstreams_a_zone = 2;
  int slots = 8;
  std::string service = "fit-desk";
  // Every link through the proxy, not only those between zones.
  bool proxy_all_links = false;
  bool proxy_links = true;
  double zone_delay_ms = 0;
  // Merged into the settings.
  nlohmann::json settings = nlohmann::json::object();
};

struct http_reply {
  // 0: no answer.
  long status = 0;
  std::string body;

  nlohmann::json json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
  // "complete", an error's type, or "no_answer".
  std::string outcome() const;
  std::string execution() const;
};

// One line of the stand-ins' log.
struct start_record {
  unix_ms time_ms = 0;
  std::string upstream;
  std::string identity;
  std::string tenant;
  size_t index = 0;
  std::string key;
};

http_reply http_call(const std::string& address,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body = {},
                     int64_t timeout_ms = 30'000);

// Where the built program is.
std::string program_path(const std::string& name);

// Waits until the condition holds; false after the limit.
bool wait_until(const std::function<bool()>& condition,
                int64_t limit_ms = 20'000);

nlohmann::json make_job(const std::string& key,
                        size_t tasks,
                        const std::string& payload,
                        unix_ms deadline_ms,
                        const std::string& service = "fit-desk");

class deployment {
 public:
  explicit deployment(deployment_options options = {});
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  ~deployment();

  // Formats, writes the settings and starts everything.
  void start();
  // Bundle of this version, replacing the one before; waits until it is in
  // force at every running entry host.
  bool start_serving();
  http_reply roll_out(uint64_t version,
                      const std::string& entry_host = {},
                      const std::string& remark = {});
  std::string bundle_text(uint64_t version,
                          uint64_t replaces,
                          const std::string& remark = {}) const;

  // ---- Processes, by name ("kranj-1", "kranj-r1", "upstreams-kranj").
  void start_process(const std::string& name);
  void signal_process(const std::string& name, int signal);
  void kill_process(const std::string& name);
  // SIGTERM; the exit code, or -1 when it did not end in time.
  int stop_process(const std::string& name, int64_t limit_ms = 20'000);
  bool is_running(const std::string& name);
  pid_t pid_of(const std::string& name) const;
  // Exit code of a process that ended by itself, or -1.
  int wait_for_exit(const std::string& name, int64_t limit_ms = 20'000);
  std::string log_of(const std::string& name) const;
  // For the message of a failed check: what each process says of itself now,
  // and the end of its log.
  std::string describe();
  void wipe_data(const std::string& replica);
  // The process can't write files beyond this size: a full disk.
  void limit_file_size(const std::string& name, int64_t bytes);
  void format_data(const std::string& replica);
  std::string data_folder(const std::string& replica) const;

  // ---- Faults of links.
  void cut_zone(const std::string& zone);
  void cut_process(const std::string& name);
  // Holds only what `from` sends to `to`, whoever opened the connection.
  void cut_one_way(const std::string& from, const std::string& to);
  void heal();

  // ---- HTTP.
  http_reply call(const std::string& process,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body = {},
                  int64_t timeout_ms = 30'000);
  http_reply submit(const std::string& entry_host,
                    const std::string& key,
                    size_t tasks,
                    const std::string& payload,
                    int64_t deadline_in_ms = 10'000);
  nlohmann::json status(const std::string& process);
  std::string leader_of(const std::string& group);
  http_reply control_upstream(const std::string& id, const std::string& order);

  std::vector<start_record> starts() const;
  size_t starts_of(const std::string& key) const;
  // Highest number of starts of one (tenant, key, task).
  size_t max_starts() const;

  std::vector<std::string> entry_hosts() const;
  std::vector<std::string> entry_hosts_in(const std::string& zone) const;
  std::vector<std::string> replicas() const;
  std::vector<std::string> upstream_ids() const;
  std::string http_address(const std::string& process) const;
  std::string upstream_address(const std::string& id) const;
  std::string settings_path() const;
  const deployment_options& options() const { return options_; }

 private:
  struct process {
    std::string name;
    std::string zone;
    std::string http;
    std::string rpc;
    std::vector<std::string> command;
    pid_t pid = -1;
  };
  struct link {
    std::string from;
    std::string to;
    int index = -1;
    link_fault fault;
  };

  void plan();
  nlohmann::json settings_json();
  nlohmann::json groups_json() const;
  nlohmann::json links_json();
  void apply(link& changed, const link_fault& fault);
  std::string zone_of(const std::string& process) const;
  std::string new_ip();

  deployment_options options_;
  std::string folder_;
  std::string ip_prefix_;
  int next_ip_ = 1;
  int next_port_ = 20'000;
  std::map<std::string, process> processes_;
  std::vector<std::string> entry_names_;
  std::vector<std::string> replica_names_;
  std::map<std::string, std::string> upstream_addresses_;
  std::map<std::string, std::string> identities_;
  std::vector<link> links_;
  std::unique_ptr<fault_proxy> proxy_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_DEPLOYMENT_H_
