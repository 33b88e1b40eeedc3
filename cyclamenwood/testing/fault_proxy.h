// A TCP proxy that injects faults into the connections of its links. It runs on
// its own thread; calls block until that thread has carried them out.
//
//   fault_proxy proxy;
//   int link = proxy.add("127.0.0.1:7000", "127.0.0.2:8000");
//   // Partitions the link.
//   proxy.set(link, {.hold_forward = true, .hold_backward = true});
//   proxy.close_connections(link);
#ifndef CYCLAMENWOOD_TESTING_FAULT_PROXY_H_
#define CYCLAMENWOOD_TESTING_FAULT_PROXY_H_

#include <memory>
#include <string>

namespace cyclamenwood {

struct link_fault {
  // Bytes towards the target, or back from it, are read and held without an
  // error to the sender. They are delivered when the fault is lifted.
  bool hold_forward = false;
  bool hold_backward = false;
  // New connections are closed immediately after they are accepted.
  bool refuse = false;
  // Delay added in each direction.
  double delay_ms = 0;
};

class fault_proxy {
 public:
  fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  // Adds a link that forwards connections from `listen` to `target`, both as
  // "ip:port", and returns its index. Aborts if it can't listen.
  int add(const std::string& listen, const std::string& target);
  // Replaces the fault of the link, also for its open connections.
  void set(int link, const link_fault& fault);
  // Closes the link's open connections; the bytes that they hold are lost.
  void close_connections(int link);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_TESTING_FAULT_PROXY_H_
