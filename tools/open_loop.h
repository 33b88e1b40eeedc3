// An open-loop load generator: jobs are submitted at arrival times that are
// drawn before the run, whether or not earlier jobs have been answered.
//
//   load_report report = run_load(site, {.seconds = 10, .load = 0.9});
//   print_report("at 90%", report);
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
  // Offered work relative to the capacity of all slots, which is 1.
  double load = 0.5;
  // Share of jobs in class batch.
  double batch_share = 0.2;
  // Each second, submits this many additional jobs at once.
  int burst_jobs = 0;
  // Share of jobs that are cancelled directly after their submission.
  double cancel_share = 0;
  // Share of jobs that are submitted a second time, to another entry host.
  double resubmit_share = 0;
  // Share of jobs with one task that fails at every upstream.
  double failing_share = 0;
  // Submit only interactive jobs of one task.
  bool one_task = false;
  // Send idempotent single requests instead of keyed jobs.
  bool idempotent = false;
};

struct class_report {
  // Of completed jobs: the response time divided by the run time of the longest
  // task.
  std::vector<double> ratios;
  // Number of jobs by http_reply::outcome().
  std::map<std::string, int> outcomes;
  int64_t completed_tasks = 0;
  // Those completed in the last three quarters of the arrival period, after the
  // warm-up.
  int64_t steady_tasks = 0;
};

struct load_report {
  std::map<std::string, class_report> classes;
  double seconds = 0;
  int64_t submitted_tasks = 0;
  // Increase of each metrics counter during the run, summed over the entry
  // hosts.
  std::map<std::string, double> counters;
  // See deployment::max_starts.
  size_t max_starts = 0;
  // Jobs answered with `not_run` although one of their tasks had started.
  size_t false_not_run = 0;
};

// Submits the workload and waits for the answers, for at most a minute after
// the last arrival.
load_report run_load(deployment& site, const workload& work);

// Mean run time of the workload's tasks.
double mean_task_ms(const workload& work);

// Prints one row for each class (response ratios, goodput, outcomes), then a
// row of counters per completed task.
void print_report(const std::string& title, const load_report& report);

// 0 if there are no values.
double quantile(std::vector<double> values, double share);

}  // namespace cyclamenwood

#endif  // TOOLS_OPEN_LOOP_H_
