// Envelopes between the project's own processes, over gRPC streams.
//
// To each configured peer one stream is kept open, and opened anew when it
// breaks. Envelopes are datagrams: what can't be sent is dropped and the
// reducers repeat what matters. A process that is no configured peer is
// answered on the stream that it opened itself.
#ifndef CYCLAMENWOOD_RPC_H_
#define CYCLAMENWOOD_RPC_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cyclamenwood/error.h"
#include "cyclamenwood/wire.pb.h"

namespace cyclamenwood {

struct rpc_counts {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t dropped_messages = 0;
};

class rpc_node {
 public:
  // `receive` is called on gRPC's threads.
  using receiver = std::function<void(wire::envelope)>;

  rpc_node(const std::map<std::string, std::string>& peer_addresses,
           receiver receive);
  rpc_node(const rpc_node&) = delete;
  rpc_node& operator=(const rpc_node&) = delete;
  ~rpc_node();

  // Listens on "ip:port".
  result<done> listen(const std::string& address);

  // Adds a peer that was not known at the start. Not while other threads call
  // `send`.
  void add_peer(const std::string& host, const std::string& address);

  void send(const std::string& host, wire::envelope envelope);
  rpc_counts counts() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_RPC_H_
