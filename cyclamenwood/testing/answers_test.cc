// Tests with real processes: answers are complete, and each caller receives
// the answer to its own job.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "cyclamenwood/loop.h"
#include "cyclamenwood/testing/background_load.h"
#include "cyclamenwood/testing/deployment.h"
#include "cyclamenwood/testing/raw_http.h"

namespace cyclamenwood {
namespace {

TEST(answers, payload_bytes_arrive_whole) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  nlohmann::json job =
      make_job("kranj:bytes", 3, "ms=5", current_time() + 10'000);
  std::string long_text = "ms=5 |";
  for (int i = 0; i < 20'000; ++i)
    long_text += fmt::format("š{}\n\"\\", i);
  job["tasks"][1]["payload"] = long_text;
  job["tasks"][2]["payload"] = "";
  http_reply reply = site.call("kranj-1", "POST", "/v1/jobs", job.dump());
  ASSERT_EQ(reply.outcome(), "complete") << reply.body.substr(0, 300);
  nlohmann::json results = reply.json()["results"];
  ASSERT_EQ(results.size(), 3U);
  EXPECT_EQ(results[1], "r:" + long_text);
  EXPECT_EQ(results[2], "r:");
}

TEST(answers, one_failing_task_of_450_fails_the_job_whole) {
  deployment site({.upstreams_a_zone = 8});
  site.start();
  ASSERT_TRUE(site.start_serving());
  nlohmann::json job =
      make_job("kranj:450", 450, "ms=5", current_time() + 30'000);
  http_reply whole = site.call("kranj-1", "POST", "/v1/jobs", job.dump());
  EXPECT_EQ(whole.outcome(), "complete") << whole.body.substr(0, 300);
  EXPECT_EQ(whole.json()["results"].size(), 450U);
  job["key"] = "kranj:450-failing";
  job["tasks"][317]["payload"] = "mode=fail";
  http_reply failed = site.call("kranj-1", "POST", "/v1/jobs", job.dump());
  EXPECT_EQ(failed.outcome(), "task_failed");
  EXPECT_FALSE(failed.json().contains("results"));
  http_reply again = site.call("lj-vic-1", "POST", "/v1/jobs", job.dump());
  EXPECT_EQ(again.body, failed.body);
  EXPECT_LE(site.max_starts(), 1U);
}

// Upstreams that answer late, twice or with the identity of another attempt run
// beside correct ones. No caller may receive an answer to another request.
TEST(answers, crossed_answers_reach_nobody) {
  deployment site({.slots = 4});
  site.start();
  ASSERT_TRUE(site.start_serving());
  background_load good(site, {.callers = 6, .payload = "ms=20"});
  background_load duplicated(site,
                             {.callers = 3, .payload = "ms=10 mode=twice"});
  background_load mismatched(
      site, {.callers = 2, .payload = "ms=10 mode=wrong", .deadline_ms = 800});
  background_load late(
      site, {.callers = 2, .payload = "ms=10 mode=late", .deadline_ms = 500});
  ASSERT_TRUE(wait_until(
      [&] { return good.completed() > 100 && duplicated.completed() > 50; }));
  load_result good_result = good.stop();
  load_result duplicated_result = duplicated.stop();
  load_result mismatched_result = mismatched.stop();
  load_result late_result = late.stop();
  EXPECT_EQ(good_result.wrong_answers, 0);
  EXPECT_EQ(duplicated_result.wrong_answers, 0);
  EXPECT_EQ(mismatched_result.outcomes["complete"], 0);
  EXPECT_EQ(late_result.outcomes["complete"], 0);
  EXPECT_LE(site.max_starts(), 1U);
}

TEST(answers, a_caller_that_left_comes_back_for_the_answer) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  nlohmann::json job =
      make_job("kranj:left", 2, "ms=600", current_time() + 10'000);
  http_reply disconnected =
      site.call("kranj-1", "POST", "/v1/jobs", job.dump(), 150);
  EXPECT_EQ(disconnected.status, 0);
  // Attaches at another entry host while the owner completes the job.
  http_reply attached = site.call("lj-vic-2", "POST", "/v1/jobs", job.dump());
  EXPECT_EQ(attached.outcome(), "complete") << attached.body;
  http_reply shown =
      site.call("lj-bezigrad-1", "GET", "/v1/jobs/zupancic/kranj:left");
  EXPECT_EQ(shown.body, attached.body);
  EXPECT_EQ(site.starts_of("kranj:left"), 2U);
}

TEST(answers, two_callers_on_one_connection) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  raw_http connection(site.http_address("kranj-1"));
  std::string first =
      make_job("kranj:one", 1, "ms=200", current_time() + 9000).dump();
  std::string second =
      make_job("kranj:two", 1, "ms=10", current_time() + 9000).dump();
  connection.send(raw_http::post("/v1/jobs", first) +
                  raw_http::post("/v1/jobs", second));
  EXPECT_NE(connection.receive().find("kranj:one"), std::string::npos);
  EXPECT_NE(connection.receive().find("kranj:two"), std::string::npos);
}

TEST(answers, acknowledged_jobs_are_shown_and_cancelled) {
  deployment site({.upstreams_a_zone = 1, .slots = 1});
  site.start();
  ASSERT_TRUE(site.start_serving());
  nlohmann::json job =
      make_job("kranj:later", 30, "ms=300", current_time() + 60'000);
  job["wait"] = false;
  http_reply accepted = site.call("kranj-1", "POST", "/v1/jobs", job.dump());
  EXPECT_EQ(accepted.status, 202);
  http_reply shown =
      site.call("lj-vic-1", "GET", "/v1/jobs/zupancic/kranj:later");
  EXPECT_EQ(shown.outcome(), "running") << shown.body;
  ASSERT_TRUE(wait_until([&] { return site.starts_of("kranj:later") > 0; }));
  http_reply cancelled =
      site.call("lj-vic-1", "DELETE", "/v1/jobs/zupancic/kranj:later");
  EXPECT_EQ(cancelled.status, 200) << cancelled.body;
  EXPECT_EQ(cancelled.execution(), "unknown");
  size_t started = site.starts_of("kranj:later");
  http_reply after =
      site.call("kranj-1", "GET", "/v1/jobs/zupancic/kranj:later");
  EXPECT_EQ(after.outcome(), "cancelled");
  // The queued tasks were removed, so a new job gets the slots at once.
  EXPECT_EQ(site.submit("kranj-1", "kranj:next", 2, "ms=5").outcome(),
            "complete");
  EXPECT_EQ(site.starts_of("kranj:later"), started);
  EXPECT_EQ(site.call("kranj-1", "GET", "/v1/jobs/zupancic/none").outcome(),
            "not_found");
}

TEST(http, bad_input_is_refused_with_a_type) {
  deployment site({.settings = {{"http",
                                 {{"max_body_bytes", 20'000},
                                  {"max_tasks_per_job", 450},
                                  {"idle_timeout_s", 1}}}}});
  site.start();
  ASSERT_TRUE(site.start_serving());
  const std::string host = "kranj-1";
  auto post = [&](const nlohmann::json& body) {
    return site.call(host, "POST", "/v1/jobs", body.dump());
  };
  nlohmann::json job = make_job("kranj:x", 1, "ms=5", current_time() + 5000);
  struct row {
    const char* patch;
    const char* outcome;
    long status;
  };
  const row rows[] = {
      {R"({"tenant": "nobody"})", "unknown_tenant", 403},
      {R"({"class": "vip"})", "unknown_class", 400},
      {R"({"tasks": [{"service": "none"}]})", "unknown_service", 404},
      {R"({"deadline_ms": 1000})", "deadline_passed", 504},
      {R"({"deadline_ms": "soon"})", "malformed_request", 400},
      {R"({"tasks": 3})", "malformed_request", 400},
      {R"({"extra": 3})", "malformed_request", 400},
  };
  for (const row& item : rows) {
    nlohmann::json bad = job;
    bad.merge_patch(nlohmann::json::parse(item.patch));
    http_reply reply = post(bad);
    EXPECT_EQ(reply.outcome(), item.outcome) << reply.body;
    EXPECT_EQ(reply.status, item.status);
    EXPECT_EQ(reply.execution(), "not_run") << reply.body;
    EXPECT_EQ(reply.json()["bundle_version"], 1);
  }
  EXPECT_EQ(site.call(host, "POST", "/v1/jobs", "{").outcome(),
            "malformed_request");
  EXPECT_EQ(site.call(host, "PUT", "/v1/jobs", "{}").outcome(), "wrong_method");
  EXPECT_EQ(site.call(host, "GET", "/v1/nothing").outcome(), "not_found");
  http_reply large =
      site.call(host, "POST", "/v1/jobs", std::string(30'000, 'x'));
  EXPECT_EQ(large.outcome(), "request_too_large");
  EXPECT_EQ(large.status, 413);
  // A chunked body that exceeds the limit.
  raw_http chunked(site.http_address(host));
  chunked.send(
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 3; ++i)
    chunked.send("2710\r\n" + std::string(10'000, 'y') + "\r\n");
  chunked.send("0\r\n\r\n");
  EXPECT_NE(chunked.receive().find("request_too_large"), std::string::npos);
  // After an incomplete request, the connection is closed on the time-out.
  raw_http half(site.http_address(host));
  half.send("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{");
  EXPECT_TRUE(half.closed_within(10'000));
  // A slow sender that keeps sending is served.
  raw_http slow(site.http_address(host));
  for (char c : raw_http::post("/v1/jobs", "{}")) {
    slow.send(std::string(1, c));
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  EXPECT_NE(slow.receive().find("malformed_request"), std::string::npos);
  EXPECT_EQ(post(job).outcome(), "complete");
  EXPECT_EQ(site.starts().size(), 1U);
}

TEST(http, single_requests) {
  deployment site;
  site.start();
  ASSERT_TRUE(site.start_serving());
  nlohmann::json request = {{"tenant", "guest"},
                            {"class", "interactive"},
                            {"deadline_ms", current_time() + 5000},
                            {"idempotent", true},
                            {"payload", "ms=5"}};
  auto post = [&](const std::string& host) {
    return site.call(host, "POST", "/v1/requests/fit-desk", request.dump());
  };
  EXPECT_EQ(post("kranj-1").json()["result"], "r:ms=5");
  request["idempotent"] = false;
  EXPECT_EQ(post("kranj-1").outcome(), "malformed_request");
  request["key"] = "kranj:cleat-log";
  EXPECT_EQ(post("kranj-1").json()["result"], "r:ms=5");
  EXPECT_EQ(post("lj-vic-1").json()["result"], "r:ms=5");
  EXPECT_EQ(site.starts_of("kranj:cleat-log"), 1U);
}

}  // namespace
}  // namespace cyclamenwood
