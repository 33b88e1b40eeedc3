// Tests that settings of a process of a seeded deployment are refused as a
// whole, with the path of the key at fault.
#include "cyclamenwood/host_settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace cyclamenwood {
namespace {

using nlohmann::json;

json make_settings() {
  return json::parse(R"({"name": "kranj-1", "zone": "kranj",
      "ip": "10.0.0.1", "rpc_port": 7, "seeds": ["10.0.0.1:8"],
      "zones": {"kranj": "si", "lj-vic": "si"}, "evacuation_ms": 5000})");
}

std::string failure_of(const json& document) {
  result<host_settings> parsed = parse_host_settings(document.dump());
  return ok(parsed) ? "" : failure(parsed).detail;
}

TEST(host_settings, lists_the_zones) {
  result<host_settings> parsed = parse_host_settings(make_settings().dump());
  ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
  EXPECT_EQ(value(parsed).zones, (std::vector<std::string>{"kranj", "lj-vic"}));
  EXPECT_EQ(value(parsed).evacuation_ms, 5000);
}

// Guards against a zone that no operator's request can name: its evacuation
// would be answered 400.
TEST(host_settings, refuses_names_that_a_path_cannot_hold) {
  for (const char* name : {"", "a/b", "a b", "a%20b", "a?", "a\"b", "\u017e"}) {
    json bad = make_settings();
    bad["zones"][name] = "si";
    EXPECT_TRUE(failure_of(bad).starts_with("zones.")) << failure_of(bad);
  }
  json long_name = make_settings();
  long_name["zones"][std::string(257, 'a')] = "si";
  EXPECT_TRUE(failure_of(long_name).starts_with("zones.aaa"));
  EXPECT_LT(failure_of(long_name).size(), 200U);
  json own = make_settings();
  own.erase("zones");
  own["zone"] = "a b";
  EXPECT_EQ(failure_of(own),
            "zone: must have 1 to 256 letters, digits and any of -._~");
}

// Guards against a process in a zone that no operator can evacuate.
TEST(host_settings, refuses_an_own_zone_that_is_not_listed) {
  json bad = make_settings();
  bad["zone"] = "Kranj";
  EXPECT_EQ(failure_of(bad), "zone: must be one of zones");
  // The zones are not known.
  bad["zones"] = json::object();
  EXPECT_EQ(failure_of(bad), "");
}

TEST(host_settings, refuses_zones_and_times_of_a_wrong_kind) {
  json list = make_settings();
  list["zones"] = {"kranj"};
  EXPECT_EQ(failure_of(list), "zones: must be an object");
  json negative = make_settings();
  negative["evacuation_ms"] = -1;
  EXPECT_TRUE(failure_of(negative).starts_with("evacuation_ms: "));
}

// Guards against a start that fails for names that nothing uses.
TEST(host_settings, any_zone_name_will_do_where_evacuations_are_off) {
  for (const char* name : {"a/b", "a b", "\u017e"}) {
    json other = make_settings();
    other["evacuation_ms"] = 0;
    other["zones"] = {{name, "si"}};
    EXPECT_EQ(failure_of(other), "");
    other["zone"] = name;
    EXPECT_EQ(failure_of(other), "");
  }
}

}  // namespace
}  // namespace cyclamenwood
