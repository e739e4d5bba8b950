#include "quincebank/expert_group/map_records.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/experts/switch_json.h"

namespace quincebank {

map_records::map_records(kv_store& kv, std::string group) : kv_(kv), group_(std::move(group)) {}

result<std::optional<switch_decision>> map_records::Read(map_epoch epoch) {
  BOOST_OUTCOME_TRY(const std::optional<kv_entry> entry, kv_.Get(DecisionKey(group_, epoch)));
  if (!entry)
    return std::optional<switch_decision>();
  BOOST_OUTCOME_TRY(const boost::json::value value, ParseJson(entry->value));
  BOOST_OUTCOME_TRY(const switch_decision record, SwitchDecisionFromJson(value));
  return std::optional<switch_decision>(record);
}

result<switch_history> map_records::ReadHistory() {
  const map_epoch start = known_.decided;
  map_epoch present = start;
  map_epoch stride = 1;
  for (;;) {
    BOOST_OUTCOME_TRY(const std::optional<switch_decision> record, Read(present + stride));
    if (!record)
      break;
    present += stride;
    stride *= 2;
  }
  map_epoch absent = present + stride;
  while (absent - present > 1) {
    const map_epoch middle = present + ((absent - present) / 2);
    BOOST_OUTCOME_TRY(const std::optional<switch_decision> record, Read(middle));
    (record ? present : absent) = middle;
  }
  switch_history history = known_;
  history.decided = present;
  for (map_epoch epoch = present; epoch > start; --epoch) {
    BOOST_OUTCOME_TRY(const std::optional<switch_decision> record, Read(epoch));
    if (!record)
      return MakeError(error_code::kInternal, "record of a decided epoch is missing");
    if (record->verdict == switch_verdict::kAbort)
      continue;
    history.committed = *record;
    break;
  }
  if (history.decided > known_.decided)
    known_ = history;
  return history;
}

result<switch_decision> map_records::Create(const switch_decision& record) {
  const std::string body = boost::json::serialize(ToJson(record));
  BOOST_OUTCOME_TRY(const bool created,
                    kv_.CompareAndSwap(DecisionKey(group_, record.epoch), body, kKvAbsent));
  if (created)
    return record;
  BOOST_OUTCOME_TRY(const std::optional<switch_decision> standing, Read(record.epoch));
  if (!standing)
    return MakeError(error_code::kUnavailable, "record of the epoch can't be read");
  return *standing;
}

std::string map_records::MapKey(const map_digest& digest) const {
  return "experts/" + group_ + "/map/" + ToHex(digest);
}

result<void> map_records::StoreMap(const map_digest& digest, const std::string& body) {
  // False means that the same map was stored before.
  BOOST_OUTCOME_TRY(kv_.CompareAndSwap(MapKey(digest), body, kKvAbsent));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<std::string> map_records::FetchMap(const map_digest& digest) {
  BOOST_OUTCOME_TRY(std::optional<kv_entry> entry, kv_.Get(MapKey(digest)));
  if (!entry)
    return MakeError(error_code::kNotFound, "no map body of digest " + ToHex(digest));
  if (DigestOfMap(entry->value) != digest)
    return MakeError(error_code::kInternal, "map body doesn't match its digest");
  return std::move(entry->value);
}

}  // namespace quincebank
