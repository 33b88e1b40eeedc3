// Forecasts of run times, from the estimates of callers.
#include <algorithm>

#include "cyclamenwood/pool_internal.h"

namespace cyclamenwood {

int64_t expected_run_ms(const pool& /*pool*/,
                        const leased_upstream& /*upstream*/,
                        const wire::run_request& request) {
  return request.estimate_ms();
}

unix_ms expected_end_ms(const pool& pool,
                        const leased_upstream& upstream,
                        const leased_run& run,
                        unix_ms now) {
  auto job = pool.jobs.find({run.submission, run.step});
  if (job == pool.jobs.end())
    return INT64_MAX;
  unix_ms started_ms = run.started_ms != 0 ? run.started_ms : now;
  return std::max(
      now, started_ms + expected_run_ms(pool, upstream, job->second.request));
}

}  // namespace cyclamenwood
