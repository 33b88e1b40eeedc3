// A TCP proxy that injects faults, on a thread of its own.
//
//   fault_proxy proxy;
//   int link = proxy.add("127.0.0.1:7000", "127.0.0.2:8000");
//   proxy.set(link, {.hold_forward = true, .hold_backward = true});  // cut
//   proxy.close_connections(link);
#ifndef CYCLAMENWOOD_TESTING_FAULT_PROXY_H_
#define CYCLAMENWOOD_TESTING_FAULT_PROXY_H_

#include <memory>
#include <string>

namespace cyclamenwood {

struct link_fault {
  // Bytes towards the target, or back from it, are read and held silently;
  // they flow again when the fault is lifted.
  bool hold_forward = false;
  bool hold_backward = false;
  // New connections are closed at once.
  bool refuse = false;
  // Added to every byte's way, in each direction.
  double delay_ms = 0;
};

class fault_proxy {
 public:
  fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  int add(const std::string& listen, const std::string& target);
  void set(int link, const link_fault& fault);
  void close_connections(int link);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_FAULT_PROXY_H_
