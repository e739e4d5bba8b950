#include "store_load.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "quincebank/idempotency/idempotency.h"
#include "quincebank/scenario/event_loop.h"

namespace quincebank::bench {
namespace {

constexpr nanoseconds kHop = milliseconds(1);      // One way between failure domains.
constexpr nanoseconds kService = milliseconds(1);  // Of the key-value service.
constexpr seconds kClaimDeadline{4};

class load_run {
 public:
  load_run(const load_case& settings, seconds span, std::uint64_t seed)
      : settings_(settings), span_(span), loop_(seed), entries_(settings.entries) {
    for (std::size_t i = 0; i < settings.entries; ++i)
      names_.push_back("10.1.0." + std::to_string(i) + ":7100");
    layout_.slice = settings.slice;
    layout_.timed_buckets = settings.buckets;
    layout_.plain_buckets = settings.buckets;
  }

  load_result Run() {
    ScheduleOrder();
    const time_point end = loop_.now() + span_ + kClaimDeadline;
    while (loop_.Step(end)) {
    }
    return Result();
  }

 private:
  struct entry_state {
    std::map<std::string, std::unique_ptr<claim_writer>> writers;
    std::map<std::string, time_point> wakes;
  };
  struct item {
    std::string value;
    std::uint64_t index = 0;
  };

  void After(nanoseconds delay, scenario::event_loop::task work) {
    loop_.AfterInLife(delay, "", 0, std::move(work));
  }

  void ScheduleOrder() {
    const double gap =
        -std::log(1.0 - loop_.random().Unit()) / static_cast<double>(settings_.orders_per_second);
    After(std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(gap)), [this] {
      if (loop_.now() - started_ >= span_)
        return;
      PlaceOrder();
      ScheduleOrder();
    });
  }

  void PlaceOrder() {
    ++orders_;
    request_key key{{loop_.random().Next(), loop_.random().Next()}, std::nullopt};
    if (settings_.timed_keys)
      key.issued = loop_.wall();
    const std::string bucket = BucketName(layout_, key);
    claim value{key.digest,
                loop_.random().Next(),
                NewTimedAttemptId(loop_.random(), loop_.wall()),
                {"10.0.0." + std::to_string(loop_.random().Below(3)) + ":7000", incarnation{1}},
                loop_.wall()};
    std::size_t entry = loop_.random().Below(entries_.size());
    nanoseconds hop{0};
    if (settings_.mode == claim_mode::kForwarded) {
      const std::size_t preferred = PreferredEntry(bucket, names_);
      hop = preferred == entry ? nanoseconds(0) : kHop;
      entry = preferred;
    }
    const time_point placed = loop_.now();
    After(hop, [this, entry, bucket, value, placed, hop] {
      claim_writer& writer = Writer(entry, bucket);
      const std::uint64_t ticket =
          writer.Add({.value = value, .deadline = loop_.now() + kClaimDeadline}, loop_.now());
      waiting_[{&writer, ticket}] = placed - hop;  // The answer takes the hop back as well.
      Poll(entry, bucket);
    });
  }

  claim_writer& Writer(std::size_t entry, const std::string& bucket) {
    auto& writer = entries_[entry].writers[bucket];
    if (!writer) {
      claim_writer_options options{.seed = entry + 1};
      options.window = settings_.mode == claim_mode::kSingle ? milliseconds(0) : settings_.window;
      writer = std::make_unique<claim_writer>(bucket, options);
    }
    return *writer;
  }

  void Poll(std::size_t entry, const std::string& bucket) {
    claim_writer& writer = Writer(entry, bucket);
    for (const store_action& action : writer.Poll(loop_.now(), loop_.wall()))
      Call(entry, bucket, action);
    for (const claim_decision& decision : writer.TakeDecisions()) {
      const auto found = waiting_.find({&writer, decision.ticket});
      if (decision.outcome == claim_outcome::kOwned)
        latencies_.push_back(loop_.now() - found->second);
      else
        ++refused_;
      waiting_.erase(found);
    }
    const auto wake = writer.NextWake();
    time_point& planned = entries_[entry].wakes[bucket];
    if (!wake || (planned > loop_.now() && planned <= *wake))
      return;
    planned = std::max(*wake, loop_.now() + milliseconds(1));
    After(planned - loop_.now(), [this, entry, bucket] { Poll(entry, bucket); });
  }

  void Call(std::size_t entry, const std::string& bucket, const store_action& action) {
    After(kHop + kService, [this, entry, bucket, action] {
      const store_reply reply = Apply(action);
      After(kHop, [this, entry, bucket, reply] {
        Writer(entry, bucket).OnReply(reply, loop_.now());
        Poll(entry, bucket);
      });
    });
  }

  store_reply Apply(const store_action& action) {
    store_reply reply{action.operation, store_reply::status::kOk, {}, 0};
    if (action.what == store_action::kind::kErase) {
      ++writes_;
      return reply;
    }
    item& stored = items_[action.key];
    if (action.what == store_action::kind::kRead) {
      ++reads_;
      bytes_ += stored.value.size();
      reply.value = stored.value;
      reply.index = stored.index;
      return reply;
    }
    ++writes_;
    bytes_ += action.value.size();
    value_bytes_ += action.value.size();
    ++values_;
    max_value_ = std::max(max_value_, action.value.size());
    if (action.index != stored.index) {
      ++conflicts_;
      reply.what = store_reply::status::kConflict;
      return reply;
    }
    stored = {action.value, ++index_};
    reply.index = settings_.swap_returns_index ? index_ : 0;
    return reply;
  }

  load_result Result() {
    load_result result;
    const auto per_second = [&](std::size_t count) {
      return static_cast<double>(count) / static_cast<double>(span_.count());
    };
    result.orders = per_second(orders_);
    result.reads = per_second(reads_);
    result.writes = per_second(writes_);
    result.conflicts = per_second(conflicts_);
    result.bytes = per_second(bytes_);
    result.mean_value = values_ == 0 ? 0 : value_bytes_ / values_;
    result.max_value = max_value_;
    result.refused = refused_ + waiting_.size();
    std::sort(latencies_.begin(), latencies_.end());
    const auto quantile = [&](double share) {
      if (latencies_.empty())
        return 0.0;
      const auto at = static_cast<std::size_t>(share * static_cast<double>(latencies_.size() - 1));
      return std::chrono::duration<double, std::milli>(latencies_[at]).count();
    };
    result.claim_p50_ms = quantile(0.5);
    result.claim_p99_ms = quantile(0.99);
    return result;
  }

  const load_case settings_;
  const seconds span_;
  scenario::event_loop loop_;
  const time_point started_ = loop_.now();
  bucket_layout layout_;
  std::vector<entry_state> entries_;
  std::vector<std::string> names_;
  std::map<std::string, item> items_;
  std::map<std::pair<claim_writer*, std::uint64_t>, time_point> waiting_;
  std::vector<nanoseconds> latencies_;
  std::uint64_t index_ = 0;
  std::size_t orders_ = 0;
  std::size_t reads_ = 0;
  std::size_t writes_ = 0;
  std::size_t conflicts_ = 0;
  std::size_t bytes_ = 0;
  std::size_t values_ = 0;
  std::size_t value_bytes_ = 0;
  std::size_t max_value_ = 0;
  std::size_t refused_ = 0;
};

}  // namespace

load_result RunLoad(const load_case& settings, seconds span, std::uint64_t seed) {
  return load_run(settings, span, seed).Run();
}

}  // namespace quincebank::bench
