#include "quincebank/experts/popularity_record.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>

#include "quincebank/base/digest.h"
#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

// One byte tells the logarithm of a load below the largest one: 64 steps for each power of two.
constexpr double kSteps = 64;
constexpr int kLeast = 255;

}  // namespace

std::string EncodePopularity(const std::vector<std::vector<double>>& loads) {
  json::array sets;
  for (const std::vector<double>& of_set : loads) {
    const double most = of_set.empty() ? 0 : *std::max_element(of_set.begin(), of_set.end());
    std::string bytes;
    for (const double load : of_set) {
      const double below = load > 0 && most > 0 ? kSteps * std::log2(most / load) : kLeast;
      bytes.push_back(static_cast<char>(std::min(static_cast<int>(std::lround(below)), kLeast)));
    }
    sets.emplace_back(Base64Encode(bytes));
  }
  return json::serialize(sets);
}

result<std::vector<std::vector<double>>> DecodePopularity(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::value document, ParseJson(text));
  const json::array* const sets = document.if_array();
  if (sets == nullptr)
    return MakeError(error_code::kInvalidArgument, "expected an array of sets");
  std::vector<std::vector<double>> loads;
  for (const json::value& set : *sets) {
    const auto bytes = set.is_string() ? Base64Decode(set.get_string()) : std::nullopt;
    if (!bytes)
      return MakeError(error_code::kInvalidArgument, "expected a set in base64");
    std::vector<double> of_set;
    for (const char byte : *bytes)
      of_set.push_back(std::exp2(-static_cast<unsigned char>(byte) / kSteps));
    loads.push_back(std::move(of_set));
  }
  return loads;
}

}  // namespace quincebank
