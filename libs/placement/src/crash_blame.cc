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

bool Contains(const std::vector<std::vector<std::string>>& requests, const std::string& segment) {
  return std::any_of(requests.begin(), requests.end(),
                     [&](const std::vector<std::string>& one) { return Contains(one, segment); });
}

}  // namespace

std::string Encode(const crash_report& report) {
  json::array requests;
  for (const std::vector<std::string>& segments : report.requests)
    requests.push_back(json::object{{"segments", json::array(segments.begin(), segments.end())}});
  return json::serialize(json::object{{"upstream", report.upstream},
                                      {"at_ms", report.at.count()},
                                      {"requests", std::move(requests)}});
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
  reader.Each("requests", [&](json_reader& request) {
    report.requests.push_back(request.Strings("segments"));
  });
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

void crash_blame::OnCrash(const crash_report& report, time_point now) {
  Forget(now);
  auto known = std::find_if(crashes_.begin(), crashes_.end(),
                            [&](const crash& other) { return other.upstream == report.upstream; });
  if (known == crashes_.end()) {
    crashes_.push_back({report.upstream, report.at, {}, now, false});
    known = std::prev(crashes_.end());
  }
  known->at = std::min(known->at, report.at);
  for (std::vector<std::string> segments : report.requests) {
    std::erase_if(segments, [&](const std::string& segment) {
      const auto served = served_at_.find(segment);
      return served != served_at_.end() && served->second > known->received;
    });
    // An entry's own report comes back from the store.
    if (segments.empty() || std::find(known->requests.begin(), known->requests.end(), segments) !=
                                known->requests.end())
      continue;
    for (const std::string& segment : segments) {
      const auto blocked = blocked_until_.find(segment);
      if (blocked == blocked_until_.end())
        continue;
      // Requests that were sent before the block, or the first ones after an older block has ended.
      blocked->second = known->received + settings_.block_time;
      known->explained = true;
    }
    known->requests.push_back(std::move(segments));
  }
  candidates_ = Candidates();
  if (!candidates_.empty() && !evaluate_at_)
    evaluate_at_ = now + settings_.report_time;
}

std::vector<std::string> crash_blame::Evaluate(time_point now) {
  std::vector<std::string> blocked;
  if (!evaluate_at_ || now < *evaluate_at_)
    return blocked;
  while (const auto culprit = FindCulprit(now)) {
    Block(*culprit);
    blocked.push_back(*culprit);
  }
  candidates_.clear();
  evaluate_at_.reset();
  return blocked;
}

crash_blame::evidence crash_blame::EvidenceAgainst(const std::string& segment,
                                                   time_point now) const {
  const auto served = served_at_.find(segment);
  evidence found;
  found.not_served_for =
      served == served_at_.end() ? time_point::duration::max() : now - served->second;
  for (const crash& one : crashes_) {
    if (one.explained)
      continue;
    for (const std::vector<std::string>& segments : one.requests) {
      const auto at = std::find(segments.begin(), segments.end(), segment);
      if (at == segments.end())
        continue;
      ++found.requests;
      found.position = std::max(found.position, static_cast<std::size_t>(at - segments.begin()));
    }
  }
  return found;
}

std::set<std::string, std::less<>> crash_blame::Candidates() const {
  std::set<std::string, std::less<>> candidates;
  for (const crash& one : crashes_) {
    if (one.explained)
      continue;
    for (const std::vector<std::string>& segments : one.requests)
      candidates.insert(segments.begin(), segments.end());
  }
  std::erase_if(candidates, [&](const std::string& segment) {
    return CountCrashes(segment) < settings_.crashes_to_block;
  });
  return candidates;
}

std::optional<std::string> crash_blame::FindCulprit(time_point now) const {
  std::optional<std::string> culprit;
  evidence most;
  for (const std::string& segment : Candidates()) {
    const evidence against = EvidenceAgainst(segment, now);
    if (culprit && !(most < against))
      continue;
    culprit = segment;
    most = against;
  }
  return culprit;
}

int crash_blame::CountCrashes(const std::string& segment) const {
  std::vector<milliseconds> times;
  for (const crash& one : crashes_) {
    if (!one.explained && Contains(one.requests, segment))
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

void crash_blame::Block(const std::string& segment) {
  time_point& until = blocked_until_[segment];
  for (crash& one : crashes_) {
    if (!Contains(one.requests, segment))
      continue;
    one.explained = true;
    until = std::max(until, one.received + settings_.block_time);
  }
}

void crash_blame::OnServed(const std::vector<std::string>& segments, time_point now) {
  for (const std::string& segment : segments) {
    served_at_.insert_or_assign(segment, now);
    if (crashes_.empty() && blocked_until_.empty())
      continue;
    blocked_until_.erase(segment);
    candidates_.erase(segment);
    for (crash& one : crashes_) {
      for (std::vector<std::string>& request : one.requests)
        std::erase(request, segment);
    }
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
  if (blocked_until_.empty() && candidates_.empty())
    return std::nullopt;
  std::optional<time_point> until;
  for (const std::string& segment : segments) {
    const auto blocked = blocked_until_.find(segment);
    if (blocked != blocked_until_.end() && blocked->second > now)
      until = std::max(until.value_or(blocked->second), blocked->second);
    if (candidates_.contains(segment) && evaluate_at_ && *evaluate_at_ > now)
      until = std::max(until.value_or(*evaluate_at_), *evaluate_at_);
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
