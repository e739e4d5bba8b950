#include "quincebank/cli/domain_state.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <string>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

constexpr std::string_view kList = "failure_domains";

bool SetState(boost::json::value& section, std::string_view domain, bool in_service) {
  boost::json::value* const list = section.as_object().if_contains(kList);
  if (list == nullptr || !list->is_array())
    return false;
  for (boost::json::value& element : list->get_array()) {
    boost::json::object& entry = element.as_object();
    const boost::json::string* const name = entry["name"].if_string();
    if (name == nullptr || std::string_view(*name) != domain)
      continue;
    entry["state"] = in_service ? "in" : "out";
    return true;
  }
  return false;
}

}  // namespace

result<config_document> WithDomainState(const config_document& in_force,
                                        std::string_view domain,
                                        bool in_service) {
  for (const config_section& section : in_force.sections) {
    if (section.kind() != section_kind::kFailureDomains)
      continue;
    BOOST_OUTCOME_TRY(boost::json::value body, ParseJson(section.body));
    if (SetState(body, domain, in_service))
      return ParsePartialDocument(
          boost::json::serialize(boost::json::object{{section.name, body}}));
  }
  return MakeError(error_code::kInvalidArgument,
                   "no section names the failure domain '" + std::string(domain) + "'");
}

}  // namespace quincebank
