#include "quincebank/expert_control/load_messages.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <string>

#include "quincebank/base/json_reader.h"
#include "quincebank/expert_control/rank_limits.h"

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr std::int64_t kAnyNumber = std::numeric_limits<std::int64_t>::max();

result<std::int64_t> ReadNumber(const json::value& number, std::int64_t max) {
  if (!number.is_int64() || number.get_int64() < 0 || number.get_int64() > max)
    return MakeError(error_code::kInvalidArgument,
                     "expected a number from 0 to " + std::to_string(max));
  return number.get_int64();
}

/// A name followed by `Numbers` numbers that are not negative.
template <std::size_t Numbers>
struct named_numbers {
  std::string name;
  std::array<std::int64_t, Numbers> numbers{};
};

/// \param max  largest value of each number.
template <std::size_t Numbers>
result<named_numbers<Numbers>> Read(std::string_view payload,
                                    const std::array<std::int64_t, Numbers>& max) {
  BOOST_OUTCOME_TRY(const json::value document, ParseJson(payload));
  const json::array* const array = document.if_array();
  if (array == nullptr || array->size() != Numbers + 1 || !array->front().is_string())
    return MakeError(error_code::kInvalidArgument, "expected a name and numbers");
  named_numbers<Numbers> read;
  read.name = array->front().get_string();
  for (std::size_t i = 0; i < Numbers; ++i) {
    BOOST_OUTCOME_TRY(read.numbers[i], ReadNumber((*array)[i + 1], max[i]));
  }
  return read;
}

// Members of a load without additions, with `kv_used` and `pace`, and with the incarnation too.
constexpr std::size_t kLoadMembers = 4;
constexpr std::size_t kLoadMembersWithPace = 6;
constexpr std::size_t kMaxLoadMembers = 7;

/// Largest values of a load's members; the first one is its name.
constexpr std::array<std::int64_t, kMaxLoadMembers> kMaxOfLoad{
    0, kMaxRankRequests, kMaxRankRequests, kAnyNumber, kMaxRankTokens, kMaxRankPace, kAnyNumber};

// Incarnation, entries of each kind, pause, limit.
constexpr std::size_t kSummaryMembers = kReportedKinds + 3;
constexpr std::size_t kPauseMember = kReportedKinds + 1;
constexpr std::size_t kLimitMember = kReportedKinds + 2;
constexpr auto kMaxOfSummary = [] {
  std::array<std::int64_t, kSummaryMembers> max{};
  max.fill(kAnyNumber);
  max[kPauseMember] = kMaxStatedTime.count();
  max[kLimitMember] = kMaxStatedLimit;
  return max;
}();
// Summaries count at most the entries of one table.
constexpr std::int64_t kMaxCount = 1'000;

json::array ToArray(const observation_summary& summary) {
  json::array array{static_cast<std::int64_t>(summary.incarnation)};
  for (const int entries : summary.entries)
    array.push_back(entries);
  array.push_back(summary.pause_left.count());
  array.push_back(summary.limit);
  return array;
}

result<observation_summary> ReadSummary(const json::array& array) {
  if (array.size() != kSummaryMembers)
    return MakeError(error_code::kInvalidArgument, "expected a summary of observations");
  std::array<std::int64_t, kSummaryMembers> numbers{};
  for (std::size_t i = 0; i < kSummaryMembers; ++i) {
    BOOST_OUTCOME_TRY(numbers[i], ReadNumber(array[i], kMaxOfSummary[i]));
  }
  observation_summary summary;
  summary.incarnation = static_cast<std::uint64_t>(numbers[0]);
  for (std::size_t kind = 0; kind < kReportedKinds; ++kind)
    summary.entries[kind] = static_cast<int>(std::min(numbers[kind + 1], kMaxCount));
  summary.pause_left = milliseconds(numbers[kPauseMember]);
  summary.limit = numbers[kLimitMember];
  return summary;
}

}  // namespace

std::string Encode(const load_subscription& subscription) {
  return json::serialize(json::array{subscription.upstream, subscription.period.count()});
}

result<load_subscription> DecodeSubscription(std::string_view payload) {
  BOOST_OUTCOME_TRY(auto read, Read<1>(payload, {kMaxLoadPeriod.count()}));
  return load_subscription{std::move(read.name), milliseconds(read.numbers[0])};
}

std::string Encode(const engine_load& load) {
  json::array message{load.upstream, load.running, load.waiting, load.step};
  if (load.kv_used != 0 || load.pace != 0 || load.incarnation != 0) {
    message.emplace_back(load.kv_used);
    message.emplace_back(load.pace);
  }
  if (load.incarnation != 0)
    message.emplace_back(load.incarnation);
  if (load.observations)
    message.push_back(ToArray(*load.observations));
  return json::serialize(message);
}

result<engine_load> DecodeLoad(std::string_view payload) {
  BOOST_OUTCOME_TRY(const json::value document, ParseJson(payload));
  const json::array* const array = document.if_array();
  if (array == nullptr || array->empty() || !array->front().is_string())
    return MakeError(error_code::kInvalidArgument, "expected a name and numbers");
  engine_load load;
  load.upstream = array->front().get_string();
  const json::array* const observations = array->back().if_array();
  const std::size_t members = array->size() - (observations != nullptr ? 1 : 0);
  if (members != kLoadMembers && members != kLoadMembersWithPace && members != kMaxLoadMembers)
    return MakeError(error_code::kInvalidArgument, "expected a load");
  std::array<std::int64_t, kMaxLoadMembers> numbers{};
  for (std::size_t i = 1; i < members; ++i) {
    BOOST_OUTCOME_TRY(numbers[i], ReadNumber((*array)[i], kMaxOfLoad[i]));
  }
  load.running = static_cast<int>(numbers[1]);
  load.waiting = static_cast<int>(numbers[2]);
  load.step = static_cast<std::uint64_t>(numbers[3]);
  load.kv_used = numbers[4];
  load.pace = static_cast<int>(numbers[5]);
  load.incarnation = static_cast<std::uint64_t>(numbers[6]);
  if (observations == nullptr)
    return load;
  BOOST_OUTCOME_TRY(load.observations, ReadSummary(*observations));
  return load;
}

std::string Encode(const upstream_observation& observation) {
  return json::serialize(json::array{observation.upstream, static_cast<int>(observation.kind),
                                     static_cast<std::int64_t>(observation.incarnation),
                                     observation.value, observation.age.count()});
}

result<upstream_observation> DecodeObservation(std::string_view payload) {
  // `upstream_observations` checks values and ages by their kind.
  BOOST_OUTCOME_TRY(auto read, Read<4>(payload, {kAnyNumber, kAnyNumber, kAnyNumber, kAnyNumber}));
  if (read.numbers[0] >= static_cast<std::int64_t>(kObservationKinds))
    return MakeError(error_code::kInvalidArgument, "unknown kind of observation");
  return upstream_observation{std::move(read.name), static_cast<std::uint64_t>(read.numbers[1]),
                              static_cast<observation_kind>(read.numbers[0]), read.numbers[2],
                              milliseconds(read.numbers[3])};
}

}  // namespace quincebank
