// How load and cache contents reach the entries.
#include <algorithm>
#include <numeric>
#include <utility>

#include "simulation.h"

namespace quincebank {
namespace {

constexpr std::uint64_t kPercent = 100;
constexpr std::uint32_t kEventBytes = 16;
constexpr std::uint32_t kBlockBytes = 8;

template <typename Values>
double MaxOverMean(const Values& values) {
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  if (sum <= 0)
    return 1;
  const double highest = *std::max_element(values.begin(), values.end());
  return highest * static_cast<double>(values.size()) / sum;
}

}  // namespace

void simulation::Report() {
  std::vector<std::uint32_t> loads;
  std::vector<std::uint32_t> arrivals;
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    // A cold engine's limit rises with time, so waiting requests may start now.
    Pump(i);
    reports_[i] = engines_[i].Report(now_);
    if (!engines_[i].taking())
      continue;
    loads.push_back(engines_[i].held());
    arrivals.push_back(window_arrivals_[i]);
  }
  last_report_ = now_;
  const std::size_t phase = PhaseAt(now_);
  result_.phases[phase].imbalance += MaxOverMean(loads);
  result_.phases[phase].burst += MaxOverMean(arrivals);
  ++samples_[phase];
  std::fill(window_arrivals_.begin(), window_arrivals_.end(), 0U);
  Schedule(now_ + config_.feed.report_every, event_kind::kReport);
}

void simulation::Poll(std::uint32_t entry) {
  const auto count = static_cast<std::uint32_t>(engines_.size());
  const std::uint32_t polls = std::min(config_.feed.polls_per_second, count);
  const auto start = static_cast<std::uint32_t>(entries_[entry].random().Below(count));
  for (std::uint32_t i = 0; i < polls; ++i) {
    const std::uint32_t index = (start + i) % count;
    if (engines_[index].up())
      entries_[entry].Hint(index, reports_[index], last_report_);
  }
  Schedule(now_ + kPollEvery, event_kind::kPoll, entry);
}

void simulation::FlushCache() {
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    if (!engines_[i].up())
      continue;
    batches_.push_back({i, engines_[i].TakeEvents()});
    Schedule(now_ + config_.feed.event_lag, event_kind::kCacheDeliver);
  }
  Schedule(now_ + config_.feed.event_batch, event_kind::kCacheFlush);
}

void simulation::DeliverCache() {
  const pending_batch next = std::move(batches_.front());
  batches_.pop_front();
  const cache_batch& changes = next.changes;
  const std::array<cache_event, 2> events{{
      {.boot = changes.boot,
       .sequence = changes.sequence,
       .kind = cache_event_kind::kStored,
       .blocks = changes.stored},
      {.boot = changes.boot,
       .sequence = changes.sequence + 1,
       .kind = cache_event_kind::kEvicted,
       .blocks = changes.evicted},
  }};
  event_bytes_ += static_cast<double>(
      events.size() * kEventBytes + (changes.stored.size() + changes.evicted.size()) * kBlockBytes);
  for (entry_model& entry : entries_) {
    for (cache_event one : events) {
      if (random_.Below(kPercent) < config_.feed.event_loss_percent)
        continue;
      one.upstream = entry.table().key(next.engine);
      entry.index()->Apply(one);
    }
  }
}

}  // namespace quincebank
