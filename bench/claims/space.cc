#include "space.h"

#include <string>
#include <unordered_map>

#include "quincebank/base/random.h"
#include "quincebank/idempotency/idempotency.h"

namespace quincebank::bench {
namespace {

constexpr seconds kPass{10};
constexpr wall_time kStart{seconds(1'800'000'000)};
// Two hours beyond the retention, so that buckets are erased at the rate at which they are made.
constexpr seconds kSpan = kClaimRetention + std::chrono::hours(2);

class space_run {
 public:
  space_run(std::uint64_t orders_per_second, bool reduce, std::uint64_t seed)
      : rate_(orders_per_second),
        sweeper_({.layout = layout_, .reduce_age = reduce ? kReduceAge : kSpan * 2}),
        random_(seed) {}

  space_result Run() {
    for (seconds at{0}; at < kSpan; at += kPass) {
      if (at == kSpan - std::chrono::hours(1))
        reads_ = writes_ = 0;
      FillSlice(kStart + at);
      sweeper_.Begin(kStart + at, kKeyRetention);
      while (const auto call = sweeper_.Next())
        sweeper_.OnReply(Apply(*call));
    }
    space_result result;
    for (const auto& [name, stored] : items_) {
      result.bytes += static_cast<double>(name.size() + stored.value.size());
      const auto bucket = claim_bucket::Parse(name == kClaimFloorKey ? "" : stored.value);
      result.claims += bucket.value().size() + bucket.value().reduced();
    }
    constexpr double kHour = 3600;
    result.reads = static_cast<double>(reads_) / kHour;
    result.writes = static_cast<double>(writes_) / kHour;
    return result;
  }

 private:
  struct item {
    std::string value;
    std::uint64_t index = 0;
  };

  void FillSlice(wall_time at) {
    const std::uint64_t slice = SliceOf(layout_, at);
    for (std::uint32_t number = 0; number < layout_.timed_buckets; ++number) {
      claim_bucket bucket;
      for (std::uint64_t i = 0; i < rate_ * 10 / layout_.timed_buckets; ++i) {
        const claim made{{random_.Next(), random_.Next()},
                         random_.Next(),
                         NewTimedAttemptId(random_, at),
                         {"10.0.0." + std::to_string(random_.Below(3)) + ":7000", incarnation{1}},
                         at + kClaimRetention};
        (void)bucket.Put(made);
      }
      items_[TimedBucketName(slice, number)] = {bucket.Serialise(), ++index_};
    }
  }

  store_reply Apply(const store_action& action) {
    store_reply reply{action.operation, store_reply::status::kOk, {}, 0};
    if (action.what == store_action::kind::kErase) {
      ++writes_;
      items_.erase(action.key);
      return reply;
    }
    const auto found = items_.find(action.key);
    if (action.what == store_action::kind::kRead) {
      ++reads_;
      if (found != items_.end()) {
        reply.value = found->second.value;
        reply.index = found->second.index;
      }
      return reply;
    }
    ++writes_;
    items_[action.key] = {action.value, ++index_};
    return reply;
  }

  const std::uint64_t rate_;
  const bucket_layout layout_;
  claim_sweeper sweeper_;
  random_source random_;
  std::unordered_map<std::string, item> items_;
  std::uint64_t index_ = 0;
  std::size_t reads_ = 0;
  std::size_t writes_ = 0;
};

}  // namespace

space_result MeasureSpace(std::uint64_t orders_per_second, bool reduce, std::uint64_t seed) {
  return space_run(orders_per_second, reduce, seed).Run();
}

}  // namespace quincebank::bench
