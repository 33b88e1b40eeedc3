// Tests of reservations for waiting tasks, without a network.
#include <gtest/gtest.h>

#include <random>

#include "cyclamenwood/pool_internal.h"
#include "cyclamenwood/pool_reserve.h"
#include "cyclamenwood/testing/pool_fixture.h"

namespace cyclamenwood {
namespace {

constexpr uint32_t UPSTREAM_CPU = 16'000;
constexpr uint32_t LARGE_CPU = 12'000;
constexpr uint32_t SMALL_CPU = 1'000;
constexpr int64_t LONG_WAIT_MS = 8'000;
// An order and its reply, a renewal, and the placement after it.
constexpr int64_t MESSAGES_MS = 4 * STEP_MS;

class reserve_fixture : public pool_fixture {
 protected:
  reserve_fixture() { state.options.reserve_for_waiting = true; }

  // Begins with a new pool without upstreams.
  void begin_with(bool reserves) {
    state = {};
    out = {};
    state.name = "kranj";
    state.options.reserve_for_waiting = reserves;
    upstreams.clear();
    waiting.clear();
    reported.clear();
  }

  fake_upstream& add(const std::string& id, uint32_t cpu = UPSTREAM_CPU) {
    fake_upstream& upstream = add_upstream(id, cpu);
    upstream.cpu_of = [this](const std::string& task) {
      return cpu_by_job.at(task.substr(0, task.find('.')));
    };
    upstream.run_ms_of = [this](const std::string& task) {
      return run_ms_by_job.at(task.substr(0, task.find('.')));
    };
    return upstream;
  }

  void own_pool() {
    own(1);
    run_until(now + 20);
  }

  // Requests a job of one task that runs for `run_ms`; returns its number.
  // Requests that are made later are served later within a priority.
  uint64_t submit(uint32_t cpu,
                  int64_t run_ms,
                  int64_t estimate_ms,
                  uint32_t priority = 0) {
    uint64_t number = next_job++;
    wire::run_request wanted = make(number, cpu, estimate_ms, priority);
    run_ms_by_job[wanted.job()] = run_ms;
    ask(wanted);
    return number;
  }

  wire::run_request make(uint64_t number,
                         uint32_t cpu,
                         int64_t estimate_ms,
                         uint32_t priority) {
    wire::run_request wanted = request(number, name(number), 1);
    wanted.mutable_need()->set_cpu_milli(cpu);
    wanted.set_estimate_ms(estimate_ms);
    wanted.set_priority(priority);
    wanted.set_aim_ms(LONG_WAIT_MS + estimate_ms);
    wanted.set_remaining_ms(LONG_WAIT_MS + estimate_ms);
    cpu_by_job[wanted.job()] = cpu;
    return wanted;
  }

  static std::string name(uint64_t number) {
    return "j" + std::to_string(number);
  }

  bool is_waiting(uint64_t number) const {
    auto job = state.jobs.find({number, 0});
    return job != state.jobs.end() && job->second.tasks.at(0).queued;
  }

  // The upstream reserved for the job, or nothing.
  std::string reserved_for(uint64_t number) const {
    for (const upstream_reservation& reserved : state.reservations.current) {
      if (reserved.job.first == number)
        return reserved.upstream;
    }
    return "";
  }

  unix_ms expected_for(uint64_t number) const {
    for (const upstream_reservation& reserved : state.reservations.current) {
      if (reserved.job.first == number)
        return reserved.expected_ms;
    }
    return 0;
  }

  size_t events(const std::string& event) const {
    return std::count_if(
        out.events.begin(), out.events.end(),
        [&event](const log_event& item) { return item.event == event; });
  }

  // Keeps `small` tasks of `run_ms` in the queue until the job starts or the
  // time is over. Returns how long the job waited.
  int64_t stream_until_start(uint64_t job,
                             int64_t run_ms,
                             uint32_t priority,
                             int64_t limit_ms) {
    unix_ms begin = now;
    while (is_waiting(job) && now < begin + limit_ms) {
      while (state.queue.size() < 4)
        submit(SMALL_CPU, run_ms, run_ms, priority);
      run_until(now + STEP_MS);
    }
    return now - begin;
  }

  std::map<std::string, uint32_t> cpu_by_job;
  std::map<std::string, int64_t> run_ms_by_job;
  uint64_t next_job = 1;
};

// Fills the upstream with small tasks that end at different times.
void fill(auto& fixture, int64_t run_ms) {
  for (int64_t i = 0; i < UPSTREAM_CPU / SMALL_CPU; ++i)
    fixture(run_ms + i * 3);
}

// Without reservations each part of an upstream that becomes free is taken by
// the next small task.
TEST_F(reserve_fixture, a_large_task_does_not_starve_beside_small_ones) {
  for (bool reserves : {false, true}) {
    begin_with(reserves);
    add("u1");
    own_pool();
    auto start_small = [this](int64_t run_ms) {
      submit(SMALL_CPU, run_ms, RUN_MS);
    };
    fill(start_small, RUN_MS / 2);
    uint64_t large = submit(LARGE_CPU, RUN_MS, RUN_MS);
    int64_t waited = stream_until_start(large, RUN_MS, 0, 3'000);
    // The longest run that may precede it started just before it came.
    if (reserves)
      EXPECT_LE(waited, RUN_MS + MESSAGES_MS);
    else
      EXPECT_GE(waited, 3'000);
  }
}

// The cost to small tasks is the capacity that the large task uses, and what is
// kept free for it while the runs before it end: at most its size for the time
// of the longest of them.
TEST_F(reserve_fixture, small_tasks_lose_less_than_one_run) {
  std::map<bool, size_t> done;
  for (bool reserves : {false, true}) {
    begin_with(reserves);
    add("u1");
    own_pool();
    auto start_small = [this](int64_t run_ms) {
      submit(SMALL_CPU, run_ms, RUN_MS);
    };
    fill(start_small, RUN_MS / 2);
    submit(LARGE_CPU, RUN_MS, RUN_MS);
    for (unix_ms end = now + 2'000; now < end;) {
      while (state.queue.size() < 4)
        submit(SMALL_CPU, RUN_MS, RUN_MS);
      run_until(now + STEP_MS);
    }
    done[reserves] = count(wire::RUN_DONE);
  }
  size_t slots = LARGE_CPU / SMALL_CPU;
  // The large task counts as one itself.
  EXPECT_LE(done[false], done[true] + 2 * slots);
}

// Capacity is not idle before the reserved time if a task ends by then.
TEST_F(reserve_fixture, a_task_that_ends_before_the_reserved_time_starts) {
  add("u1");
  own_pool();
  submit(8'000, 500, 500);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  uint64_t ends_later = submit(6'000, 600, 600);
  uint64_t ends_before = submit(6'000, 300, 300);
  EXPECT_EQ(reserved_for(large), "u1");
  EXPECT_TRUE(is_waiting(ends_later));
  EXPECT_FALSE(is_waiting(ends_before));
  EXPECT_EQ(state.reservations.tasks_held_back, 1U);
  run_until(now + 500 + MESSAGES_MS);
  EXPECT_FALSE(is_waiting(large));
}

// A task of any length may use what the reserved one leaves, but only once.
TEST_F(reserve_fixture, tasks_beside_the_reserved_one_start) {
  add("u1");
  own_pool();
  submit(8'000, 500, 500);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  uint64_t beside = submit(3'000, 2'000, 2'000);
  uint64_t too_much = submit(2'000, 2'000, 2'000);
  EXPECT_FALSE(is_waiting(beside));
  EXPECT_TRUE(is_waiting(too_much));
  run_until(now + 500 + MESSAGES_MS);
  EXPECT_FALSE(is_waiting(large));
}

// A task of a higher priority that comes later starts at once, and on another
// upstream if there is one.
TEST_F(reserve_fixture, a_task_ahead_is_not_held_back) {
  add("u1");
  add("u2");
  own_pool();
  submit(8'000, 300, 300);
  submit(10'000, 900, 900);
  uint64_t large = submit(LARGE_CPU, 100, 100, 1);
  ASSERT_EQ(reserved_for(large), "u1");
  uint64_t first = submit(6'000, 900, 900, 0);
  uint64_t second = submit(6'000, 900, 900, 0);
  EXPECT_FALSE(is_waiting(first));
  EXPECT_FALSE(is_waiting(second));
  EXPECT_TRUE(state.upstreams.at("u2").runs.contains(name(first) + ".0.0.0"));
}

// The upstream of a predecessor that takes longer than expected is not held
// for the task when another one becomes free first.
TEST_F(reserve_fixture, a_reservation_moves_when_its_predecessor_overruns) {
  add("u1");
  add("u2");
  own_pool();
  submit(LARGE_CPU, 700, 100);
  submit(LARGE_CPU, 250, 250);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  EXPECT_EQ(reserved_for(large), "u1");
  run_until(now + 200);
  EXPECT_EQ(reserved_for(large), "u2");
  run_until(now + 50 + MESSAGES_MS);
  EXPECT_FALSE(is_waiting(large));
  EXPECT_EQ(events("reservation_made"), 1U);
}

TEST_F(reserve_fixture, a_reservation_moves_when_its_upstream_leaves) {
  fake_upstream& first = add("u1");
  add("u2");
  own_pool();
  submit(LARGE_CPU, 200, 200);
  submit(LARGE_CPU, 400, 400);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  ASSERT_EQ(reserved_for(large), "u1");
  wire::upstream leaving = first.info();
  leaving.set_state(wire::UPSTREAM_LEAVING);
  leaving.set_sequence(leaving.sequence() + 1);
  update_upstream(state, leaving, now, out);
  run_until(now + 20);
  EXPECT_EQ(reserved_for(large), "u2");
  run_until(now + 400 + MESSAGES_MS);
  EXPECT_FALSE(is_waiting(large));
}

TEST_F(reserve_fixture, a_reservation_moves_when_its_upstream_crashes) {
  fake_upstream& first = add("u1");
  add("u2");
  own_pool();
  // The lost task is served after the waiting one.
  submit(LARGE_CPU, 600, 600, 2);
  submit(LARGE_CPU, 900, 900);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  ASSERT_EQ(reserved_for(large), "u1");
  first.restart(now);
  update_upstream(state, first.info(), now, out);
  unreachable.insert("u1");
  run_until(now + 700);
  EXPECT_EQ(reserved_for(large), "u2");
}

TEST_F(reserve_fixture, a_reservation_moves_when_its_upstream_shrinks) {
  fake_upstream& first = add("u1");
  add("u2");
  own_pool();
  submit(8'000, 200, 200);
  submit(LARGE_CPU, 400, 400);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  ASSERT_EQ(reserved_for(large), "u1");
  first.set_capacity(LARGE_CPU - 1'000);
  update_upstream(state, first.info(), now, out);
  run_until(now + 20);
  EXPECT_EQ(reserved_for(large), "u2");
}

// Another owner has no reservations of the one before, and makes its own.
TEST_F(reserve_fixture, a_new_owner_makes_its_own_reservations) {
  add("u1");
  own_pool();
  uint64_t running = submit(LARGE_CPU, 1'500, 1'500);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  run_until(now + 50);
  ASSERT_EQ(reserved_for(large), "u1");
  release_ownership(state);
  EXPECT_TRUE(state.reservations.current.empty());
  own(2);
  run_until(now + 20);
  for (uint64_t job : {running, large}) {
    wire::run_request again = make(job, LARGE_CPU, 100, 0);
    again.set_estimate_ms(job == running ? 1'500 : 100);
    again.set_resumed(true);
    ask(again);
  }
  run_until(now + 50);
  EXPECT_EQ(reserved_for(large), "u1");
  run_until(now + 1'600);
  EXPECT_FALSE(is_waiting(large));
  EXPECT_EQ(count(wire::RUN_DONE), 2U);
}

// Smaller work does not wait for a task that nobody wants any more.
TEST_F(reserve_fixture, a_reservation_ends_when_its_caller_leaves) {
  add("u1");
  own_pool();
  submit(8'000, 900, 900);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  uint64_t small = submit(6'000, 950, 950);
  ASSERT_TRUE(is_waiting(small));
  release_runs(state, large, now, now, out);
  run_until(now + 20);
  EXPECT_FALSE(is_waiting(small));
  EXPECT_TRUE(state.reservations.current.empty());
}

// The predecessor takes very long: its upstream is not idle without end.
TEST_F(reserve_fixture, smaller_work_is_held_back_for_a_bounded_time) {
  add("u1");
  own_pool();
  submit(8'000, 7'000, 3'000);
  uint64_t large = submit(LARGE_CPU, 100, 100);
  unix_ms asked = now;
  uint64_t small = submit(6'000, 4'000, 4'000);
  ASSERT_TRUE(is_waiting(small));
  while (is_waiting(small) && now < asked + 5'000)
    run_until(now + STEP_MS);
  EXPECT_GE(now - asked, HOLD_LIMIT_MS);
  EXPECT_LE(now - asked, HOLD_LIMIT_MS + MESSAGES_MS);
  EXPECT_TRUE(is_waiting(large));
  EXPECT_EQ(events("reservation_dropped"), 1U);
  EXPECT_EQ(state.reservations.dropped, 1U);
}

// Capacity is not held for a task that would start too late.
TEST_F(reserve_fixture, a_task_that_would_start_too_late_gets_no_reservation) {
  add("u1");
  own_pool();
  submit(8'000, 900, 900);
  wire::run_request wanted = make(next_job, LARGE_CPU, 200, 0);
  run_ms_by_job[wanted.job()] = 200;
  wanted.set_aim_ms(1'000);
  wanted.set_remaining_ms(1'000);
  uint64_t large = next_job++;
  ask(wanted);
  EXPECT_TRUE(is_waiting(large));
  EXPECT_EQ(reserved_for(large), "");
  EXPECT_FALSE(is_waiting(submit(6'000, 950, 950)));
}

// It is returned to its entry host, which knows of capacity elsewhere.
TEST_F(reserve_fixture, a_returnable_task_gets_no_reservation) {
  add("u1");
  own_pool();
  submit(8'000, 900, 900);
  wire::run_request wanted = make(next_job, LARGE_CPU, 200, 0);
  wanted.set_returnable(true);
  ask(wanted);
  EXPECT_EQ(count(wire::RUN_RETURNED), 1U);
  EXPECT_TRUE(state.reservations.current.empty());
  EXPECT_EQ(state.reservations.made, 0U);
}

// Nothing is known of the end of a run that nobody has requested.
TEST_F(reserve_fixture, a_run_of_unknown_end_frees_nothing) {
  add("u1");
  own_pool();
  submit(LARGE_CPU, 900, 900);
  leased_upstream& upstream = state.upstreams.at("u1");
  upstream.runs.begin()->second.submission = 0;
  wire::room need;
  need.set_cpu_milli(LARGE_CPU);
  EXPECT_FALSE(find_expected_fit(state, upstream, need, false, now));
  need.set_cpu_milli(UPSTREAM_CPU - LARGE_CPU);
  EXPECT_TRUE(find_expected_fit(state, upstream, need, false, now));
}

// A run that may have crashed an upstream waits for an empty one.
TEST_F(reserve_fixture, a_suspect_is_expected_to_fit_on_an_empty_upstream) {
  add("u1");
  own_pool();
  submit(SMALL_CPU, 300, 300);
  submit(SMALL_CPU, 700, 700);
  const leased_upstream& upstream = state.upstreams.at("u1");
  wire::room need;
  need.set_cpu_milli(SMALL_CPU);
  auto fit = find_expected_fit(state, upstream, need, true, now);
  ASSERT_TRUE(fit);
  EXPECT_EQ(fit->at_ms, now + 700);
  EXPECT_EQ(fit->spare.cpu_milli, 0);
}

// A task of each priority starts beside a stream of small tasks of the same
// priority, and of a lower one.
TEST_F(reserve_fixture, a_large_task_of_no_priority_starves) {
  for (uint32_t priority : {0U, 1U, 2U}) {
    for (uint32_t small_priority = priority; small_priority <= 2;
         ++small_priority) {
      begin_with(true);
      add("u1");
      add("u2");
      own_pool();
      for (int64_t i = 0; i < 32; ++i)
        submit(SMALL_CPU, RUN_MS / 2 + i * 3, RUN_MS, small_priority);
      uint64_t large = submit(LARGE_CPU, RUN_MS, RUN_MS, priority);
      EXPECT_LE(stream_until_start(large, RUN_MS, small_priority, 3'000),
                RUN_MS + MESSAGES_MS)
          << priority << " " << small_priority;
    }
  }
}

// Small tasks of a higher priority that use half of the capacity leave an
// upstream to the large task of the lowest priority.
TEST_F(reserve_fixture, a_stream_of_a_higher_priority_leaves_capacity) {
  add("u1");
  add("u2");
  own_pool();
  uint64_t large = 0;
  unix_ms begin = now;
  // Sixteen of the 32 cores: one task each 5 ms for 80 ms. Until the large task
  // comes they are on both upstreams.
  for (int i = 0; i < 32; ++i)
    submit(SMALL_CPU, 60 + i, 60 + i, 0);
  large = submit(LARGE_CPU, RUN_MS, RUN_MS, 2);
  while (is_waiting(large) && now < begin + 3'000) {
    submit(SMALL_CPU, 80, 80, 0);
    run_until(now + STEP_MS);
  }
  EXPECT_FALSE(is_waiting(large));
  EXPECT_LE(now - begin, 92 + 80 + MESSAGES_MS);
}

// The same choice by trying every upstream and every time.
class exhaustive_plan {
 public:
  exhaustive_plan(const pool& pool, unix_ms now) : now_(now) {
    for (const auto& [id, upstream] : pool.upstreams) {
      std::vector<use>& uses = uses_[id];
      capacity_[id] = upstream.info.capacity().cpu_milli();
      for (const auto& [name, run] : upstream.runs)
        uses.push_back(
            {expected_end_ms(pool, upstream, run, now), run.need.cpu_milli()});
    }
  }

  // Returns the upstream where the task starts now; reserves one if it fits
  // nowhere.
  std::string place(uint64_t job, int64_t cpu, int64_t run_ms) {
    std::string best;
    bool fits_any = false;
    for (const auto& [id, uses] : uses_) {
      if (free_at(id, now_) < cpu)
        continue;
      fits_any = true;
      uses_[id].push_back({now_ + run_ms, cpu});
      auto reserved = reserved_.find(id);
      bool delays = reserved != reserved_.end() &&
                    free_at(id, reserved->second.at_ms) < reserved->second.cpu;
      uses_[id].pop_back();
      if (!delays && (best.empty() || free_at(id, now_) < free_at(best, now_)))
        best = id;
    }
    if (!best.empty())
      uses_[best].push_back({now_ + run_ms, cpu});
    else if (!fits_any && reserved_.size() < MAX_RESERVATIONS)
      reserve(job, cpu);
    return best;
  }

  struct reservation {
    uint64_t job = 0;
    unix_ms at_ms = 0;
    int64_t cpu = 0;
  };
  const std::map<std::string, reservation>& reserved() const {
    return reserved_;
  }

 private:
  struct use {
    unix_ms end_ms = 0;
    int64_t cpu = 0;
  };

  int64_t free_at(const std::string& id, unix_ms at) const {
    int64_t free = capacity_.at(id);
    for (const use& used : uses_.at(id))
      free -= used.end_ms > at ? used.cpu : 0;
    return free;
  }

  void reserve(uint64_t job, int64_t cpu) {
    for (unix_ms at = now_; at < now_ + 1'000; ++at) {
      std::string best;
      for (const auto& [id, uses] : uses_) {
        if (!reserved_.contains(id) && free_at(id, at) >= cpu &&
            (best.empty() || free_at(id, at) < free_at(best, at)))
          best = id;
      }
      if (best.empty())
        continue;
      reserved_[best] = {job, at, cpu};
      return;
    }
  }

  unix_ms now_;
  std::map<std::string, int64_t> capacity_;
  std::map<std::string, std::vector<use>> uses_;
  std::map<std::string, reservation> reserved_;
};

// A placement that is not the one that the rules describe would hold back
// tasks without a reason or delay a reserved one.
TEST_F(reserve_fixture, choices_are_those_of_an_exhaustive_search) {
  std::mt19937_64 random(20261207);
  auto between = [&random](int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  };
  size_t reservations = 0;
  size_t backfilled = 0;
  for (int round = 0; round < 400; ++round) {
    begin_with(true);
    for (int64_t i = between(1, 6); i > 0; --i)
      add("u" + std::to_string(i), between(0, 2) == 0 ? 24'000 : UPSTREAM_CPU);
    own_pool();
    for (int64_t i = between(2, 12); i > 0; --i) {
      int64_t run_ms = between(400, 900);
      submit(static_cast<uint32_t>(between(1, 12) * 1'000), run_ms, run_ms);
    }
    run_until(now + between(1, 40) * STEP_MS);
    state.reservations = {};
    say_hello("e1", 1);
    for (int64_t i = between(1, 12); i > 0; --i) {
      request_runs(state, "e1",
                   make(next_job++, between(1, 12) * 1'000, between(50, 900),
                        static_cast<uint32_t>(between(0, 2))),
                   now, out);
    }
    exhaustive_plan expected(state, now);
    std::map<uint64_t, std::string> places;
    for (const queue_key& key : state.queue) {
      const pool_job& job = state.jobs.at(std::get<pool_job_id>(key));
      const wire::run_request& wanted = job.request;
      places[wanted.submission()] = expected.place(
          wanted.submission(), wanted.need().cpu_milli(), wanted.estimate_ms());
    }
    state.placement_due = true;
    place_tasks(state, now, out);
    for (const auto& [number, upstream] : places) {
      auto placed = state.placed.find(name(number) + ".0.0.0");
      EXPECT_EQ(placed == state.placed.end() ? "" : placed->second, upstream)
          << round << " " << name(number);
      backfilled += !upstream.empty() && expected.reserved().contains(upstream);
    }
    EXPECT_EQ(state.reservations.current.size(), expected.reserved().size());
    for (const upstream_reservation& made : state.reservations.current) {
      auto found = expected.reserved().find(made.upstream);
      ASSERT_TRUE(found != expected.reserved().end()) << round;
      EXPECT_EQ(made.job.first, found->second.job) << round;
      EXPECT_EQ(made.expected_ms, found->second.at_ms) << round;
    }
    reservations += expected.reserved().size();
  }
  // The series contains what it is to compare.
  EXPECT_GT(reservations, 100U);
  EXPECT_GT(backfilled, 20U);
}

}  // namespace
}  // namespace cyclamenwood
