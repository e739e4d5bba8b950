#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <string>

#include "http_reply.h"
#include "quincebank/base/base.h"
#include "quincebank/net/http_message.h"
#include "quincebank/standins/standin.h"

namespace quincebank {
namespace {

constexpr std::string_view kKvPrefix = "/v1/kv/";
constexpr std::string_view kRenewPrefix = "/v1/session/renew/";
constexpr milliseconds kLongestWatch{600'000};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc())
    return std::nullopt;
  return value;
}

struct stored_value {
  std::string value;
  std::uint64_t index = 0;
  std::string lease;
  time_point written{};
};

struct lease_state {
  milliseconds time_to_live{};
  time_point expires;
};

/// Speaks the part of the Consul KV HTTP API that the balancer uses.
class kv_standin final : public standin {
 public:
  explicit kv_standin(const standin_settings& settings) : random_(settings.seed) {}

  void Handle(http_exchange& exchange) override {
    const auto target = ParseTarget(exchange.request().target);
    if (!target) {
      ReplyError(exchange, 400, "malformed target");
      return;
    }
    if (target->path == "/control") {
      Control(exchange, *target);
      return;
    }
    if (delay_.count() > 0)
      boost::this_fiber::sleep_for(delay_);
    if (down_) {
      ReplyError(exchange, 503, "service is down");
      return;
    }
    Dispatch(exchange, *target);
  }

 private:
  void Dispatch(http_exchange& exchange, const parsed_target& target) {
    const std::string& method = exchange.request().method;
    if (target.path.starts_with(kKvPrefix)) {
      const std::string key = target.path.substr(kKvPrefix.size());
      if (method == "GET") {
        Read(exchange, key, target);
      } else if (method == "PUT") {
        Write(exchange, key, target);
      } else if (method == "DELETE") {
        Delete(exchange, key, target);
      } else {
        ReplyError(exchange, 405, "method not allowed");
      }
      return;
    }
    if (method == "PUT" && target.path == "/v1/session/create") {
      OpenLease(exchange);
    } else if (method == "PUT" && target.path.starts_with(kRenewPrefix)) {
      RenewLease(exchange, target.path.substr(kRenewPrefix.size()));
    } else {
      ReplyError(exchange, 404, "not found");
    }
  }

  void Read(http_exchange& exchange, const std::string& key, const parsed_target& target) {
    const auto seen = target.Query("index");
    if (seen) {
      ++watches_;
      Wait(key, ParseNumber(*seen).value_or(0),
           milliseconds(ParseNumber(target.Query("wait").value_or("0")).value_or(0)));
      // A service that went down while the watch waited does not answer it.
      if (down_)
        return;
    } else {
      ++reads_;
    }
    ExpireLeases();
    const auto found = values_.find(key);
    if (found == values_.end()) {
      exchange.Respond({404, {{"X-Consul-Index", std::to_string(index_)}}, {}});
      return;
    }
    const stored_value& stored = found->second;
    ReplyJson(exchange, 200,
              boost::json::array{boost::json::object{{"Key", key},
                                                     {"Value", Base64Encode(stored.value)},
                                                     {"ModifyIndex", stored.index},
                                                     {"Session", stored.lease}}});
  }

  void Wait(const std::string& key, std::uint64_t seen, milliseconds duration) {
    const time_point until = std::chrono::steady_clock::now() + std::min(duration, kLongestWatch);
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, until, [&] {
      const auto found = values_.find(key);
      return down_ || (found == values_.end() ? 0 : found->second.index) != seen;
    });
  }

  void Write(http_exchange& exchange, const std::string& key, const parsed_target& target) {
    ++writes_;
    const std::string& value = exchange.request().body;
    if (value.size() > kValueLimit) {
      ReplyError(exchange, 413, "value too large");
      return;
    }
    const std::string swap(target.Query("cas").value_or(""));
    const std::string lease(target.Query("acquire").value_or(""));
    if (late_writes_ > 0) {
      --late_writes_;
      boost::this_fiber::sleep_for(late_);
      Store(key, value, swap, lease);
      return;
    }
    const bool stored = Store(key, value, swap, lease);
    if (lose_answers_ > 0) {
      --lose_answers_;
      return;
    }
    exchange.Respond({200, {{"Content-Type", "application/json"}}, stored ? "true" : "false"});
  }

  void Delete(http_exchange& exchange, const std::string& key, const parsed_target& target) {
    ++writes_;
    const std::string expected(target.Query("cas").value_or(""));
    const auto found = values_.find(key);
    const bool matches = expected.empty() ||
                         (found != values_.end() && ParseNumber(expected) == found->second.index);
    if (matches && found != values_.end()) {
      values_.erase(found);
      changed_.notify_all();
    }
    exchange.Respond({200, {{"Content-Type", "application/json"}}, matches ? "true" : "false"});
  }

  bool Store(const std::string& key,
             const std::string& value,
             const std::string& swap,
             const std::string& lease) {
    ExpireLeases();
    const auto found = values_.find(key);
    const std::uint64_t current = found == values_.end() ? 0 : found->second.index;
    if (!swap.empty() && ParseNumber(swap) != current)
      return false;
    if (!lease.empty()) {
      if (!leases_.contains(lease))
        return false;
      if (found != values_.end() && !found->second.lease.empty() && found->second.lease != lease)
        return false;
    }
    stored_value& stored = values_[key];
    stored.value = value;
    stored.index = ++index_;
    stored.written = std::chrono::steady_clock::now();
    if (!lease.empty())
      stored.lease = lease;
    changed_.notify_all();
    return true;
  }

  void OpenLease(http_exchange& exchange) {
    ++writes_;
    const auto parsed = ParseJson(exchange.request().body);
    std::vector<error> errors;
    const boost::json::value body = parsed ? parsed.value() : boost::json::value();
    json_reader reader(body, "", errors);
    const auto time_to_live = ParseNumber(reader.String("TTL"));
    if (!errors.empty() || !time_to_live) {
      ReplyError(exchange, 400, "expected a TTL");
      return;
    }
    const std::string id = ToString(NewAttemptId(random_));
    leases_[id] = {milliseconds(*time_to_live),
                   std::chrono::steady_clock::now() + milliseconds(*time_to_live)};
    ReplyJson(exchange, 200, boost::json::object{{"ID", id}});
  }

  void RenewLease(http_exchange& exchange, const std::string& id) {
    ++writes_;
    ExpireLeases();
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      ReplyError(exchange, 404, "lease has lapsed");
      return;
    }
    found->second.expires = std::chrono::steady_clock::now() + found->second.time_to_live;
    ReplyJson(exchange, 200, boost::json::array{boost::json::object{{"ID", id}}});
  }

  void ExpireLeases() {
    const time_point now = std::chrono::steady_clock::now();
    for (auto& [key, stored] : values_) {
      const auto lease = leases_.find(stored.lease);
      if (lease == leases_.end() || lease->second.expires > now)
        continue;
      stored.lease.clear();
    }
    std::erase_if(leases_, [&](const auto& lease) { return lease.second.expires <= now; });
  }

  /// `GET /control?written=KEY` adds when the key's present value was written, on the monotonic
  /// clock that all processes of a host share.
  void Control(http_exchange& exchange, const parsed_target& target) {
    if (exchange.request().method == "GET") {
      boost::json::object counters{{"down", down_},
                                   {"reads", reads_},
                                   {"writes", writes_},
                                   {"watches", watches_},
                                   {"keys", values_.size()}};
      const auto found = values_.find(std::string(target.Query("written").value_or("")));
      if (found != values_.end()) {
        counters["written_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                                     found->second.written.time_since_epoch())
                                     .count();
      }
      ReplyJson(exchange, 200, counters);
      return;
    }
    ReadControl(exchange, [&](json_reader& reader) {
      down_ = reader.Bool("down", down_);
      delay_ = reader.Millis("delay_ms", {0, 60'000}, delay_);
      lose_answers_ = reader.Int("lose_answers", {0, 1'000'000}, lose_answers_);
      late_writes_ = reader.Int("late_writes", {0, 1'000'000}, late_writes_);
      late_ = reader.Millis("late_ms", {0, 60'000}, late_);
    });
    changed_.notify_all();
  }

  static constexpr std::size_t kValueLimit = 1'000'000;

  random_source random_;
  std::uint64_t index_ = 0;
  std::map<std::string, stored_value> values_;
  std::map<std::string, lease_state> leases_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  bool down_ = false;
  milliseconds delay_{0};
  std::int64_t lose_answers_ = 0;
  std::int64_t late_writes_ = 0;
  milliseconds late_{0};
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t watches_ = 0;
};

}  // namespace

std::unique_ptr<standin> MakeKvStandin(const standin_settings& settings) {
  return std::make_unique<kv_standin>(settings);
}

}  // namespace quincebank
