// Exchanges envelopes between cyclamenwood's processes over gRPC streams.
//
//   rpc_node node(peers, [&](wire::envelope received) { ... });
//   node.listen("127.0.0.1:9001");
//   node.send("kranj-1", envelope);
//
// The node keeps one stream open to each configured peer and reopens it when it
// breaks. Delivery is best effort, as for datagrams: an envelope that can't be
// sent is dropped, and the reducers resend what matters. Envelopes to a process
// that is not a configured peer are sent on the stream that the other process
// has opened to this node. Envelopes on one stream arrive in the order in which
// they were sent.
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

// Totals since the node was created.
struct rpc_counts {
  // Envelopes, and the gRPC messages that they were written in.
  uint64_t sent_messages = 0;
  uint64_t written_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t dropped_messages = 0;
};

class rpc_node {
 public:
  // Called on a thread of the node.
  using receiver = std::function<void(wire::envelope)>;

  // `peer_addresses` maps hosts to "ip:port".
  rpc_node(const std::map<std::string, std::string>& peer_addresses,
           receiver receive);
  rpc_node(const rpc_node&) = delete;
  rpc_node& operator=(const rpc_node&) = delete;
  ~rpc_node();

  // Listens on "ip:port". Must be called before the first `send`. Returns
  // listen_failed with the address on failure.
  result<done> listen(const std::string& address);

  // Adds a peer after construction; no effect if the host is a peer already.
  // Must not be called while other threads call `send`.
  void add_peer(const std::string& host, const std::string& address);

  // Queues an envelope for a host. Drops the envelope, and counts it as
  // dropped, if no stream to the host is available or the stream's queue is
  // full.
  void send(const std::string& host, wire::envelope envelope);
  rpc_counts counts() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cyclamenwood

#endif  // CYCLAMENWOOD_RPC_H_
