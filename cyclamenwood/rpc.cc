// One thread polls gRPC's completion queue and runs all reactions. They only
// pass received envelopes to the receiver and start the next write. A stream
// has at most one operation of each kind in progress; the tag of an operation
// names the stream and the kind. A stream that was closed is deleted when its
// last operation has ended, which `closed_` and `pending_` tell.
//
// Envelopes that are sent while a write is in progress wait, and are then
// written as one message: a message costs several times what an envelope in it
// does, so that a process that is behind sends fewer of them.
//
// Keepalive pings end a stream whose peer has become unreachable without
// closing the connection, so that the next send opens a new stream instead of
// filling the queue of a dead connection.
#include "cyclamenwood/rpc.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

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
// A message of joined envelopes gets no longer than this.
constexpr size_t MAX_JOINED_BYTES = size_t{64} << 10;
constexpr auto REOPEN_DELAY = std::chrono::milliseconds(50);

using steady_clock = std::chrono::steady_clock;

struct queued_envelope {
  wire::envelope envelope;
  size_t bytes = 0;
};

// Envelopes queued for a stream.
class write_queue {
 public:
  // Returns false if the queue is full.
  bool push(wire::envelope envelope) {
    size_t bytes = envelope.ByteSizeLong();
    if (bytes_ + bytes > MAX_QUEUED_BYTES && !waiting_.empty())
      return false;
    bytes_ += bytes;
    waiting_.push_back({std::move(envelope), bytes});
    return true;
  }

  // Makes `current` the next message, of as many envelopes as it may hold and
  // at least one. Returns false if none is queued.
  bool take_next() {
    if (waiting_.empty())
      return false;
    size_t message_bytes = pop(current_);
    while (!waiting_.empty() &&
           message_bytes + waiting_.front().bytes <= MAX_JOINED_BYTES)
      message_bytes += pop(*current_.add_joined());
    return true;
  }

  const wire::envelope& current() const { return current_; }

 private:
  size_t pop(wire::envelope& into) {
    size_t bytes = waiting_.front().bytes;
    into = std::move(waiting_.front().envelope);
    waiting_.pop_front();
    bytes_ -= bytes;
    return bytes;
  }

  std::deque<queued_envelope> waiting_;
  // Invariant: the sum of `bytes` over `waiting_`.
  size_t bytes_ = 0;
  wire::envelope current_;
};

// Passes on the envelopes of a message in the order in which they were sent.
void deliver(wire::envelope message, const rpc_node::receiver& receive) {
  auto joined = std::move(*message.mutable_joined());
  message.clear_joined();
  receive(std::move(message));
  for (wire::envelope& envelope : joined)
    receive(std::move(envelope));
}

class stream;

enum class operation_kind {
  // A stream is opened by this process, or by another one.
  open,
  accept,
  read,
  write,
  finish,
};

// The tag of an operation in gRPC's completion queue.
struct operation {
  stream* owner = nullptr;
  operation_kind kind = operation_kind::open;
};

// One stream to another process, opened by either side. The functions that
// start an operation require that mutex_ is held.
class stream {
 public:
  // `opening`: open or accept. `written`: counts the messages.
  stream(operation_kind opening, std::atomic<uint64_t>& written)
      : opening_{this, opening}, written_messages_(written) {}
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;
  virtual ~stream() = default;

  // Returns false if the stream is closed or its queue is full.
  bool send(wire::envelope envelope) {
    std::lock_guard lock(mutex_);
    if (closed_ || !queue_.push(std::move(envelope)))
      return false;
    write_next();
    return true;
  }

  void close() {
    std::lock_guard lock(mutex_);
    close_locked();
  }

  // Called when an operation has ended. Returns whether it was the last one, so
  // that the stream is to be deleted.
  bool ended(operation_kind kind, bool ok) {
    if (kind == operation_kind::read && ok)
      received(std::exchange(incoming_, wire::envelope()));
    std::lock_guard lock(mutex_);
    --pending_;
    if (kind == operation_kind::finish)
      return true;
    if (kind == operation_kind::open || kind == operation_kind::accept)
      open_ = ok;
    if (kind == operation_kind::write)
      writing_ = false;
    if (!ok)
      close_locked();
    if (!closed_ && kind != operation_kind::write)
      read_next();
    if (!closed_)
      write_next();
    return closed_ && pending_ == 0 && !finish_locked();
  }

 protected:
  virtual void start_read(wire::envelope& into, void* tag) = 0;
  virtual void start_write(const wire::envelope& message, void* tag) = 0;
  virtual void start_finish(void* tag) = 0;
  // Makes the operations in progress end. A stream that another process opens
  // is cancelled only when it is open.
  virtual void cancel() = 0;
  virtual void received(wire::envelope message) = 0;

  void* begin(operation& started) {
    ++pending_;
    return &started;
  }

  operation opening_;

 private:
  void read_next() { start_read(incoming_, begin(reading_)); }

  void write_next() {
    if (!open_ || writing_ || !queue_.take_next())
      return;
    writing_ = true;
    ++written_messages_;
    start_write(queue_.current(), begin(written_));
  }

  void close_locked() {
    if (std::exchange(closed_, true))
      return;
    if (open_ || opening_.kind == operation_kind::open)
      cancel();
  }

  // gRPC requires the end of a stream that was opened. Returns false if there
  // is none to be requested.
  bool finish_locked() {
    if (!open_)
      return false;
    start_finish(begin(finishing_));
    return true;
  }

  std::atomic<uint64_t>& written_messages_;
  operation reading_{this, operation_kind::read};
  operation written_{this, operation_kind::write};
  operation finishing_{this, operation_kind::finish};
  std::mutex mutex_;
  write_queue queue_;
  wire::envelope incoming_;
  // Operations in progress.
  int pending_ = 0;
  bool open_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

// A peer that this process opens streams to.
struct peer_channel {
  std::mutex mutex;
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<wire::link::Stub> stub;
  // Guarded by `mutex`, as the time below. Null: none is open.
  stream* open = nullptr;
  steady_clock::time_point next_open_time;
};

class client_stream : public stream {
 public:
  client_stream(peer_channel& peer,
                const rpc_node::receiver& receive,
                std::atomic<uint64_t>& written)
      : stream(operation_kind::open, written), peer_(peer), receive_(receive) {}

  ~client_stream() override {
    std::lock_guard lock(peer_.mutex);
    if (peer_.open == this)
      peer_.open = nullptr;
    peer_.next_open_time = steady_clock::now() + REOPEN_DELAY;
  }

  void open(grpc::CompletionQueue& queue) {
    exchange_ = peer_.stub->PrepareAsyncexchange(&context_, &queue);
    exchange_->StartCall(begin(opening_));
  }

 protected:
  void start_read(wire::envelope& into, void* tag) override {
    exchange_->Read(&into, tag);
  }
  void start_write(const wire::envelope& message, void* tag) override {
    exchange_->Write(message, tag);
  }
  void start_finish(void* tag) override { exchange_->Finish(&status_, tag); }
  void cancel() override { context_.TryCancel(); }
  void received(wire::envelope message) override {
    deliver(std::move(message), receive_);
  }

 private:
  peer_channel& peer_;
  const rpc_node::receiver& receive_;
  grpc::ClientContext context_;
  grpc::Status status_;
  std::unique_ptr<grpc::ClientAsyncReaderWriter<wire::envelope, wire::envelope>>
      exchange_;
};

// Streams opened by other processes, by the host that their envelopes name as
// the sender.
struct accepted_streams {
  std::mutex mutex;
  std::map<std::string, stream*> by_host;
};

class server_stream : public stream {
 public:
  server_stream(accepted_streams& streams,
                const rpc_node::receiver& receive,
                std::atomic<uint64_t>& written)
      : stream(operation_kind::accept, written),
        streams_(streams),
        receive_(receive) {}

  ~server_stream() override {
    std::lock_guard lock(streams_.mutex);
    unregister();
  }

  // Waits for a stream that another process opens.
  void accept(wire::link::AsyncService& service,
              grpc::ServerCompletionQueue& queue) {
    service.Requestexchange(&context_, &exchange_, &queue, &queue,
                            begin(opening_));
  }

 protected:
  void start_read(wire::envelope& into, void* tag) override {
    exchange_.Read(&into, tag);
  }
  void start_write(const wire::envelope& message, void* tag) override {
    exchange_.Write(message, tag);
  }
  void start_finish(void* tag) override {
    exchange_.Finish(grpc::Status::OK, tag);
  }
  void cancel() override { context_.TryCancel(); }

  void received(wire::envelope message) override {
    register_sender(message.from());
    deliver(std::move(message), receive_);
  }

 private:
  // The latest stream of a host counts; if it ends, another one does.
  void register_sender(const std::string& host) {
    std::lock_guard lock(streams_.mutex);
    if (host == host_) {
      streams_.by_host.try_emplace(host, this);
      return;
    }
    unregister();
    host_ = host;
    streams_.by_host[host_] = this;
  }

  // Requires that the mutex of streams_ is held.
  void unregister() {
    auto found = streams_.by_host.find(host_);
    if (found != streams_.by_host.end() && found->second == this)
      streams_.by_host.erase(found);
  }

  accepted_streams& streams_;
  const rpc_node::receiver& receive_;
  grpc::ServerContext context_;
  grpc::ServerAsyncReaderWriter<wire::envelope, wire::envelope> exchange_{
      &context_};
  std::string host_;
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
  std::map<std::string, std::unique_ptr<peer_channel>> peers;
  accepted_streams incoming;
  wire::link::AsyncService service;
  // Both are null unless this process listens.
  std::unique_ptr<grpc::ServerCompletionQueue> server_queue;
  std::unique_ptr<grpc::Server> server;
  std::unique_ptr<grpc::CompletionQueue> own_queue;
  std::thread poller;
  // Streams that exist, and whether new ones may be opened.
  std::mutex mutex;
  std::condition_variable all_closed;
  int streams = 0;
  bool stopping = false;
  std::atomic<uint64_t> sent_messages{0};
  std::atomic<uint64_t> written_messages{0};
  std::atomic<uint64_t> sent_bytes{0};
  std::atomic<uint64_t> dropped_messages{0};

  grpc::CompletionQueue& queue() {
    return server_queue ? *server_queue : *own_queue;
  }

  // Starts the poller, once.
  void start_polling() {
    if (poller.joinable())
      return;
    if (!server_queue)
      own_queue = std::make_unique<grpc::CompletionQueue>();
    poller = std::thread([this] { poll(); });
  }

  void poll() {
    void* tag = nullptr;
    bool ok = false;
    while (queue().Next(&tag, &ok)) {
      auto& ended = *static_cast<operation*>(tag);
      stream* owner = ended.owner;
      if (ended.kind == operation_kind::accept && ok)
        accept_next();
      if (owner->ended(ended.kind, ok))
        remove(owner);
    }
  }

  // Returns whether a stream may be added, and counts it.
  bool add_stream() {
    std::lock_guard lock(mutex);
    streams += stopping ? 0 : 1;
    return !stopping;
  }

  void remove(stream* ended) {
    delete ended;
    std::lock_guard lock(mutex);
    if (--streams == 0)
      all_closed.notify_all();
  }

  void accept_next() {
    if (!add_stream())
      return;
    auto* next = new server_stream(incoming, receive, written_messages);
    next->accept(service, *server_queue);
  }

  static std::unique_ptr<peer_channel> make_channel(
      const std::string& address) {
    auto peer = std::make_unique<peer_channel>();
    peer->channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), channel_arguments());
    peer->stub = wire::link::NewStub(peer->channel);
    return peer;
  }

  bool send_to_peer(peer_channel& peer, wire::envelope envelope) {
    std::lock_guard lock(peer.mutex);
    if (peer.open == nullptr) {
      if (steady_clock::now() < peer.next_open_time || !add_stream())
        return false;
      start_polling();
      auto* opened = new client_stream(peer, receive, written_messages);
      peer.open = opened;
      opened->open(queue());
    }
    return peer.open->send(std::move(envelope));
  }

  bool send_to_accepted(const std::string& host, wire::envelope envelope) {
    std::lock_guard lock(incoming.mutex);
    auto found = incoming.by_host.find(host);
    return found != incoming.by_host.end() &&
           found->second->send(std::move(envelope));
  }

  // Ends all streams and the poller.
  void stop() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
    }
    for (auto& [host, peer] : peers) {
      std::lock_guard lock(peer->mutex);
      if (peer->open != nullptr)
        peer->open->close();
    }
    if (server)
      server->Shutdown(std::chrono::system_clock::now());
    if (!poller.joinable())
      return;
    {
      std::unique_lock lock(mutex);
      all_closed.wait(lock, [this] { return streams == 0; });
    }
    queue().Shutdown();
    poller.join();
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
  implementation_->stop();
}

result<done> rpc_node::listen(const std::string& address) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&implementation_->service);
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
  implementation_->server_queue = builder.AddCompletionQueue();
  implementation_->server = builder.BuildAndStart();
  if (!implementation_->server || port == 0) {
    implementation_->server.reset();
    implementation_->server_queue.reset();
    return error{error_code::listen_failed, address};
  }
  implementation_->accept_next();
  implementation_->start_polling();
  return done{};
}

void rpc_node::send(const std::string& host, wire::envelope envelope) {
  size_t bytes = envelope.ByteSizeLong();
  auto peer = implementation_->peers.find(host);
  bool sent =
      peer != implementation_->peers.end()
          ? implementation_->send_to_peer(*peer->second, std::move(envelope))
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
  counts.written_messages = implementation_->written_messages;
  counts.sent_bytes = implementation_->sent_bytes;
  counts.dropped_messages = implementation_->dropped_messages;
  return counts;
}

}  // namespace cyclamenwood
