#include "report.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <cstdio>
#include <map>

namespace quincebank {
namespace {

milliseconds Since(time_point from, time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

milliseconds Percentile95(std::vector<milliseconds>& times) {
  if (times.empty())
    return milliseconds(0);
  std::sort(times.begin(), times.end());
  return times[std::min(times.size() * 95 / 100, times.size() - 1)];
}

/// Numbers of one row that exist for drafts and for orders.
void PrintCounts(const window_counts& counts) {
  std::printf(" %5d | %4d | %4d | %4d | %4d | %4d | %5lld | %5lld | %5lld | %5lld |", counts.ended,
              counts.not_answered, counts.refusals, counts.felt, counts.repeated, counts.open,
              static_cast<long long>(counts.last.count()),
              static_cast<long long>(counts.last_repeated.count()),
              static_cast<long long>(counts.p95.count()),
              static_cast<long long>(counts.longest.count()));
}

}  // namespace

slow_limits LimitsFrom(const std::vector<call_record>& records, const fault_window& steady) {
  return {kSlowMultiple * Count(records, call_kind::kDraft, steady, {}).p95,
          kSlowMultiple * Count(records, call_kind::kOrder, steady, {}).p95};
}

bool Felt(const call_record& record, const slow_limits& limits) {
  return record.tries > 1 || record.end != call_end::kAnswered || record.wrong ||
         record.ended - record.started > limits.Of(record.kind);
}

window_counts Count(const std::vector<call_record>& records,
                    call_kind kind,
                    const fault_window& window,
                    const slow_limits& limits) {
  window_counts counts;
  std::vector<milliseconds> times;
  for (const call_record& record : records) {
    if (record.kind != kind || record.started >= window.to || record.ended < window.from)
      continue;
    if (record.ended >= window.to) {
      const bool late = window.to - record.started > limits.Of(kind);
      counts.open += late ? 1 : 0;
      counts.felt += late ? 1 : 0;
      continue;
    }
    ++counts.ended;
    counts.not_answered += record.end == call_end::kAnswered ? 0 : 1;
    counts.refusals += record.refusals;
    counts.wrong += record.wrong ? 1 : 0;
    times.push_back(Since(record.started, record.ended));
    counts.longest = std::max(counts.longest, times.back());
    if (!Felt(record, limits))
      continue;
    ++counts.felt;
    counts.last = std::max(counts.last, Since(window.from, record.ended));
    if (record.tries == 1 && record.end == call_end::kAnswered)
      continue;
    ++counts.repeated;
    counts.last_repeated = std::max(counts.last_repeated, Since(window.from, record.ended));
  }
  counts.p95 = Percentile95(times);
  return counts;
}

void PrintFaults(const std::vector<call_record>& records,
                 const std::vector<fault_window>& windows,
                 const slow_limits& limits) {
  std::printf("slow: drafts above %lld ms, orders above %lld ms (%d times the steady p95)\n",
              static_cast<long long>(limits.draft.count()),
              static_cast<long long>(limits.order.count()), kSlowMultiple);
  std::printf("%-30s |%-75s |%s\n", "", " drafts", " orders");
  std::printf("%-30s |", "fault");
  for (int i = 0; i < 2; ++i)
    std::printf(" ended | fail | refu | felt | rept | open |  last | lastr |   p95 |   max |");
  std::printf("\n");
  int wrong = 0;
  for (const fault_window& window : windows) {
    const window_counts drafts = Count(records, call_kind::kDraft, window, limits);
    std::printf("%-30s |", window.name.c_str());
    PrintCounts(drafts);
    PrintCounts(Count(records, call_kind::kOrder, window, limits));
    std::printf("\n");
    wrong += drafts.wrong;
  }
  std::printf("wrong or partial answers: %d\n", wrong);
}

order_check CheckOrders(deployment& system, int services, const std::vector<call_record>& records) {
  std::map<std::string, std::int64_t> runs;
  for (int i = 0; i < services; ++i) {
    const boost::json::value counters = system.Counters("orders-" + std::to_string(i));
    for (const auto& order : counters.as_object().at("runs").as_object())
      runs[std::string(order.key())] += order.value().to_number<std::int64_t>();
  }
  order_check check;
  for (const call_record& record : records) {
    if (record.kind != call_kind::kOrder)
      continue;
    const std::int64_t count = runs[record.order];
    check.twice += count > 1 ? 1 : 0;
    switch (record.end) {
      case call_end::kAnswered:
        ++check.answered;
        check.lost += count == 0 ? 1 : 0;
        break;
      case call_end::kRefused:
        check.false_refusals += count > 0 ? 1 : 0;
        break;
      case call_end::kUnsure:
      case call_end::kFailed:
        ++check.unsure;
        break;
    }
  }
  return check;
}

void Print(const order_check& check) {
  std::printf(
      "orders answered %zu, unsure %d, answered but not run %d, run twice %d, false 'not run' %d\n",
      check.answered, check.unsure, check.lost, check.twice, check.false_refusals);
}

}  // namespace quincebank
