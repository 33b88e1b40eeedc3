// Selects the log lines that explain the outcome of one request.
//
//   why_options options{.id = "5c0e7a21d94b36f8"};
//   for (const std::string& line : explain(lines, options)) ...
//
// The lines may come from any number of processes. The result is sorted by time
// and has two kinds of lines: those that name the request's id, as a job, in
// the name of a task or in the path of a call; and, from shortly before the
// first of these until the last, those about the upstreams that they name and
// about the state of owners, entry hosts and the configuration.
#ifndef CYCLAMENWOOD_WHY_H_
#define CYCLAMENWOOD_WHY_H_

#include <string>
#include <vector>

namespace cyclamenwood {

struct why_options {
  // The id of the request, chosen by the caller.
  std::string id;
  // Lines about upstreams and state are included from this long before the
  // first line that names the id. Longer than a lease and a change of owner
  // together.
  int64_t lookback_ms = 3'000;
};

// Each string of `lines` is one line; strings that are not log lines are
// ignored. The result is empty if no line names the id.
std::vector<std::string> explain(const std::vector<std::string>& lines,
                                 const why_options& options);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_WHY_H_
