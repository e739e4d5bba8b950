#include "quincebank/base/record.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <utility>

namespace quincebank {
namespace {

namespace json = boost::json;

std::string StringOr(const json::object& object, std::string_view key) {
  const json::value* const value = object.if_contains(key);
  if (value == nullptr || !value->is_string())
    return {};
  return std::string(value->get_string());
}

std::int64_t IntOr(const json::object& object, std::string_view key) {
  const json::value* const value = object.if_contains(key);
  if (value == nullptr)
    return 0;
  boost::system::error_code ec;
  const auto number = value->to_number<std::int64_t>(ec);
  return ec ? 0 : number;
}

json::object ObjectOr(const json::object& object, std::string_view key) {
  const json::value* const value = object.if_contains(key);
  if (value == nullptr || !value->is_object())
    return {};
  return value->get_object();
}

}  // namespace

json::object ToJson(const decision_record& record) {
  const auto at = std::chrono::duration_cast<milliseconds>(record.at.time_since_epoch());
  return {{"sequence", record.sequence}, {"at_ms", at.count()},   {"request", record.request},
          {"kind", record.kind},         {"input", record.input}, {"outcome", record.outcome}};
}

decision_record RecordFromJson(const json::object& object) {
  decision_record record;
  record.sequence = static_cast<std::uint64_t>(IntOr(object, "sequence"));
  record.at = wall_time(milliseconds(IntOr(object, "at_ms")));
  record.request = StringOr(object, "request");
  record.kind = StringOr(object, "kind");
  record.input = ObjectOr(object, "input");
  record.outcome = ObjectOr(object, "outcome");
  return record;
}

void WriteRecordLine(const decision_record& record) {
  std::cout << json::serialize(ToJson(record)) << std::endl;
}

record_log::record_log(std::size_t capacity, std::function<void(const decision_record&)> sink)
    : capacity_(capacity), sink_(std::move(sink)) {}

std::uint64_t record_log::Append(decision_record record) {
  const std::lock_guard lock(mutex_);
  record.sequence = next_++;
  if (sink_)
    sink_(record);
  const std::uint64_t sequence = record.sequence;
  records_.push_back(std::move(record));
  if (records_.size() > capacity_)
    records_.pop_front();
  return sequence;
}

std::vector<decision_record> record_log::ForRequest(std::string_view request) const {
  const std::lock_guard lock(mutex_);
  std::vector<decision_record> found;
  std::copy_if(records_.begin(), records_.end(), std::back_inserter(found),
               [&](const decision_record& record) { return record.request == request; });
  return found;
}

std::vector<decision_record> record_log::Since(std::uint64_t after, std::size_t limit) const {
  const std::lock_guard lock(mutex_);
  std::vector<decision_record> found;
  for (const decision_record& record : records_) {
    if (record.sequence <= after)
      continue;
    if (found.size() == limit)
      break;
    found.push_back(record);
  }
  return found;
}

}  // namespace quincebank
