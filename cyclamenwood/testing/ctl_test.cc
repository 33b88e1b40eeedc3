// Tests the commands, output and exit codes of cyclamenwoodctl, against a
// running deployment, a metrics page and log files.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <future>

#include "cyclamenwood/http_server.h"
#include "cyclamenwood/loop.h"
#include "cyclamenwood/metrics_page.h"
#include "cyclamenwood/testing/deployment.h"

namespace cyclamenwood {
namespace {

struct command_result {
  int code = -1;
  std::string output;
};

// Runs cyclamenwoodctl. `output` is standard output and standard error
// together.
command_result run_ctl(const std::string& arguments) {
  std::string line =
      fmt::format("{} {} 2>&1", program_path("cyclamenwoodctl"), arguments);
  command_result result;
  std::FILE* pipe = popen(line.c_str(), "r");
  char chunk[4096];
  size_t bytes = 0;
  while ((bytes = fread(chunk, 1, sizeof chunk, pipe)) > 0)
    result.output.append(chunk, bytes);
  result.code = WEXITSTATUS(pclose(pipe));
  return result;
}

// Guards against a program that aborts since its error message can't be
// written, as on a full disk.
TEST(ctl, an_error_that_cannot_be_printed_keeps_its_exit_code) {
  pid_t pid = spawn({program_path("cyclamenwoodctl"), "no", "such", "command"},
                    "/dev/full");
  int status = 0;
  ASSERT_EQ(waitpid(pid, &status, 0), pid);
  EXPECT_TRUE(WIFEXITED(status)) << "signal " << WTERMSIG(status);
  EXPECT_EQ(WEXITSTATUS(status), 2);
}

TEST(ctl, commands_and_exit_codes) {
  deployment site({.zones = {"kranj"}, .upstreams_a_zone = 1});
  site.start();
  ASSERT_TRUE(site.start_serving());
  std::string host = "--host " + site.http_address("kranj-1") + " ";
  auto expect = [&](const std::string& arguments, int code,
                    const std::string& text) {
    command_result result = run_ctl(arguments);
    EXPECT_EQ(result.code, code) << arguments << ": " << result.output;
    EXPECT_NE(result.output.find(text), std::string::npos)
        << arguments << ": " << result.output;
  };
  std::string file = site.settings_path() + ".input";
  auto write = [&file](const std::string& text) {
    std::ofstream(file) << text;
  };
  expect("--help", 0, "Exit codes");
  expect("no such command", 2, "usage");
  expect("settings check " + site.settings_path(), 0, "serves alone");
  write("{\"cluster\": 1}");
  expect("settings check " + file, 2, file + ": cluster: must be a string");
  write(site.bundle_text(2, 1));
  expect("bundle check " + file, 0, "version 2 replaces 1");
  expect(host + "bundle roll-out " + file, 0, "accepted");
  expect(host + "bundle show", 0, "zupancic");
  write(site.bundle_text(2, 1, "another"));
  expect(host + "bundle roll-out " + file, 1, "bundle_conflict");
  write("{}");
  expect("bundle check " + file, 2, "version: is missing");
  write(make_job("kranj:ctl", 2, "ms=5", current_time() + 9000).dump());
  expect(host + "job submit " + file, 0, "\"complete\"");
  expect(host + "--json job show zupancic kranj:ctl", 0, "r:ms=5");
  expect(host + "job cancel zupancic kranj:none", 1, "not_found");
  expect(host + "upstreams", 0, "kranj-u1");
  expect(host + "status", 0, "\"serving\": true");
  expect(host + "histograms", 0, "response_over_ideal");
  expect("--timeout-ms 300 --host 127.0.0.1:1 status", 3, "connection_failed");
  expect(host + "drain", 0, "draining");
  EXPECT_EQ(site.wait_for_exit("kranj-1"), 0);
}

TEST(ctl, shows_series_of_a_metrics_page) {
  event_loop loop;
  metrics_page page(loop, [](exposition& seen) {
    seen.set("owner", R"(pool="kranj/3",host="10.3.0.38:7460")", 5);
    seen.set("upstream_used_cpu_milli", R"(pool="kranj/3",upstream="u1")", 700);
    seen.set("raft_term", "", 4);
    seen.set("evacuated", R"(zone="kranj")", 1);
    seen.set("evacuated_tasks", "", 7);
  });
  ASSERT_TRUE(ok(page.listen("127.0.0.1:0")));
  std::string host = fmt::format("--host 127.0.0.1:{} ", page.port());
  auto print = [&](const std::string& command) {
    std::future<command_result> running =
        std::async(std::launch::async, run_ctl, host + command);
    while (running.wait_for(std::chrono::milliseconds(1)) !=
           std::future_status::ready)
      ev_run(loop.raw(), EVRUN_NOWAIT);
    return running.get().output;
  };
  EXPECT_EQ(print("owners"),
            "owner{pool=\"kranj/3\",host=\"10.3.0.38:7460\"} 5\n");
  EXPECT_EQ(print("room"),
            "upstream_used_cpu_milli{pool=\"kranj/3\",upstream=\"u1\"} 700\n");
  EXPECT_EQ(print("log-state"), "raft_term 4\n");
  EXPECT_EQ(print("evacuations"), "evacuated{zone=\"kranj\"} 1\n");
}

// Guards against a command that reports a redirect or a refusal as success, or
// that loses its method on the way to the leader.
TEST(ctl, sends_an_evacuation_to_the_leader_and_reports_refusals) {
  event_loop loop;
  std::string leader_address;
  std::vector<std::string> seen;
  http_server leader(
      loop, {},
      [&](const http_request& request) {
        seen.push_back(request.method + " " + request.path);
        bool is_known = request.path.find("/kranj/") != std::string::npos;
        leader.respond(request.exchange, {is_known ? 200 : 400, "{}"});
      },
      [](uint64_t) {});
  http_server follower(
      loop, {},
      [&](const http_request& request) {
        follower.respond(
            request.exchange,
            {307,
             "{}",
             {{"Location",
               fmt::format("http://{}{}", leader_address, request.path)}}});
      },
      [](uint64_t) {});
  ASSERT_TRUE(ok(leader.listen("127.0.0.1:0")));
  ASSERT_TRUE(ok(follower.listen("127.0.0.1:0")));
  leader_address = fmt::format("127.0.0.1:{}", leader.port());
  auto send = [&](const std::string& command) {
    std::string line =
        fmt::format("--host 127.0.0.1:{} {}", follower.port(), command);
    std::future<command_result> running =
        std::async(std::launch::async, run_ctl, line);
    while (running.wait_for(std::chrono::milliseconds(1)) !=
           std::future_status::ready)
      ev_run(loop.raw(), EVRUN_NOWAIT);
    return running.get();
  };
  command_result begun = send("evacuate begin kranj");
  EXPECT_EQ(begun.code, 0) << begun.output;
  EXPECT_EQ(begun.output, "evacuation of kranj begun\n");
  EXPECT_EQ(send("evacuate finish kranj").code, 0);
  command_result refused = send("evacuate begin nowhere");
  EXPECT_EQ(refused.code, 1);
  EXPECT_NE(refused.output.find("no such zone"), std::string::npos);
  EXPECT_EQ(seen, (std::vector<std::string>{"POST /-/evacuate/kranj/begin",
                                            "POST /-/evacuate/kranj/finish",
                                            "POST /-/evacuate/nowhere/begin"}));
  EXPECT_EQ(run_ctl("evacuate pause kranj").code, 2);
  EXPECT_EQ(
      run_ctl("--timeout-ms 300 --host 127.0.0.1:1 evacuate begin kranj").code,
      3);
}

TEST(ctl, why_reads_logs_of_several_processes) {
  std::string folder = testing::TempDir();
  std::ofstream(folder + "/why-a.log")
      << "2026-01-08T02:33:41.300Z info job_ended job=bbbb outcome=unknown\n";
  std::ofstream(folder + "/why-b.log")
      << "2026-01-08T02:33:41.000Z info runs_lost upstream=u1\n"
         "2026-01-08T02:33:41.100Z info start_unanswered task=bbbb.0.0.1 "
         "upstream=u1\n";
  std::string files = fmt::format(" {0}/why-a.log {0}/why-b.log", folder);
  command_result found = run_ctl("why bbbb" + files);
  EXPECT_EQ(found.code, 0);
  EXPECT_LT(found.output.find("start_unanswered"),
            found.output.find("job_ended"));
  EXPECT_NE(found.output.find("runs_lost"), std::string::npos);
  EXPECT_EQ(run_ctl("why cccc" + files).code, 1);
  EXPECT_EQ(run_ctl("why bbbb").code, 2);
}

}  // namespace
}  // namespace cyclamenwood
