// An open-loop load: jobs arrive at times drawn beforehand, whether or not
// earlier ones are answered.
#ifndef TOOLS_OPEN_LOOP_H_
#define TOOLS_OPEN_LOOP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cyclamenwood/testing/deployment.h"

namespace cyclamenwood {

struct workload {
  std::string name = "fit-desk";
  uint64_t seed = 1;
  double seconds = 10;
  // Offered work over all slots, 1 is their capacity.
  double load = 0.5;
  // Share of jobs in class batch.
  double batch_share = 0.2;
  // A burst of this many interactive jobs at once each second.
  int burst_jobs = 0;
  // Share of jobs that are cancelled shortly after their submission.
  double cancel_share = 0;
  // Share of jobs that are submitted a second time, at another host.
  double resubmit_share = 0;
  // Share of jobs with one task that fails at every upstream.
  double failing_share = 0;
  // Interactive jobs of one task only.
  bool one_task = false;
  // Send idempotent single requests in place of keyed jobs.
  bool idempotent = false;
};

struct class_report {
  // Response over the longest task's own time, of completed jobs.
  std::vector<double> ratios;
  std::map<std::string, int> outcomes;
  int64_t completed_tasks = 0;
  // Of those, completed in the last three quarters of the arrivals' time.
  int64_t steady_tasks = 0;
};

struct load_report {
  std::map<std::string, class_report> classes;
  double seconds = 0;
  int64_t submitted_tasks = 0;
  // Summed over the entry hosts, during the run.
  std::map<std::string, double> counters;
  size_t max_starts = 0;
  // Jobs answered `not_run` of which something had started.
  size_t false_not_run = 0;
};

load_report run_load(deployment& site, const workload& work);

// Mean own time of the workload's tasks.
double mean_task_ms(const workload& work);

// One row a class: ratios, goodput, refusals; then messages a task.
void print_report(const std::string& title, const load_report& report);

double quantile(std::vector<double> values, double share);

}  // namespace cyclamenwood

#endif  // TOOLS_OPEN_LOOP_H_
