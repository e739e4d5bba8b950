#include "quincebank/expert_control/load_messages.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <utility>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

/// A name followed by `Numbers` numbers that are not negative.
template <std::size_t Numbers>
struct named_numbers {
  std::string name;
  std::array<std::int64_t, Numbers> numbers{};
};

/// \param array  holds at least the name and the numbers.
template <std::size_t Numbers>
result<named_numbers<Numbers>> ReadItems(const json::array& array) {
  if (!array.front().is_string())
    return MakeError(error_code::kInvalidArgument, "expected a name and numbers");
  named_numbers<Numbers> read;
  read.name = array.front().get_string();
  for (std::size_t i = 0; i < Numbers; ++i) {
    const json::value& number = array[i + 1];
    if (!number.is_int64() || number.get_int64() < 0)
      return MakeError(error_code::kInvalidArgument, "expected a number from 0");
    read.numbers[i] = number.get_int64();
  }
  return read;
}

result<json::array> ReadArray(std::string_view payload) {
  BOOST_OUTCOME_TRY(json::value document, ParseJson(payload));
  if (!document.is_array())
    return MakeError(error_code::kInvalidArgument, "expected an array");
  return std::move(document.get_array());
}

// Items of a load without the fields that were added later, and with `kv_used` and `pace`.
constexpr std::size_t kLoadItems = 4;
constexpr std::size_t kLoadItemsWithPace = 6;

int ToInt(std::int64_t number) {
  return static_cast<int>(std::min<std::int64_t>(number, std::numeric_limits<int>::max()));
}

}  // namespace

std::string Encode(const load_subscription& subscription) {
  return json::serialize(json::array{subscription.upstream, subscription.period.count()});
}

result<load_subscription> DecodeSubscription(std::string_view payload) {
  BOOST_OUTCOME_TRY(const json::array array, ReadArray(payload));
  if (array.size() != 2)
    return MakeError(error_code::kInvalidArgument, "expected a name and a number");
  BOOST_OUTCOME_TRY(auto read, ReadItems<1>(array));
  return load_subscription{std::move(read.name), milliseconds(read.numbers[0])};
}

std::string Encode(const engine_load& load) {
  json::array items{load.upstream, load.running, load.waiting, load.step};
  if (load.kv_used != 0 || load.pace != 0) {
    items.emplace_back(load.kv_used);
    items.emplace_back(load.pace);
  }
  return json::serialize(items);
}

result<engine_load> DecodeLoad(std::string_view payload) {
  BOOST_OUTCOME_TRY(const json::array array, ReadArray(payload));
  if (array.size() != kLoadItems && array.size() < kLoadItemsWithPace)
    return MakeError(error_code::kInvalidArgument, "expected a name and 3, 5 or more numbers");
  BOOST_OUTCOME_TRY(auto read, ReadItems<3>(array));
  engine_load load{std::move(read.name), ToInt(read.numbers[0]), ToInt(read.numbers[1]),
                   static_cast<std::uint64_t>(read.numbers[2])};
  if (array.size() >= kLoadItemsWithPace) {
    BOOST_OUTCOME_TRY(const auto extended, ReadItems<5>(array));
    load.kv_used = extended.numbers[3];
    load.pace = ToInt(extended.numbers[4]);
  }
  return load;
}

}  // namespace quincebank
