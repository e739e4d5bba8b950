#include "quincebank/placement/crash_blame.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

bool Contains(const std::vector<std::string>& segments, const std::string& segment) {
  return std::find(segments.begin(), segments.end(), segment) != segments.end();
}

}  // namespace

std::string Encode(const crash_report& report) {
  json::array segments(report.segments.begin(), report.segments.end());
  return json::serialize(json::object{{"upstream", report.upstream},
                                      {"at_ms", report.at.count()},
                                      {"segments", std::move(segments)}});
}

std::optional<crash_report> DecodeCrashReport(std::string_view text) {
  const auto document = ParseJson(text);
  if (!document)
    return std::nullopt;
  std::vector<error> errors;
  json_reader reader(document.value(), "", errors);
  crash_report report;
  report.upstream = reader.String("upstream");
  report.at = milliseconds(reader.Int("at_ms", {}));
  report.segments = reader.Strings("segments");
  if (!errors.empty())
    return std::nullopt;
  return report;
}

std::vector<std::string> crash_blame::Suspects(const std::vector<std::string>& segments,
                                               time_point now) const {
  std::vector<std::string> suspects;
  for (const std::string& segment : segments) {
    const auto served = served_at_.find(segment);
    if (served == served_at_.end() || now - served->second >= settings_.served_memory)
      suspects.push_back(segment);
  }
  return suspects;
}

std::vector<std::string> crash_blame::OnCrash(const crash_report& report, time_point now) {
  Forget(now);
  auto known = std::find_if(crashes_.begin(), crashes_.end(),
                            [&](const crash& other) { return other.upstream == report.upstream; });
  if (known == crashes_.end()) {
    crashes_.push_back({report.upstream, report.at, {}, now, false});
    known = std::prev(crashes_.end());
  }
  known->at = std::min(known->at, report.at);
  for (const std::string& segment : report.segments) {
    if (Contains(known->segments, segment))
      continue;
    const auto served = served_at_.find(segment);
    if (served != served_at_.end() && served->second > known->received)
      continue;
    known->segments.push_back(segment);
    const auto blocked = blocked_until_.find(segment);
    if (blocked == blocked_until_.end())
      continue;
    // Requests that were sent before the block, or the first ones after an older block has ended.
    blocked->second = known->received + settings_.block_time;
    known->explained = true;
  }
  std::vector<std::string> blocked;
  while (const auto culprit = FindCulprit()) {
    blocked_until_[*culprit] = now + settings_.block_time;
    Explain(*culprit);
    blocked.push_back(*culprit);
  }
  return blocked;
}

std::optional<std::string> crash_blame::FindCulprit() const {
  std::optional<std::string> culprit;
  time_point culprit_served{};
  for (const crash& one : crashes_) {
    if (one.explained)
      continue;
    for (const std::string& segment : one.segments) {
      if (culprit == segment || CountCrashes(segment) < settings_.crashes_to_block)
        continue;
      const auto found = served_at_.find(segment);
      const time_point served = found == served_at_.end() ? time_point{} : found->second;
      // Among equals the last one wins, which is the later one in the prompt.
      if (culprit && served > culprit_served)
        continue;
      culprit = segment;
      culprit_served = served;
    }
    if (culprit)
      return culprit;
  }
  return culprit;
}

int crash_blame::CountCrashes(const std::string& segment) const {
  std::vector<milliseconds> times;
  for (const crash& one : crashes_) {
    if (!one.explained && Contains(one.segments, segment))
      times.push_back(one.at);
  }
  std::sort(times.begin(), times.end());
  int count = 0;
  milliseconds counted{0};
  for (const milliseconds at : times) {
    if (count > 0 && at - counted < settings_.common_cause_window)
      continue;
    counted = at;
    ++count;
  }
  return count;
}

void crash_blame::Explain(const std::string& segment) {
  for (crash& one : crashes_)
    one.explained = one.explained || Contains(one.segments, segment);
}

void crash_blame::OnServed(const std::vector<std::string>& segments, time_point now) {
  for (const std::string& segment : segments) {
    served_at_.insert_or_assign(segment, now);
    if (crashes_.empty() && blocked_until_.empty())
      continue;
    blocked_until_.erase(segment);
    for (crash& one : crashes_)
      std::erase(one.segments, segment);
  }
  if (served_at_.size() <= settings_.max_served)
    return;
  // Drops the older half at once, so that not each request has to look for the oldest one.
  std::vector<time_point> times;
  times.reserve(served_at_.size());
  for (const auto& [segment, at] : served_at_)
    times.push_back(at);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(served_at_, [limit = *middle](const auto& item) { return item.second <= limit; });
}

std::optional<time_point> crash_blame::BlockedUntil(const std::vector<std::string>& segments,
                                                    time_point now) const {
  if (blocked_until_.empty())
    return std::nullopt;
  std::optional<time_point> until;
  for (const std::string& segment : segments) {
    const auto blocked = blocked_until_.find(segment);
    if (blocked == blocked_until_.end() || blocked->second <= now)
      continue;
    until = std::max(until.value_or(blocked->second), blocked->second);
  }
  return until;
}

void crash_blame::Forget(time_point now) {
  while (!crashes_.empty() && (crashes_.size() >= settings_.max_crashes ||
                               now - crashes_.front().received >= settings_.block_time))
    crashes_.pop_front();
  // A block that has ended is kept for as long again: one more crash then renews it.
  std::erase_if(blocked_until_,
                [&](const auto& item) { return now - item.second >= settings_.block_time; });
}

}  // namespace quincebank
