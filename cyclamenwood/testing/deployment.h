// A complete deployment of real processes on 127.0.0.0/8, for tests, the demo
// and measurements: entry hosts, replicas and stand-in upstreams. RPC links
// between zones, or all RPC links if so configured, pass through a
// fault-injecting proxy.
//
//   deployment site({.zones = {"lj-bezigrad", "lj-vic", "kranj"}});
//   site.start();
//   if (!site.start_serving())
//     ...  // site.describe() shows the state of each process
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
  // Of each upstream.
  int slots = 8;
  std::string service = "fit-desk";
  // Also sends the links within a zone through the proxy.
  bool proxy_all_links = false;
  // If false, no link goes through the proxy, and faults can't be injected.
  bool proxy_links = true;
  // One-way delay of the links between zones.
  double zone_delay_ms = 0;
  // Merged into the generated settings as a JSON merge patch.
  nlohmann::json settings = nlohmann::json::object();
};

struct http_reply {
  // HTTP status; 0 if no response was received.
  long status = 0;
  std::string body;

  nlohmann::json json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
  // The type of the error, else the state of the job (such as "complete"), or
  // "no_answer" if the body isn't a JSON object.
  std::string outcome() const;
  // The reply's `execution` field, or an empty string.
  std::string execution() const;
};

// One task start, as logged by a stand-in upstream.
struct start_record {
  unix_ms time_ms = 0;
  std::string upstream;
  std::string identity;
  std::string tenant;
  size_t index = 0;
  std::string key;
};

// Blocks until the response or the time-out; on a failure the status is 0.
http_reply http_call(const std::string& address,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body = {},
                     int64_t timeout_ms = 30'000);

// Path of a program of the build, or the name itself if it isn't found. The
// search starts at $CYCLAMENWOOD_PROGRAMS, by default the folder of the running
// executable.
std::string program_path(const std::string& name);

// Starts a program with arguments, which appends its output to the log. It is
// killed when this process ends.
pid_t spawn(const std::vector<std::string>& command, const std::string& log);

// Waits for a process that `spawn` started, and sets `pid` to -1 once it has
// ended. Returns its exit code, or -1 if it was killed by a signal or did not
// end within the limit.
int wait_for_exit(pid_t& pid, int64_t limit_ms = 20'000);

// Polls the condition until it holds. Returns false if it doesn't within the
// limit.
bool wait_until(const std::function<bool()>& condition,
                int64_t limit_ms = 20'000);

// A job of the tenant zupancic in class interactive. Each task's payload is
// `payload` followed by "|" and the task's index.
nlohmann::json make_job(const std::string& key,
                        size_t tasks,
                        const std::string& payload,
                        unix_ms deadline_ms,
                        const std::string& service = "fit-desk");

class deployment {
 public:
  // Creates a temporary folder and plans the processes; starts none.
  explicit deployment(deployment_options options = {});
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  // Kills all processes. Removes the folder unless $CYCLAMENWOOD_KEEP is set.
  ~deployment();

  // Formats the replicas' data folders, writes the settings and starts all
  // processes.
  void start();
  // Rolls out bundle version 1 and waits until every entry host serves and
  // has received the announcements of all upstreams. Returns false on a
  // time-out.
  bool start_serving();
  // Submits the bundle of this version, which replaces version - 1, to the
  // entry host (by default the first one).
  http_reply roll_out(uint64_t version,
                      const std::string& entry_host = {},
                      const std::string& remark = {});
  std::string bundle_text(uint64_t version,
                          uint64_t replaces,
                          const std::string& remark = {}) const;

  // ---- Processes ----
  // By name: "kranj-1" (entry host), "kranj-r1" (replica), "upstreams-kranj"
  // (the process of a zone's stand-in upstreams).
  void start_process(const std::string& name);
  void signal_process(const std::string& name, int signal);
  void kill_process(const std::string& name);
  // Sends SIGTERM and waits; the result is that of wait_for_exit.
  int stop_process(const std::string& name, int64_t limit_ms = 20'000);
  bool is_running(const std::string& name);
  pid_t pid_of(const std::string& name) const;
  int wait_for_exit(const std::string& name, int64_t limit_ms = 20'000);
  std::string log_of(const std::string& name) const;
  // For the message of a failed check: the current status page of each process
  // and the end of its log.
  std::string describe();
  void wipe_data(const std::string& replica);
  // Simulates a full disk: the process can't write files beyond this size.
  void limit_file_size(const std::string& name, int64_t bytes);
  void format_data(const std::string& replica);
  std::string data_folder(const std::string& replica) const;

  // ---- Link faults ----
  // They affect only links that go through the proxy. A partitioned link holds
  // its bytes and delivers them after heal().
  void cut_zone(const std::string& zone);
  void cut_process(const std::string& name);
  // Holds only the bytes that `from` sends to `to`, on connections opened by
  // either side.
  void cut_one_way(const std::string& from, const std::string& to);
  // Lifts all faults; the configured delays stay.
  void heal();

  // ---- HTTP ----
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
  // Name of the replica that reports that it leads the group; empty if none
  // does.
  std::string leader_of(const std::string& group);
  // Changes the behaviour of a stand-in upstream; standin_upstream.cc lists the
  // orders.
  http_reply control_upstream(const std::string& id, const std::string& order);

  // ---- Task starts ----
  // All task starts so far, from the stand-in upstreams' log.
  std::vector<start_record> starts() const;
  size_t starts_of(const std::string& key) const;
  // Highest number of starts of one (tenant, key, task index). Tasks without a
  // key don't count.
  size_t max_starts() const;

  // ---- Names and addresses ----

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
    // The proxy's index of the link.
    int index = -1;
    link_fault fault;
  };

  void plan_processes();
  nlohmann::json settings_json();
  nlohmann::json groups_json() const;
  nlohmann::json links_json();
  // Sets the fault, but keeps the link's delay.
  void set_link_fault(link& target, const link_fault& fault);
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
  // Identities of the replicas' data folders, in hexadecimal.
  std::map<std::string, std::string> identities_;
  std::vector<link> links_;
  std::unique_ptr<fault_proxy> proxy_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_DEPLOYMENT_H_
