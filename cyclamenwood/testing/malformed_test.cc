// Messages that are well-formed on the wire and make no sense: every field of
// an envelope is missing, extreme or random. The reducers of the entry host and
// of the replica of the control log must take them and go on working.
//
// Peers of this deployment are trusted, yet one faulty or newer process must
// not take the others down.
#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "cyclamenwood/host_entry.h"
#include "cyclamenwood/replica.h"

namespace cyclamenwood {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr int MAX_DEPTH = 4;
constexpr int MESSAGES_PER_SEED = 400;
constexpr uint64_t SEEDS = 40;

class envelope_maker {
 public:
  explicit envelope_maker(uint64_t seed) : random_(seed) {}

  wire::envelope make() {
    wire::envelope made;
    const auto* bodies = wire::envelope::descriptor()->oneof_decl(0);
    const FieldDescriptor* body =
        bodies->field(static_cast<int>(below(bodies->field_count())));
    fill(*made.GetReflection()->MutableMessage(&made, body), 0);
    made.set_from(text());
    made.set_incarnation(number());
    return made;
  }

  uint64_t below(uint64_t bound) {
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random_);
  }

 private:
  // Values that the receiver knows are frequent, so that messages get past the
  // first checks.
  std::string text() {
    static const std::vector<std::string> known = {
        "",        "kranj", "kranj/0/2", "kranj/1/2", "e1",       "e2",
        "control", "u1",    "fit-desk",  "a",         "10.0.0.1", "\xff\xfe"};
    if (below(8) == 0)
      return std::string(below(300), static_cast<char>(below(256)));
    return known[below(known.size())];
  }

  uint64_t number() {
    switch (below(5)) {
      case 0:
        return 0;
      case 1:
        return UINT64_MAX - below(3);
      case 2:
        return uint64_t{1} << below(64);
      case 3:
        return 1'000'000 + below(100);
      default:
        return below(6);
    }
  }

  void set_scalar(Message& message, const FieldDescriptor* field, bool add) {
    const Reflection& access = *message.GetReflection();
    uint64_t drawn = number();
#define CYCLAMENWOOD_SET(kind, value)            \
  add ? access.Add##kind(&message, field, value) \
      : access.Set##kind(&message, field, value)
    switch (field->cpp_type()) {
      case FieldDescriptor::CPPTYPE_INT32:
        CYCLAMENWOOD_SET(Int32, static_cast<int32_t>(drawn));
        break;
      case FieldDescriptor::CPPTYPE_INT64:
        CYCLAMENWOOD_SET(Int64, static_cast<int64_t>(drawn));
        break;
      case FieldDescriptor::CPPTYPE_UINT32:
        CYCLAMENWOOD_SET(UInt32, static_cast<uint32_t>(drawn));
        break;
      case FieldDescriptor::CPPTYPE_UINT64:
        CYCLAMENWOOD_SET(UInt64, drawn);
        break;
      case FieldDescriptor::CPPTYPE_BOOL:
        CYCLAMENWOOD_SET(Bool, drawn % 2 == 1);
        break;
      case FieldDescriptor::CPPTYPE_ENUM:
        CYCLAMENWOOD_SET(EnumValue, static_cast<int>(drawn % 7));
        break;
      case FieldDescriptor::CPPTYPE_STRING:
        CYCLAMENWOOD_SET(String, text());
        break;
      default:
        break;
    }
#undef CYCLAMENWOOD_SET
  }

  void fill(Message& message, int depth) {
    const google::protobuf::Descriptor& type = *message.GetDescriptor();
    const Reflection& access = *message.GetReflection();
    for (int i = 0; i < type.field_count(); ++i) {
      const FieldDescriptor* field = type.field(i);
      bool is_message = field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
      if (below(4) == 0 || (is_message && depth == MAX_DEPTH))
        continue;
      uint64_t entries = field->is_repeated() ? below(4) : 1;
      for (uint64_t entry = 0; entry < entries; ++entry) {
        if (!is_message)
          set_scalar(message, field, field->is_repeated());
        else if (field->is_repeated())
          fill(*access.AddMessage(&message, field), depth + 1);
        else
          fill(*access.MutableMessage(&message, field), depth + 1);
      }
    }
  }

  std::mt19937_64 random_;
};

result<route_table> read_one_route(std::string_view content) {
  if (content.size() % 2 == 1)
    return error{error_code::malformed_request, "body"};
  route queue;
  queue.name = "q";
  queue.host = "h";
  queue.path_prefix = "/q/";
  queue.service = "fit-desk";
  queue.timeout_ms = 500;
  queue.max_attempts = 2;
  route_table table;
  table.version = 1;
  table.routes = {queue};
  return table;
}

// What a replica would send, so that the process owns a pool with an upstream.
wire::envelope make_valid_news(uint64_t incarnation) {
  wire::envelope envelope;
  envelope.set_from("control");
  wire::control_news& news = *envelope.mutable_control_news();
  news.mutable_latest()->set_version(1);
  wire::owner_grant& grant = *news.add_grants();
  grant.set_zone("kranj");
  grant.set_host("e1");
  grant.set_incarnation(incarnation);
  grant.set_token(1);
  wire::upstream& upstream = *news.add_upstreams();
  upstream.set_id("u1");
  upstream.set_incarnation(1);
  upstream.set_service("fit-desk");
  upstream.set_zone("kranj");
  upstream.set_state(wire::UPSTREAM_READY);
  upstream.mutable_capacity()->set_cpu_milli(4000);
  upstream.mutable_capacity()->set_memory_mb(4000);
  return envelope;
}

caller_call make_call(uint64_t exchange) {
  caller_call call;
  call.exchange = exchange;
  call.host = "h";
  call.path = fmt::format("/q/{:016x}", exchange);
  job_spec job;
  job.best_effort = true;
  step_spec step;
  step.count = 3;
  step.need.set_cpu_milli(1000);
  step.estimate_ms = 100;
  job.steps = {step};
  call.job = job;
  return call;
}

TEST(malformed, an_entry_host_survives_any_envelope) {
  for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
    SCOPED_TRACE(seed);
    envelope_maker maker(seed);
    host_settings settings;
    settings.name = settings.rpc = "e1";
    settings.zone = "kranj";
    host_entry state = make_host_entry(settings, 1'000'000, &read_one_route);
    unix_ms now = 1'000'000;
    reduce(state, host_received{now, make_valid_news(1'000'000)});
    for (int i = 0; i < MESSAGES_PER_SEED; ++i) {
      now += static_cast<int64_t>(maker.below(40));
      reduce(state, host_received{now, maker.make()});
      if (i % 5 == 0)
        reduce(state, host_call{now, make_call(static_cast<uint64_t>(i))});
      if (i % 3 == 0)
        reduce(state, host_tick{now});
    }
    // A process that still works answers a call, whatever the answer is.
    uint64_t exchange = 1'000'000;
    std::vector<caller_answer> answers;
    auto take = [&](const host_effects& effects) {
      for (const host_effect& effect : effects) {
        const auto* answer = std::get_if<caller_answer>(&effect);
        if (answer != nullptr && answer->exchange == exchange)
          answers.push_back(*answer);
      }
    };
    take(reduce(state, host_call{now, make_call(exchange)}));
    for (unix_ms end = now + 1000; now < end; now += 20)
      take(reduce(state, host_tick{now}));
    EXPECT_EQ(answers.size(), 1U);
  }
}

TEST(malformed, a_control_replica_survives_any_envelope) {
  for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
    SCOPED_TRACE(seed);
    envelope_maker maker(seed);
    host_settings settings;
    settings.name = settings.rpc = "10.0.0.1:7720";
    settings.zone = "kranj";
    settings.seeds = {"10.0.0.1:7720"};
    settings.bootstrap = true;
    unix_ms now = 1'000'000;
    replica_state state = make_control_replica(
        settings, {}, {}, bootstrap_identity(settings.rpc), seed, now);
    reduce(state, replica_started{now});
    for (int i = 0; i < MESSAGES_PER_SEED; ++i) {
      now += static_cast<int64_t>(maker.below(40));
      reduce(state, replica_received{now, maker.make()});
      if (i % 3 == 0)
        reduce(state, replica_tick{now});
    }
  }
}

TEST(malformed, damaged_bytes_of_an_envelope_are_rejected_or_read) {
  // The library would report each text that is not UTF-8.
  google::protobuf::SetLogHandler(nullptr);
  envelope_maker maker(7);
  for (int i = 0; i < MESSAGES_PER_SEED; ++i) {
    std::string bytes = maker.make().SerializeAsString();
    wire::envelope read;
    for (size_t end = 0; end < bytes.size(); end += 1 + bytes.size() / 16)
      read.ParseFromString(bytes.substr(0, end));
    for (int flip = 0; flip < 8 && !bytes.empty(); ++flip) {
      bytes[maker.below(bytes.size())] ^=
          static_cast<char>(1 << maker.below(8));
      read.ParseFromString(bytes);
    }
  }
}

}  // namespace
}  // namespace cyclamenwood
