#include "quincebank/expert_control/load_messages.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

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

template <std::size_t Numbers>
result<named_numbers<Numbers>> Read(std::string_view payload) {
  BOOST_OUTCOME_TRY(const json::value document, ParseJson(payload));
  const json::array* const array = document.if_array();
  if (array == nullptr || array->size() != Numbers + 1 || !array->front().is_string())
    return MakeError(error_code::kInvalidArgument, "expected a name and numbers");
  named_numbers<Numbers> read;
  read.name = array->front().get_string();
  for (std::size_t i = 0; i < Numbers; ++i) {
    const json::value& number = (*array)[i + 1];
    if (!number.is_int64() || number.get_int64() < 0)
      return MakeError(error_code::kInvalidArgument, "expected a number from 0");
    read.numbers[i] = number.get_int64();
  }
  return read;
}

}  // namespace

std::string Encode(const load_subscription& subscription) {
  return json::serialize(json::array{subscription.upstream, subscription.period.count()});
}

result<load_subscription> DecodeSubscription(std::string_view payload) {
  BOOST_OUTCOME_TRY(auto read, Read<1>(payload));
  return load_subscription{std::move(read.name), milliseconds(read.numbers[0])};
}

std::string Encode(const engine_load& load) {
  return json::serialize(
      json::array{load.upstream, load.running, load.waiting, load.step, load.incarnation});
}

result<engine_load> DecodeLoad(std::string_view payload) {
  auto read = Read<4>(payload);
  if (!read) {
    BOOST_OUTCOME_TRY(const auto earlier, Read<3>(payload));
    read = named_numbers<4>{earlier.name,
                            {earlier.numbers[0], earlier.numbers[1], earlier.numbers[2], 0}};
  }
  const auto& numbers = read.value().numbers;
  return engine_load{read.value().name, static_cast<int>(numbers[0]), static_cast<int>(numbers[1]),
                     static_cast<std::uint64_t>(numbers[2]),
                     static_cast<std::uint64_t>(numbers[3])};
}

}  // namespace quincebank
