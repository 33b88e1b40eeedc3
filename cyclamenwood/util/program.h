// Functions shared by the main functions of the programs: exit codes, error
// reporting, the set-up of the process, and the path of the host's settings.
#ifndef CYCLAMENWOOD_UTIL_PROGRAM_H_
#define CYCLAMENWOOD_UTIL_PROGRAM_H_

#include <string>
#include <string_view>

#include "cyclamenwood/error.h"

namespace cyclamenwood {

enum exit_code {
  EXIT_CODE_OK = 0,
  // The request was refused, or the job failed.
  EXIT_CODE_FAILED = 1,
  // The command line or the settings are invalid.
  EXIT_CODE_USAGE = 2,
  // No answer was received; the request may have been executed.
  EXIT_CODE_UNREACHABLE = 3,
  // The write-ahead log, the data folder or a port could not be used.
  EXIT_CODE_SYSTEM = 4,
};

// The exit code of a program that ends with this error.
int exit_code_of(const error& failed);

// Prints "program: code: detail" to standard error, as far as that can be
// written. Returns the exit code.
int report_error(std::string_view program, const error& failed);

// Turns off the search for lock-order cycles that Debian's build of Abseil
// makes at each lock of gRPC's mutexes. Called before any thread is started.
void disable_lock_order_checks();

// The path of the host's settings: the value `given` on the command line, or
// that of CYCLAMENWOOD_CONFIG, or "host.json". `given` may be null.
std::string host_settings_path(const char* given);

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_UTIL_PROGRAM_H_
