#include "quincebank/scenario/fault_schedule.h"

#include <algorithm>
#include <array>
#include <map>

#include "quincebank/base/ids.h"
#include "quincebank/base/random.h"
#include "quincebank/scenario/event_loop.h"

namespace quincebank::scenario {
namespace {

constexpr std::size_t kSweeps = 24;
constexpr std::uint64_t kOldestKeyMinutes = 240;

/// Draws the lines of one script.
class schedule_writer {
 public:
  schedule_writer(std::uint64_t seed, const schedule_options& options)
      : random_(seed), options_(options) {}

  std::string Write() {
    for (std::size_t i = 0; i < options_.orders; ++i)
      AddOrder(random_.Below(2) == 0 ? "k" + std::to_string(i) : TimedKey());
    for (std::size_t i = 0; i < options_.faults; ++i)
      AddFault();
    for (std::size_t i = 0; options_.retention && i < kSweeps; ++i)
      AddSweep();
    std::string text = Names("entry", "e", options_.entries) + Names("agent", "a", options_.agents);
    text += random_.Below(2) == 0 ? "forwarding on\nrun 50ms\n" : "run 50ms\n";
    milliseconds now(0);
    for (const auto& [at, line] : lines_) {
      if (at > now)
        text += "run " + std::to_string((at - now).count()) + "ms\n";
      now = std::max(now, at);
      text += line + "\n";
    }
    return text + "settle\n";
  }

 private:
  static std::string Names(const std::string& verb, const std::string& prefix, std::size_t count) {
    std::string line = verb;
    for (std::size_t i = 1; i <= count; ++i)
      line += " " + prefix + std::to_string(i);
    return line + "\n";
  }

  milliseconds Until(std::int64_t limit) {
    return milliseconds(random_.Below(static_cast<std::uint64_t>(limit)));
  }
  std::string Entry() { return "e" + std::to_string(1 + random_.Below(options_.entries)); }
  std::string Agent() { return "a" + std::to_string(1 + random_.Below(options_.agents)); }
  std::string Count() { return std::to_string(1 + random_.Below(3)); }
  static std::string Text(milliseconds span) { return std::to_string(span.count()) + "ms"; }
  void At(milliseconds when, std::string line) { lines_.emplace(when, std::move(line)); }

  /// A UUIDv7, whose claim goes to the bucket of its time slice.
  std::string TimedKey() {
    wall_time issued = kScenarioStart;
    if (options_.retention)
      issued -= std::chrono::minutes(random_.Below(kOldestKeyMinutes));
    const auto ms = std::chrono::duration_cast<milliseconds>(issued.time_since_epoch()).count();
    const std::string digits = ToString(
        attempt_id{(static_cast<std::uint64_t>(ms) << 16U) | 0x7000U | random_.Below(0x1000),
                   (random_.Next() >> 2U) | (1ULL << 63U)});
    return digits.substr(0, 8) + "-" + digits.substr(8, 4) + "-" + digits.substr(12, 4) + "-" +
           digits.substr(16, 4) + "-" + digits.substr(20);
  }

  void AddOrder(const std::string& key) {
    const milliseconds at = Until(options_.span.count());
    const std::uint64_t kind = random_.Below(20);
    const std::string call = " key=" + key + " via ";
    if (kind < 3)
      return At(at, "order" + call + Entry() + " as=plain");
    if (kind < 5)
      return At(at, "order" + call + Entry() + " as=repeatable");
    At(at, "order" + call + Entry());
    const std::uint64_t more = random_.Below(4);
    for (std::uint64_t i = 0; i < more; ++i) {
      const bool twin = random_.Below(3) == 0;
      At(at + (twin ? Until(60) : milliseconds(300) + Until(7000)),
         (twin ? "order" : "retry") + call + Entry());
    }
  }

  /// A fault that lasts: the second line ends it.
  void AddSpan(std::int64_t limit, const std::string& begin, const std::string& end) {
    // Two faults of one process would overlap, and its end would come twice.
    const milliseconds at = Until(options_.span.count());
    const milliseconds over = at + milliseconds(20) + Until(limit);
    milliseconds& free = free_at_[end];
    if (at < free)
      return;
    free = over + milliseconds(1);
    At(at, begin);
    At(over, end);
  }

  void AddSweep() {
    static constexpr std::array<const char*, 4> kRetentions{"3600s", "5400s", "7200s", "86400s"};
    const milliseconds at = Until(options_.span.count());
    if (random_.Below(3) != 0)
      return At(at, "sweep " + Entry());
    const std::string node = random_.Below(4) == 0 ? Agent() : Entry();
    At(at,
       std::string("retention ") + kRetentions.at(random_.Below(kRetentions.size())) + " " + node);
  }

  void AddFault() {
    const std::string entry = Entry();
    const std::string agent = Agent();
    const milliseconds at = Until(options_.span.count());
    switch (random_.Below(15)) {
      case 0:
        return At(at, "pause " + entry + " " + Text(milliseconds(50) + Until(6000)));
      case 1:
        return At(at, "pause " + agent + " " + Text(milliseconds(50) + Until(3000)));
      case 2:
        return AddSpan(2000, "kill " + entry, "start " + entry);
      case 3:
        return AddSpan(2000, "kill " + agent, "start " + agent);
      case 4:
        return AddSpan(4000, "cut " + entry + " " + agent, "heal " + entry + " " + agent);
      case 5:
        return AddSpan(4000, "cut " + entry + " kv", "heal " + entry + " kv");
      case 6:
        return AddSpan(6000, "kv down", "kv up");
      case 7:
        return AddSpan(3000, "kv slow " + Text(Until(1500)), "kv fast");
      case 8:
        return At(at, "kv lose-answer next " + Count());
      case 9:
        return At(at,
                  "kv delay-write next " + Text(milliseconds(100) + Until(6000)) + " " + Count());
      case 10:
        return At(at, "refuse " + agent + " next " + Count());
      case 11:
        return At(at, "crash-upstream " + agent);
      case 12:
        return At(at, "evict " + agent);
      case 13:
        return AddSpan(2000, "drain " + agent, "undrain " + agent);
      default:
        return AddSpan(3000, "late " + std::to_string(20 + random_.Below(200)) + " 2s",
                       "late 0 0ms");
    }
  }

  random_source random_;
  const schedule_options options_;
  std::multimap<milliseconds, std::string> lines_;
  std::map<std::string, milliseconds> free_at_;
};

}  // namespace

std::string DrawSchedule(std::uint64_t seed, const schedule_options& options) {
  return schedule_writer(seed, options).Write();
}

}  // namespace quincebank::scenario
