// cyclamenwoodctl: the command line tool of operators.
//
// Most commands send one HTTP request to an entry host, to the metrics address
// of a process or to the control address of a replica, and print the response.
// The `check` commands and `why` read files only.
#include <curl/curl.h>
#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "cyclamenwood/bundle.h"
#include "cyclamenwood/settings.h"
#include "cyclamenwood/util/blocking_http.h"
#include "cyclamenwood/util/program.h"
#include "cyclamenwood/why.h"
#include "platform/codec.h"

namespace cyclamenwood {
namespace {

using json = nlohmann::json;

constexpr const char* PROGRAM = "cyclamenwoodctl";
constexpr long DEFAULT_TIMEOUT_MS = 60'000;
constexpr long FIRST_FAILURE_STATUS = 400;
constexpr int STATUS_OK = 200;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int INDENT = 2;
constexpr std::string_view METRICS_PREFIX = "cyclamenwood_";

constexpr const char* HELP =
    R"(Usage: cyclamenwoodctl [options] COMMAND

Commands without a host:
  settings check FILE         validate settings; print the failures that each
                              group of replicas survives
  bundle check FILE           validate a configuration bundle

Commands for the host given by --host:
  bundle roll-out FILE        roll out a bundle; prints the accepted version
  bundle show                 print the bundle in force
  job submit FILE             submit a job (JSON; - reads standard input)
  job show TENANT KEY         print a job's state or its result
  job cancel TENANT KEY       cancel a job
  upstreams                   list the known upstreams with state and holder
  status                      print the state of the host
  histograms                  print response time, queueing time and the ratio
                              to the ideal, by tenant and class
  drain                       start a graceful shutdown (entryd or replicad)

Commands for processes of a seeded deployment (--host: its metrics address):
  owners                      print the owner of each pool, as known to an entry
                              host
  room                        print the resources of the pools and upstreams
                              that an entry host owns
  log-state                   print a replica's Raft state and its position in
                              the control log
  evacuations                 print the availability zones that are evacuated,
                              as known to an entry host or a replica
  why ID FILE...              print the log lines that explain the outcome of a
                              request; the logs may be of several processes

Commands for a replica of a seeded deployment (--host: its control address):
  evacuate begin ZONE         start no further tasks in an availability zone
  evacuate finish ZONE        return the zone to service; its load is restored
                              gradually. Both follow a redirect to the leader
                              and may be repeated if no response arrives

Options:
  -H, --host IP:PORT          entry host's HTTP address (default 127.0.0.1:8000)
  -t, --timeout-ms MS         time limit of a request (default 60000)
  -j, --json                  print responses unchanged, for scripts
  -h, --help                  print this help

Exit codes: 0 success, 1 refused or failed (the typed error is printed to
standard error), 2 invalid command line, settings or bundle, 3 no response: the
request may have been executed.
)";

struct arguments {
  std::string host = "127.0.0.1:8000";
  long timeout_ms = DEFAULT_TIMEOUT_MS;
  bool raw_json = false;
  std::vector<std::string> words;
};

result<api_answer> call(const arguments& args,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body) {
  return call(blocking_request{args.host, method, path, body, args.timeout_ms});
}

result<std::string> read_input(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(path);
  if (!file)
    return error{error_code::usage, fmt::format("{}: cannot be read", path)};
  text << file.rdbuf();
  return text.str();
}

std::string escape(const std::string& text) {
  char* escaped =
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string copy(escaped);
  curl_free(escaped);
  return copy;
}

int print_reply(const arguments& args, const result<api_answer>& response) {
  if (!ok(response))
    return report_error(PROGRAM, failure(response));
  const auto& reply = std::get<api_answer>(response);
  json body = json::parse(reply.body, nullptr, false);
  bool failed = reply.status >= FIRST_FAILURE_STATUS;
  std::FILE* stream = failed ? stderr : stdout;
  if (args.raw_json || body.is_discarded()) {
    fmt::print(stream, "{}\n", reply.body);
  } else if (failed && body.contains("error")) {
    fmt::print(stderr, "{}: {}: {} (execution {}, bundle version {})\n",
               PROGRAM, body["error"].value("type", ""),
               body["error"].value("detail", ""), body.value("execution", ""),
               body.value("bundle_version", uint64_t{0}));
  } else {
    fmt::print(stream, "{}\n", body.dump(INDENT));
  }
  return failed ? EXIT_CODE_FAILED : EXIT_CODE_OK;
}

int send(const arguments& args,
         const std::string& method,
         const std::string& path,
         const std::string& body = {}) {
  return print_reply(args, call(args, method, path, body));
}

int send_file(const arguments& args,
              const std::string& method,
              const std::string& path,
              const std::string& file) {
  result<std::string> body = read_input(file);
  if (!ok(body))
    return report_error(PROGRAM, failure(body));
  return send(args, method, path, value(body));
}

// ---- Commands -------------------------------------------------------------

int check_settings(const arguments& args) {
  result<settings> loaded = load_settings(args.words[2]);
  if (!ok(loaded))
    return report_error(PROGRAM, failure(loaded));
  for (const std::string& line : describe_placement(value(loaded)))
    fmt::print("{}\n", line);
  return EXIT_CODE_OK;
}

int check_bundle(const arguments& args) {
  result<std::string> text = read_input(args.words[2]);
  if (!ok(text))
    return report_error(PROGRAM, failure(text));
  result<bundle> parsed = parse_bundle(value(text));
  if (!ok(parsed)) {
    report_error(PROGRAM, failure(parsed));
    return EXIT_CODE_USAGE;
  }
  fmt::print("version {} replaces {}\n", value(parsed).version,
             value(parsed).replaces);
  return EXIT_CODE_OK;
}

int roll_out(const arguments& args) {
  return send_file(args, "PUT", "/v1/bundle", args.words[2]);
}

int show_bundle(const arguments& args) {
  result<api_answer> response = call(args, "GET", "/v1/bundle", "");
  if (!args.raw_json && ok(response) &&
      value(response).status < FIRST_FAILURE_STATUS) {
    json body = json::parse(value(response).body, nullptr, false);
    fmt::print("{}\n", body.value("content", ""));
    return EXIT_CODE_OK;
  }
  return print_reply(args, response);
}

int submit_job(const arguments& args) {
  return send_file(args, "POST", "/v1/jobs", args.words[2]);
}

std::string job_path(const arguments& args) {
  return fmt::format("/v1/jobs/{}/{}", escape(args.words[2]),
                     escape(args.words[3]));
}

int show_job(const arguments& args) {
  return send(args, "GET", job_path(args));
}

int cancel_job(const arguments& args) {
  return send(args, "DELETE", job_path(args));
}

int show_histograms(const arguments& args) {
  result<api_answer> response = call(args, "GET", "/v1/metrics", "");
  if (args.raw_json || !ok(response))
    return print_reply(args, response);
  json page = json::parse(value(response).body, nullptr, false);
  for (const char* name : {"response_ms", "queue_ms", "response_over_ideal"}) {
    fmt::print("{}\n", name);
    for (const auto& [tenant, classes] : page[name].items()) {
      for (const auto& [class_name, cell] : classes.items()) {
        fmt::print(
            "  {:<16} {:<12} n {:<8} p50 {:<10.4g} p99 {:<10.4g} "
            "p99.9 {:.4g}\n",
            tenant, class_name, cell.value("count", 0.0),
            cell.value("p50", 0.0), cell.value("p99", 0.0),
            cell.value("p999", 0.0));
      }
    }
  }
  fmt::print("counters {}\n", page["counters"].dump(INDENT));
  return EXIT_CODE_OK;
}

// Prints the series of a metrics page whose names, without METRICS_PREFIX,
// start with one of `names`.
int show_series(const arguments& args,
                const std::vector<std::string_view>& names) {
  result<api_answer> response = call(args, "GET", "/metrics", "");
  if (!ok(response) || value(response).status >= FIRST_FAILURE_STATUS)
    return print_reply(args, response);
  std::istringstream page(value(response).body);
  for (std::string line; std::getline(page, line);) {
    if (!line.starts_with(METRICS_PREFIX))
      continue;
    std::string_view series =
        std::string_view(line).substr(METRICS_PREFIX.size());
    bool shown = std::any_of(
        names.begin(), names.end(),
        [series](std::string_view name) { return series.starts_with(name); });
    if (shown)
      fmt::print("{}\n", series);
  }
  return EXIT_CODE_OK;
}

// Explains the status of a refused order to begin or finish an evacuation.
std::string_view explain_refusal(int status) {
  switch (status) {
    case STATUS_BAD_REQUEST:
      return "the deployment has no such zone";
    case STATUS_NOT_FOUND:
      return "the deployment does not serve evacuations";
    default:
      return "no result yet; repeat the command or try another replica";
  }
}

// Begins (`active`) or finishes the evacuation of a zone.
int order_evacuation(const arguments& args, bool active) {
  const std::string& zone = args.words[2];
  blocking_request request{args.host, "POST",
                           platform::evacuation_path(escape(zone), active), "",
                           args.timeout_ms};
  request.follows_redirects = true;
  result<api_answer> response = call(request);
  if (!ok(response))
    return report_error(PROGRAM, failure(response));
  int status = value(response).status;
  if (status == STATUS_OK) {
    fmt::print("evacuation of {} {}\n", zone, active ? "begun" : "finished");
    return EXIT_CODE_OK;
  }
  fmt::print(stderr, "{}: evacuation of {}: HTTP status {}: {}\n", PROGRAM,
             zone, status, explain_refusal(status));
  return EXIT_CODE_FAILED;
}

int show_why(const arguments& args) {
  std::vector<std::string> lines;
  for (size_t i = 2; i < args.words.size(); ++i) {
    result<std::string> text = read_input(args.words[i]);
    if (!ok(text))
      return report_error(PROGRAM, failure(text));
    std::istringstream file(value(text));
    for (std::string line; std::getline(file, line);)
      lines.push_back(std::move(line));
  }
  std::vector<std::string> found = explain(lines, {.id = args.words[1]});
  for (const std::string& line : found)
    fmt::print("{}\n", line);
  if (!found.empty())
    return EXIT_CODE_OK;
  report_error(PROGRAM, error{error_code::not_found, args.words[1]});
  return EXIT_CODE_FAILED;
}

struct command {
  std::vector<std::string> words;
  // The number of arguments after `words`; the minimum if `takes_more` is set.
  size_t parameters = 0;
  std::function<int(const arguments&)> run;
  bool takes_more = false;
};

std::vector<command> all_commands() {
  return {
      {{"settings", "check"}, 1, check_settings},
      {{"bundle", "check"}, 1, check_bundle},
      {{"bundle", "roll-out"}, 1, roll_out},
      {{"bundle", "show"}, 0, show_bundle},
      {{"job", "submit"}, 1, submit_job},
      {{"job", "show"}, 2, show_job},
      {{"job", "cancel"}, 2, cancel_job},
      {{"upstreams"},
       0,
       [](const arguments& args) {
         return send(args, "GET", "/v1/upstreams");
       }},
      {{"status"},
       0,
       [](const arguments& args) { return send(args, "GET", "/v1/status"); }},
      {{"histograms"}, 0, show_histograms},
      {{"owners"},
       0,
       [](const arguments& args) { return show_series(args, {"owner"}); }},
      {{"room"},
       0,
       [](const arguments& args) {
         return show_series(args, {"pool_", "upstream_"});
       }},
      {{"log-state"},
       0,
       [](const arguments& args) {
         return show_series(args, {"raft_", "upstreams_heard"});
       }},
      {{"evacuations"},
       0,
       [](const arguments& args) { return show_series(args, {"evacuated{"}); }},
      {{"evacuate", "begin"},
       1,
       [](const arguments& args) { return order_evacuation(args, true); }},
      {{"evacuate", "finish"},
       1,
       [](const arguments& args) { return order_evacuation(args, false); }},
      {{"why"}, 2, show_why, true},
      {{"drain"},
       0,
       [](const arguments& args) { return send(args, "POST", "/v1/drain"); }},
  };
}

bool matches(const command& candidate, const arguments& args) {
  size_t min_words = candidate.words.size() + candidate.parameters;
  bool has_valid_count = candidate.takes_more ? args.words.size() >= min_words
                                              : args.words.size() == min_words;
  if (!has_valid_count)
    return false;
  return std::equal(candidate.words.begin(), candidate.words.end(),
                    args.words.begin());
}

int run(const arguments& args) {
  for (const command& candidate : all_commands()) {
    if (matches(candidate, args))
      return candidate.run(args);
  }
  return report_error(PROGRAM,
                      error{error_code::usage, "unknown command; see --help"});
}

int run_program(int argc, char** argv) {
  arguments args;
  const option options[] = {{"host", required_argument, nullptr, 'H'},
                            {"timeout-ms", required_argument, nullptr, 't'},
                            {"json", no_argument, nullptr, 'j'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "H:t:jh", options, nullptr)) != -1) {
    switch (choice) {
      case 'H':
        args.host = optarg;
        break;
      case 't':
        args.timeout_ms = std::strtol(optarg, nullptr, 10);
        break;
      case 'j':
        args.raw_json = true;
        break;
      case 'h':
        fmt::print("{}", HELP);
        return EXIT_CODE_OK;
      default:
        return EXIT_CODE_USAGE;
    }
  }
  if (args.timeout_ms <= 0)
    return report_error(
        PROGRAM, error{error_code::usage, "--timeout-ms must be positive"});
  for (int i = optind; i < argc; ++i)
    args.words.emplace_back(argv[i]);
  return run(args);
}

}  // namespace
}  // namespace cyclamenwood

int main(int argc, char** argv) {
  return cyclamenwood::run_program(argc, argv);
}
