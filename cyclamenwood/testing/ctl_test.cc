// cyclamenwoodctl against a running deployment: commands and exit codes.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/testing/deployment.h"

namespace cyclamenwood {
namespace {

struct command_result {
  int code = -1;
  std::string output;
};

// Standard output and standard error together.
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

}  // namespace
}  // namespace cyclamenwood
