#include "quincebank/telemetry/burn_series.h"

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <thread>
#include <utility>

namespace quincebank {
namespace {

constexpr std::uint32_t kUnusedPeriod = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t kClearing = kUnusedPeriod - 1;
// The short window is the current slot and the one before it.
constexpr std::uint32_t kShortSlots = 2;

}  // namespace

struct burn_series::slot {
  std::atomic<std::uint32_t> period{kUnusedPeriod};
  std::atomic<std::uint32_t> total{0};
  std::atomic<std::uint32_t> failed{0};
  std::atomic<std::uint32_t> slow{0};

  void AddTo(window_counts& window) const noexcept {
    window.total += total.load(std::memory_order_relaxed);
    window.failed += failed.load(std::memory_order_relaxed);
    window.slow += slow.load(std::memory_order_relaxed);
  }
};

struct burn_series::ring {
  explicit ring(std::size_t slot_count, bool with_latency)
      : slots(slot_count), latencies(with_latency ? slot_count : 0) {}

  std::vector<slot> slots;
  std::vector<latency_histogram> latencies;  ///< One per slot for a whole service, else empty.
};

burn_series::burn_series(std::string service,
                         std::string workspace,
                         milliseconds threshold,
                         const burn_settings& settings)
    : service_(std::move(service)),
      workspace_(std::move(workspace)),
      threshold_(threshold),
      slot_length_(std::max(settings.short_window, seconds(1))),
      long_slots_(static_cast<std::uint32_t>(std::max<seconds::rep>(
          kShortSlots,
          (settings.long_window + slot_length_ - seconds(1)) / slot_length_))) {}

burn_series::~burn_series() {
  delete ring_.load();
}

bool burn_series::SameWindows(const burn_settings& settings) const noexcept {
  const burn_series other({}, {}, threshold_, settings);
  return other.slot_length_ == slot_length_ && other.long_slots_ == long_slots_;
}

std::uint32_t burn_series::PeriodOf(time_point now) const noexcept {
  return static_cast<std::uint32_t>(now.time_since_epoch() / slot_length_);
}

std::size_t burn_series::SlotCount() const noexcept {
  // The long window is the current slot and `long_slots_` whole ones.
  return long_slots_ + 1;
}

burn_series::ring* burn_series::Ring() {
  ring* known = ring_.load(std::memory_order_acquire);
  if (known != nullptr)
    return known;
  auto fresh = std::make_unique<ring>(SlotCount(), workspace_.empty());
  if (ring_.compare_exchange_strong(known, fresh.get(), std::memory_order_acq_rel))
    return fresh.release();
  return known;
}

std::size_t burn_series::Current(time_point now) {
  ring& all = *Ring();
  const std::uint32_t period = PeriodOf(now);
  const std::size_t index = period % SlotCount();
  slot& current = all.slots[index];
  std::uint32_t seen = current.period.load(std::memory_order_acquire);
  while (seen != period) {
    if (seen == kClearing) {
      // Another thread clears the slot, which happens once per slot length.
      std::this_thread::yield();
      seen = current.period.load(std::memory_order_acquire);
      continue;
    }
    if (!current.period.compare_exchange_weak(seen, kClearing, std::memory_order_acq_rel))
      continue;
    current.total.store(0, std::memory_order_relaxed);
    current.failed.store(0, std::memory_order_relaxed);
    current.slow.store(0, std::memory_order_relaxed);
    if (!all.latencies.empty())
      all.latencies[index].Reset();
    current.period.store(period, std::memory_order_release);
    seen = period;
  }
  return index;
}

void burn_series::RecordServed(nanoseconds latency, time_point now) {
  const std::size_t index = Current(now);
  ring& all = *ring_.load(std::memory_order_acquire);
  slot& current = all.slots[index];
  current.total.fetch_add(1, std::memory_order_relaxed);
  if (latency > threshold_)
    current.slow.fetch_add(1, std::memory_order_relaxed);
  if (!all.latencies.empty())
    all.latencies[index].Record(latency);
}

void burn_series::RecordFailed(time_point now) {
  const std::size_t index = Current(now);
  slot& current = ring_.load(std::memory_order_acquire)->slots[index];
  current.total.fetch_add(1, std::memory_order_relaxed);
  current.failed.fetch_add(1, std::memory_order_relaxed);
}

series_counts burn_series::Counts(time_point now) const {
  series_counts counts{service_, workspace_, threshold_, {}, {}, {}};
  const ring* const all = ring_.load(std::memory_order_acquire);
  if (all == nullptr)
    return counts;
  if (!all->latencies.empty())
    counts.latency.emplace();
  const std::uint32_t period = PeriodOf(now);
  for (std::size_t i = 0; i < all->slots.size(); ++i) {
    const slot& one = all->slots[i];
    const std::uint32_t of = one.period.load(std::memory_order_acquire);
    if (of > period || period - of > long_slots_)
      continue;
    one.AddTo(counts.long_window);
    if (period - of < kShortSlots)
      one.AddTo(counts.short_window);
    if (counts.latency)
      counts.latency->Merge(all->latencies[i].Counts());
  }
  return counts;
}

}  // namespace quincebank
