#include "quincebank/experts/count_report.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace quincebank {
namespace {

/// Changes beyond this many standard deviations of a token count don't wait for the rotation.
constexpr double kSignificant = 6;

constexpr double kMinRateLog2 = -6;
constexpr double kLevelsPerOctave = 254.0 / 22;
constexpr int kMaxLevel = 255;

constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kGroupBits = 7;
constexpr std::uint8_t kMore = 0x80;
constexpr int kMaxGroups = 10;

void PutNumber(std::string& out, std::uint64_t value) {
  while (value >= kMore) {
    out.push_back(static_cast<char>((value & (kMore - 1U)) | kMore));
    value >>= kGroupBits;
  }
  out.push_back(static_cast<char>(value));
}

std::size_t SizeOfNumber(std::uint64_t value) {
  std::size_t size = 1;
  for (; value >= kMore; value >>= kGroupBits)
    ++size;
  return size;
}

/// Reads numbers until the first error, after which all are 0.
class number_reader {
 public:
  explicit number_reader(std::string_view bytes) : rest_(bytes) {}

  std::uint8_t Byte() {
    if (rest_.empty()) {
      failed_ = true;
      return 0;
    }
    const auto byte = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    return byte;
  }

  std::uint64_t Number() {
    std::uint64_t value = 0;
    for (int group = 0; group < kMaxGroups; ++group) {
      const std::uint8_t byte = Byte();
      value |= static_cast<std::uint64_t>(byte & (kMore - 1U)) << (group * kGroupBits);
      if ((byte & kMore) == 0)
        return value;
    }
    failed_ = true;
    return 0;
  }

  [[nodiscard]] bool failed() const noexcept { return failed_; }
  [[nodiscard]] bool empty() const noexcept { return rest_.empty(); }

 private:
  std::string_view rest_;
  bool failed_ = false;
};

error Malformed() {
  return MakeError(error_code::kInvalidArgument, "malformed report of token counts");
}

}  // namespace

double RateOfLevel(std::uint8_t level) noexcept {
  return level == 0 ? 0 : std::exp2(((level - 1) / kLevelsPerOctave) + kMinRateLog2);
}

std::uint8_t LevelOfRate(double rate) noexcept {
  if (rate <= 0)
    return 0;
  const double level = std::round((std::log2(rate) - kMinRateLog2) * kLevelsPerOctave) + 1;
  return static_cast<std::uint8_t>(std::clamp<double>(level, 0, kMaxLevel));
}

std::string EncodeReport(const count_report& report) {
  std::string out;
  out.push_back(static_cast<char>(kVersion));
  for (const std::uint64_t value :
       {report.sender, report.series, report.number, report.epoch, report.steps, report.tokens,
        report.busy_ns ? static_cast<std::uint64_t>(*report.busy_ns) + 1 : 0,
        std::uint64_t{report.first}, std::uint64_t{report.last}})
    PutNumber(out, value);
  std::uint32_t next = 0;
  for (const count_entry& entry : report.entries) {
    PutNumber(out, entry.counter - next);
    out.push_back(static_cast<char>(entry.level));
    next = entry.counter + 1;
  }
  return out;
}

result<count_report> DecodeReport(std::string_view bytes, std::size_t counters) {
  number_reader reader(bytes);
  if (reader.Byte() != kVersion)
    return Malformed();
  count_report report;
  report.sender = reader.Number();
  report.series = reader.Number();
  report.number = reader.Number();
  report.epoch = reader.Number();
  report.steps = reader.Number();
  report.tokens = reader.Number();
  const std::uint64_t busy = reader.Number();
  const std::uint64_t first = reader.Number();
  const std::uint64_t last = reader.Number();
  if (reader.failed() || first > last || last > counters ||
      busy > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
    return Malformed();
  if (busy > 0)
    report.busy_ns = static_cast<std::int64_t>(busy - 1);
  report.first = static_cast<std::uint32_t>(first);
  report.last = static_cast<std::uint32_t>(last);
  std::uint64_t next = 0;
  while (!reader.empty()) {
    const std::uint64_t gap = reader.Number();
    const std::uint8_t level = reader.Byte();
    if (reader.failed() || gap >= counters || next + gap >= counters)
      return Malformed();
    report.entries.push_back({static_cast<std::uint32_t>(next + gap), level});
    next += gap + 1;
  }
  return report;
}

count_encoder::count_encoder(std::uint64_t sender, double changed_part)
    : sender_(sender), changed_part_(changed_part) {}

void count_encoder::Restart(const count_reading& now, std::uint64_t coordinator) {
  coordinator_ = coordinator;
  ++series_;
  number_ = 0;
  epoch_ = now.epoch;
  rotation_ = 0;
  pending_.reset();
  counters_.assign(now.tokens.size(), {});
  for (std::size_t i = 0; i < counters_.size(); ++i) {
    counters_[i].tokens = now.tokens[i];
    counters_[i].steps = now.steps;
  }
}

void count_encoder::Confirm(const count_receipt& receipt) {
  if (!pending_)
    return;
  const count_report report = std::move(*pending_);
  pending_.reset();
  if (receipt.number != report.number)
    return;
  auto entry = report.entries.begin();
  for (std::uint32_t index = report.first; index < report.last; ++index) {
    while (entry != report.entries.end() && entry->counter < index)
      ++entry;
    if (entry == report.entries.end() || entry->counter != index)
      Tell(index, 0);
  }
  for (const count_entry& told : report.entries)
    Tell(told.counter, RateOfLevel(told.level));
  rotation_ = report.last >= counters_.size() ? 0 : report.last;
}

void count_encoder::Tell(std::size_t index, double rate) {
  counter& known = counters_[index];
  known.carry = Rate(pending_reading_, index) - rate;
  known.tokens = pending_reading_.tokens[index];
  known.steps = pending_reading_.steps;
  known.rate = rate;
  known.known = true;
}

double count_encoder::Rate(const count_reading& now, std::size_t index) const {
  const counter& known = counters_[index];
  if (now.steps <= known.steps)
    return known.rate;
  // The carry is kept as a rate: as tokens, it would distort a short interval after a long one.
  const double tokens = static_cast<double>(now.tokens[index] - known.tokens);
  return std::max(0.0, (tokens / static_cast<double>(now.steps - known.steps)) + known.carry);
}

std::vector<std::uint32_t> count_encoder::Changed(const count_reading& now) const {
  std::vector<std::pair<double, std::uint32_t>> changes;
  for (std::size_t index = 0; index < counters_.size(); ++index) {
    const counter& known = counters_[index];
    if (!known.known || now.steps <= known.steps)
      continue;
    const auto steps = static_cast<double>(now.steps - known.steps);
    const double rate = Rate(now, index);
    const double change = std::abs(rate - known.rate);
    // Rounding to another level is no change.
    const double noise = std::sqrt(std::max(1.0, std::max(rate, known.rate) * steps)) / steps;
    if (change > kSignificant * noise && LevelOfRate(rate) != LevelOfRate(known.rate))
      changes.emplace_back(change, static_cast<std::uint32_t>(index));
  }
  std::sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<std::uint32_t> order;
  order.reserve(changes.size());
  for (const auto& change : changes)
    order.push_back(change.second);
  return order;
}

count_report count_encoder::Next(const count_reading& now,
                                 const count_receipt& receipt,
                                 std::size_t bytes) {
  const bool follows = receipt.coordinator == coordinator_ && receipt.sender == sender_ &&
                       receipt.series == series_ && now.epoch == epoch_ && now.steps >= steps_ &&
                       now.tokens.size() == counters_.size();
  if (follows)
    Confirm(receipt);
  else
    Restart(now, receipt.coordinator);
  steps_ = now.steps;
  count_report report;
  report.sender = sender_;
  report.series = series_;
  report.number = ++number_;
  report.epoch = epoch_;
  report.steps = now.steps;
  report.tokens = static_cast<std::uint64_t>(
      std::accumulate(now.tokens.begin(), now.tokens.end(), std::int64_t{0}));
  report.busy_ns = now.busy_ns;
  report.first = report.last = rotation_;
  const std::size_t room = std::max(bytes, kMinReportBytes) - kMinReportBytes;
  const auto add = [&](std::uint32_t index) {
    const std::uint8_t level = LevelOfRate(Rate(now, index));
    report.entries.push_back({index, level});
  };
  // An entry's size is known only in the final order; the largest gap is assumed.
  const std::size_t entry_size = SizeOfNumber(counters_.size()) + 1;
  std::vector<bool> told(counters_.size(), false);
  std::size_t used = 0;
  const bool has_interval = std::any_of(counters_.begin(), counters_.end(),
                                        [&](const auto& known) { return now.steps > known.steps; });
  if (has_interval) {
    for (const std::uint32_t index : Changed(now)) {
      if (static_cast<double>(used + entry_size) > changed_part_ * static_cast<double>(room))
        break;
      add(index);
      told[index] = true;
      used += entry_size;
    }
    std::uint32_t gap = 0;
    while (report.last < counters_.size()) {
      const std::uint32_t index = report.last;
      if (!told[index] && LevelOfRate(Rate(now, index)) > 0) {
        const std::size_t size = SizeOfNumber(gap) + 1;
        if (used + size > room)
          break;
        add(index);
        used += size;
        gap = 0;
      } else {
        ++gap;
      }
      ++report.last;
    }
  }
  std::sort(report.entries.begin(), report.entries.end(),
            [](const count_entry& a, const count_entry& b) { return a.counter < b.counter; });
  pending_ = report;
  pending_reading_ = now;
  return report;
}

count_reader::count_reader(std::uint64_t coordinator, std::size_t counters)
    : receipt_{coordinator},
      rates_(counters, 0),
      known_(counters, false),
      fresh_(counters, false),
      unknown_(counters) {}

void count_reader::Know(std::size_t index) {
  fresh_[index] = true;
  if (known_[index])
    return;
  known_[index] = true;
  --unknown_;
}

bool count_reader::Take(const count_report& report) {
  const bool same = report.sender == receipt_.sender && report.series == receipt_.series;
  const bool older = report.sender == receipt_.sender && report.series < receipt_.series;
  if (older || (same && report.number <= receipt_.number))
    return false;
  if (!same) {
    known_.assign(known_.size(), false);
    unknown_ = known_.size();
  }
  fresh_.assign(fresh_.size(), false);
  for (std::uint32_t index = report.first; index < report.last; ++index) {
    rates_[index] = 0;
    Know(index);
  }
  for (const count_entry& entry : report.entries) {
    rates_[entry.counter] = RateOfLevel(entry.level);
    Know(entry.counter);
  }
  receipt_.sender = report.sender;
  receipt_.series = report.series;
  receipt_.number = report.number;
  last_ = report;
  last_.entries.clear();
  return true;
}

}  // namespace quincebank
