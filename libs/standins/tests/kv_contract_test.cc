#include <gtest/gtest.h>

#include "quincebank/base/json_reader.h"
#include "quincebank/net/net.h"
#include "quincebank/platform/platform.h"
#include "quincebank/standins/standin.h"

namespace quincebank {
namespace {

constexpr milliseconds kTimeout{2000};

class kv_contract_test : public testing::Test {
 protected:
  void SetUp() override {
    auto listening =
        http_server::Listen({&server_thread_}, {"127.0.0.1", 0},
                            [this](http_exchange& exchange) { standin_->Handle(exchange); });
    ASSERT_TRUE(listening.has_value());
    server_ = std::move(listening.value());
    kv_ = MakeConsulKv(http_, server_->address(), kTimeout);
  }

  /// Runs one piece of the test in a fiber of the client's thread.
  void InFiber(const std::function<void()>& body) { client_thread_.RunAndWait(body); }

  void Control(const std::string& switches) {
    const auto answer = http_.Call({server_->address(), {"PUT", "/control", {}, switches}});
    ASSERT_TRUE(answer.has_value());
    ASSERT_EQ(answer.value().status, 200) << answer.value().body;
  }

  fiber_thread server_thread_{"server"};
  fiber_thread client_thread_{"client"};
  http_client http_{client_thread_};
  std::unique_ptr<standin> standin_ = MakeKvStandin({});
  std::unique_ptr<http_server> server_;
  std::unique_ptr<kv_store> kv_;
};

// Guards against a measurement that counts from another write than the accepted one.
TEST_F(kv_contract_test, TellsWhenAKeyWasLastWritten) {
  const auto written = [&](const std::string& key) -> std::int64_t {
    const auto answer =
        http_.Call({server_->address(), {"GET", "/control?written=" + key, {}, {}}});
    const auto counters = ParseJson(answer.value().body);
    const auto* const time = counters.value().as_object().if_contains("written_us");
    return time == nullptr ? 0 : time->to_number<std::int64_t>();
  };
  InFiber([&] {
    EXPECT_EQ(written("config/root"), 0);
    ASSERT_TRUE(kv_->CompareAndSwap("config/root", "1", kKvAbsent).has_value());
    const std::int64_t first = written("config/root");
    EXPECT_GT(first, 0);
    // Neither a refused swap nor a write of another key counts.
    ASSERT_TRUE(kv_->CompareAndSwap("config/root", "2", kKvAbsent).has_value());
    ASSERT_TRUE(kv_->CompareAndSwap("config/section/a", "3", kKvAbsent).has_value());
    EXPECT_EQ(written("config/root"), first);
  });
}

TEST_F(kv_contract_test, CreatesOnlyIfAbsent) {
  InFiber([&] {
    EXPECT_TRUE(kv_->CompareAndSwap("claims/1", "first", kKvAbsent).value());
    EXPECT_FALSE(kv_->CompareAndSwap("claims/1", "second", kKvAbsent).value());
    const auto entry = kv_->Get("claims/1").value();
    ASSERT_TRUE(entry.has_value());
    EXPECT_EQ(entry->value, "first");
    EXPECT_TRUE(kv_->CompareAndSwap("claims/1", "third", entry->index).value());
    EXPECT_FALSE(kv_->CompareAndSwap("claims/1", "fourth", entry->index).value());
  });
}

// Guards against deleting a value that was written after the caller looked at it.
TEST_F(kv_contract_test, ErasesOnlyTheExpectedIndex) {
  InFiber([&] {
    EXPECT_TRUE(kv_->CompareAndSwap("k", "first", kKvAbsent).value());
    const std::uint64_t seen = kv_->Get("k").value()->index;
    EXPECT_TRUE(kv_->CompareAndSwap("k", "first", seen).value());
    EXPECT_FALSE(kv_->EraseIf("k", seen).value()) << "the same bytes at another index";
    EXPECT_TRUE(kv_->EraseIf("k", kv_->Get("k").value()->index).value());
    EXPECT_EQ(kv_->Get("k").value(), std::nullopt);
    EXPECT_FALSE(kv_->EraseIf("k", seen).value());
    EXPECT_TRUE(kv_->CompareAndSwap("k", "second", kKvAbsent).value());
    EXPECT_GT(kv_->Get("k").value()->index, seen) << "an index never comes back";
  });
}

TEST_F(kv_contract_test, AbsentKeyIsNotAnError) {
  InFiber([&] { EXPECT_EQ(kv_->Get("none").value(), std::nullopt); });
}

// Guards against reporting a write as failed that took effect.
TEST_F(kv_contract_test, LostAnswerMayHaveRun) {
  InFiber([&] {
    Control(R"({"lose_answers": 1})");
    const auto written = kv_->CompareAndSwap("k", "value", kKvAbsent);
    ASSERT_FALSE(written.has_value());
    EXPECT_EQ(written.error().outcome, verdict::kMayHaveRun);
    EXPECT_EQ(kv_->Get("k").value()->value, "value");
  });
}

TEST_F(kv_contract_test, OutageIsUnavailable) {
  InFiber([&] {
    Control(R"({"down": true})");
    const auto read = kv_->Get("k");
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error().code, error_code::kUnavailable);
    EXPECT_EQ(kv_->CompareAndSwap("k", "v", kKvAbsent).error().outcome, verdict::kMayHaveRun);
  });
}

TEST_F(kv_contract_test, WatchSeesAChange) {
  InFiber([&] {
    ASSERT_TRUE(kv_->CompareAndSwap("k", "1", kKvAbsent).value());
    const auto before = kv_->Get("k").value();
    ASSERT_TRUE(before.has_value());
    ASSERT_TRUE(kv_->CompareAndSwap("k", "2", before->index).value());
    EXPECT_EQ(kv_->Watch("k", before->index, kTimeout).value()->value, "2");
  });
}

TEST_F(kv_contract_test, OneLeaseHoldsAKey) {
  InFiber([&] {
    const std::string first = kv_->OpenLease(milliseconds(60'000)).value();
    const std::string second = kv_->OpenLease(milliseconds(60'000)).value();
    EXPECT_TRUE(kv_->Acquire("leader", "a", first).value());
    EXPECT_FALSE(kv_->Acquire("leader", "b", second).value());
    EXPECT_TRUE(kv_->RenewLease(first).has_value());
    EXPECT_FALSE(kv_->RenewLease("unknown").has_value());
  });
}

TEST_F(kv_contract_test, RefusesAnOversizedValue) {
  InFiber([&] {
    const auto written = kv_->CompareAndSwap("k", std::string(kKvValueLimit + 1, 'x'), kKvAbsent);
    ASSERT_FALSE(written.has_value());
    EXPECT_EQ(written.error().outcome, verdict::kNotRun);
  });
}

struct host_list_case {
  const char* name;
  const char* text;
  const char* path;
};

class host_list_error_test : public testing::TestWithParam<host_list_case> {};

// Guards against a wrong host list that empties the membership view without a word.
TEST_P(host_list_error_test, NamesThePath) {
  const auto hosts = ParseHostList(GetParam().text);
  ASSERT_FALSE(hosts.has_value());
  EXPECT_EQ(hosts.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Lists,
    host_list_error_test,
    testing::Values(
        host_list_case{"object", "{}", ""},
        host_list_case{"no_host",
                       R"([{"targets":["1.2.3.4:5"],"labels":{"failure_domain":"a","role":"x"}}])",
                       "/0/labels/host"},
        host_list_case{
            "name",
            R"([{"targets":["h:5"],"labels":{"host":"h","failure_domain":"a","role":"x"}}])",
            "/0/targets"}),
    [](const auto& info) { return info.param.name; });

TEST(host_list_test, ReadsLeavingHosts) {
  const auto hosts = ParseHostList(
      R"([{"targets":["10.0.0.1:80"],"labels":{"host":"h1","failure_domain":"lahore","role":"upstream","state":"leaving"}}])");
  ASSERT_TRUE(hosts.has_value());
  ASSERT_EQ(hosts.value().size(), 1U);
  EXPECT_TRUE(hosts.value()[0].leaving);
  EXPECT_EQ(hosts.value()[0].process, (endpoint{"10.0.0.1", 80}));
}

}  // namespace
}  // namespace quincebank
