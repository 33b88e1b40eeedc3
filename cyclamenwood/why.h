// Finds the log lines that explain one request.
//
//   why_options wanted{.id = "5c0e7a21d94b36f8"};
//   for (const std::string& line : explain(lines, wanted)) ...
//
// Lines are of any number of processes, one a string. The result is in order of
// time: the lines that name the id, as a job or as part of a task's name, and,
// between the first and the last of them, the lines about the upstreams, owners
// and configuration that those depend on.
#ifndef CYCLAMENWOOD_WHY_H_
#define CYCLAMENWOOD_WHY_H_

#include <string>
#include <vector>

namespace cyclamenwood {

struct why_options {
  // The id that the caller chose.
  std::string id;
  // How long before the first line about the id the state that it met may have
  // come to be: longer than a lease and a change of owner together.
  int64_t before_ms = 3'000;
};

// Lines that are no log lines are passed over.
std::vector<std::string> explain(const std::vector<std::string>& lines,
                                 const why_options& wanted);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_WHY_H_
