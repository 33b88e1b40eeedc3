// gRPC's callback API runs reactions on its own threads. They only pass
// received envelopes to the receiver and start the write of the next queued
// envelope. A stream object deletes itself in OnDone, the last reaction that
// gRPC calls; `closed_`, guarded by the stream's mutex, says whether it may
// still be written to.
//
// Keepalive pings end a stream whose peer has become unreachable without
// closing the connection, so that the next send opens a new stream instead of
// filling the queue of a dead connection.
#include "cyclamenwood/rpc.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

#include "cyclamenwood/wire.grpc.pb.h"

namespace cyclamenwood {
namespace {

// An unresponsive connection is detected within the sum of both, which is less
// than twice the shortest silence that the reducers tolerate.
constexpr int KEEPALIVE_TIME_MS = 500;
constexpr int KEEPALIVE_TIMEOUT_MS = 500;
constexpr int MIN_RECONNECT_BACKOFF_MS = 100;
constexpr int MAX_RECONNECT_BACKOFF_MS = 500;
constexpr int MAX_MESSAGE_BYTES = 256 << 20;
// A process has some dozens of streams and as little as 128 MB. A larger
// message is queued only alone.
constexpr size_t MAX_QUEUED_BYTES = size_t{8} << 20;
constexpr auto REOPEN_DELAY = std::chrono::milliseconds(50);

using steady_clock = std::chrono::steady_clock;

// Envelopes queued for a stream, of which one is being written at a time.
struct write_queue {
  std::deque<wire::envelope> waiting;
  size_t bytes = 0;
  bool writing = false;
  wire::envelope current;

  bool push(wire::envelope envelope) {
    size_t size = envelope.ByteSizeLong();
    if (bytes + size > MAX_QUEUED_BYTES && !waiting.empty())
      return false;
    bytes += size;
    waiting.push_back(std::move(envelope));
    return true;
  }

  bool take_next() {
    if (waiting.empty())
      return false;
    current = std::move(waiting.front());
    waiting.pop_front();
    bytes -= std::min(bytes, current.ByteSizeLong());
    return true;
  }
};

// Base of the client and server streams: keeps one write in progress and queues
// the other envelopes.
template <typename Reactor>
class queued_stream : public Reactor {
 public:
  // Returns false if the stream is closed or its queue is full.
  bool send(wire::envelope envelope) {
    std::lock_guard lock(mutex_);
    if (closed_ || !queue_.push(std::move(envelope)))
      return false;
    if (!queue_.writing)
      write_next();
    return true;
  }

 protected:
  // Requires that mutex_ is held.
  void write_next() {
    queue_.writing = !closed_ && queue_.take_next();
    if (queue_.writing)
      this->StartWrite(&queue_.current);
  }

  std::mutex mutex_;
  write_queue queue_;
  bool closed_ = false;
};

using client_reactor = grpc::ClientBidiReactor<wire::envelope, wire::envelope>;
using server_reactor = grpc::ServerBidiReactor<wire::envelope, wire::envelope>;

class client_stream;

// A peer that this process opens streams to. Outlives its streams, which share
// ownership of it.
struct peer_channel {
  std::mutex mutex;
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<wire::link::Stub> stub;
  client_stream* stream = nullptr;
  steady_clock::time_point next_open_time;
};

class client_stream : public queued_stream<client_reactor> {
 public:
  client_stream(std::shared_ptr<peer_channel> peer, rpc_node::receiver receive)
      : peer_(std::move(peer)), receive_(std::move(receive)) {}

  void open() {
    peer_->stub->async()->exchange(&context_, this);
    AddHold();
    StartRead(&incoming_);
    StartCall();
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      close();
      return;
    }
    receive_(std::move(incoming_));
    incoming_.Clear();
    StartRead(&incoming_);
  }

  void OnWriteDone(bool ok) override {
    if (!ok) {
      close();
      return;
    }
    std::lock_guard lock(mutex_);
    write_next();
  }

  void OnDone(const grpc::Status& /*status*/) override {
    {
      std::lock_guard lock(peer_->mutex);
      if (peer_->stream == this)
        peer_->stream = nullptr;
      peer_->next_open_time = steady_clock::now() + REOPEN_DELAY;
    }
    delete this;
  }

  void close() {
    {
      std::lock_guard lock(mutex_);
      if (closed_)
        return;
      closed_ = true;
    }
    context_.TryCancel();
    RemoveHold();
  }

 private:
  std::shared_ptr<peer_channel> peer_;
  rpc_node::receiver receive_;
  grpc::ClientContext context_;
  wire::envelope incoming_;
};

class server_stream;

// Streams opened by other processes, by the host that their envelopes name as
// the sender.
struct accepted_streams {
  std::mutex mutex;
  std::map<std::string, server_stream*> by_host;
};

class server_stream : public queued_stream<server_reactor> {
 public:
  server_stream(accepted_streams& streams, rpc_node::receiver receive)
      : streams_(streams), receive_(std::move(receive)) {
    StartRead(&incoming_);
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      close();
      return;
    }
    if (incoming_.from() != host_) {
      host_ = incoming_.from();
      std::lock_guard lock(streams_.mutex);
      streams_.by_host[host_] = this;
    }
    receive_(std::move(incoming_));
    incoming_.Clear();
    StartRead(&incoming_);
  }

  void OnWriteDone(bool ok) override {
    bool finish = false;
    {
      std::lock_guard lock(mutex_);
      queue_.writing = false;
      if (ok)
        write_next();
      finish = !queue_.writing && closed_;
    }
    if (finish)
      Finish(grpc::Status::OK);
    else if (!ok)
      close();
  }

  void OnCancel() override { close(); }

  void OnDone() override {
    {
      std::lock_guard lock(streams_.mutex);
      auto found = streams_.by_host.find(host_);
      if (found != streams_.by_host.end() && found->second == this)
        streams_.by_host.erase(found);
    }
    delete this;
  }

 private:
  // Finish must not be called while a write is in progress.
  void close() {
    bool finish = false;
    {
      std::lock_guard lock(mutex_);
      if (closed_)
        return;
      closed_ = true;
      finish = !queue_.writing;
    }
    if (finish)
      Finish(grpc::Status::OK);
  }

  accepted_streams& streams_;
  rpc_node::receiver receive_;
  wire::envelope incoming_;
  std::string host_;
};

class link_service : public wire::link::CallbackService {
 public:
  link_service(accepted_streams& streams, rpc_node::receiver receive)
      : streams_(streams), receive_(std::move(receive)) {}

  grpc::ServerBidiReactor<wire::envelope, wire::envelope>* exchange(
      grpc::CallbackServerContext* /*context*/) override {
    return new server_stream(streams_, receive_);
  }

 private:
  accepted_streams& streams_;
  rpc_node::receiver receive_;
};

grpc::ChannelArguments channel_arguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KEEPALIVE_TIME_MS);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KEEPALIVE_TIMEOUT_MS);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   MIN_RECONNECT_BACKOFF_MS);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MIN_RECONNECT_BACKOFF_MS);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MAX_RECONNECT_BACKOFF_MS);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetMaxReceiveMessageSize(MAX_MESSAGE_BYTES);
  arguments.SetMaxSendMessageSize(MAX_MESSAGE_BYTES);
  return arguments;
}

}  // namespace

struct rpc_node::implementation {
  receiver receive;
  std::map<std::string, std::shared_ptr<peer_channel>> peers;
  accepted_streams incoming;
  std::unique_ptr<link_service> service;
  std::unique_ptr<grpc::Server> server;
  std::atomic<uint64_t> sent_messages{0};
  std::atomic<uint64_t> sent_bytes{0};
  std::atomic<uint64_t> dropped_messages{0};

  static std::shared_ptr<peer_channel> make_channel(
      const std::string& address) {
    auto peer = std::make_shared<peer_channel>();
    peer->channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), channel_arguments());
    peer->stub = wire::link::NewStub(peer->channel);
    return peer;
  }

  bool send_to_peer(const std::shared_ptr<peer_channel>& peer,
                    wire::envelope envelope) {
    std::lock_guard lock(peer->mutex);
    if (peer->stream == nullptr) {
      if (steady_clock::now() < peer->next_open_time)
        return false;
      peer->stream = new client_stream(peer, receive);
      peer->stream->open();
    }
    return peer->stream->send(std::move(envelope));
  }

  bool send_to_accepted(const std::string& host, wire::envelope envelope) {
    std::lock_guard lock(incoming.mutex);
    auto found = incoming.by_host.find(host);
    return found != incoming.by_host.end() &&
           found->second->send(std::move(envelope));
  }
};

rpc_node::rpc_node(const std::map<std::string, std::string>& peer_addresses,
                   receiver receive)
    : implementation_(std::make_unique<implementation>()) {
  implementation_->receive = std::move(receive);
  for (const auto& [host, address] : peer_addresses)
    implementation_->peers.emplace(host, implementation::make_channel(address));
}

void rpc_node::add_peer(const std::string& host, const std::string& address) {
  if (!implementation_->peers.contains(host))
    implementation_->peers.emplace(host, implementation::make_channel(address));
}

rpc_node::~rpc_node() {
  for (auto& [host, peer] : implementation_->peers) {
    std::lock_guard lock(peer->mutex);
    if (peer->stream != nullptr)
      peer->stream->close();
  }
  if (implementation_->server)
    implementation_->server->Shutdown(std::chrono::system_clock::now());
}

result<done> rpc_node::listen(const std::string& address) {
  implementation_->service = std::make_unique<link_service>(
      implementation_->incoming, implementation_->receive);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(implementation_->service.get());
  builder.SetMaxReceiveMessageSize(MAX_MESSAGE_BYTES);
  builder.SetMaxSendMessageSize(MAX_MESSAGE_BYTES);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KEEPALIVE_TIME_MS);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                             KEEPALIVE_TIMEOUT_MS);
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      KEEPALIVE_TIME_MS / 2);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  implementation_->server = builder.BuildAndStart();
  if (!implementation_->server || port == 0)
    return error{error_code::listen_failed, address};
  return done{};
}

void rpc_node::send(const std::string& host, wire::envelope envelope) {
  size_t bytes = envelope.ByteSizeLong();
  auto peer = implementation_->peers.find(host);
  bool sent =
      peer != implementation_->peers.end()
          ? implementation_->send_to_peer(peer->second, std::move(envelope))
          : implementation_->send_to_accepted(host, std::move(envelope));
  if (!sent) {
    ++implementation_->dropped_messages;
    return;
  }
  ++implementation_->sent_messages;
  implementation_->sent_bytes += bytes;
}

rpc_counts rpc_node::counts() const {
  rpc_counts counts;
  counts.sent_messages = implementation_->sent_messages;
  counts.sent_bytes = implementation_->sent_bytes;
  counts.dropped_messages = implementation_->dropped_messages;
  return counts;
}

}  // namespace cyclamenwood
