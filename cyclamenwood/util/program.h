// What the programs' mains share: exit codes and the reporting of errors.
#ifndef CYCLAMENWOOD_UTIL_PROGRAM_H_
#define CYCLAMENWOOD_UTIL_PROGRAM_H_

#include <string>
#include <string_view>

#include "cyclamenwood/error.h"

namespace cyclamenwood {

enum exit_code {
  EXIT_CODE_OK = 0,
  // The request was understood and refused, or the job failed.
  EXIT_CODE_FAILED = 1,
  // Wrong command line or settings.
  EXIT_CODE_USAGE = 2,
  // No answer: what was asked for may have happened.
  EXIT_CODE_UNREACHABLE = 3,
  // The log or a port could not be used.
  EXIT_CODE_SYSTEM = 4,
};

// The exit code for a program that ends with this error.
int exit_code_of(const error& failed);

// "program: type: argument" on standard error; returns the exit code.
int report(std::string_view program, const error& failed);

// The file that `--host` names, or the one that the environment names.
std::string host_settings_path(const char* given);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_PROGRAM_H_
