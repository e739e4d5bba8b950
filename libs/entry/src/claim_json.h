#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "quincebank/base/error.h"
#include "quincebank/idempotency/claim_writer.h"

namespace quincebank {

/// \brief A claim that an entry forwards to the preferred entry of its bucket.
struct forwarded_claim {
  std::string bucket;
  claim_request request;  ///< Its deadline counts from the receipt.
};

/// \param left  time until the claim's deadline.
[[nodiscard]] boost::json::object ToJson(const forwarded_claim& forwarded, milliseconds left);
/// \param now  receipt of the message, from which the deadline counts.
[[nodiscard]] result<forwarded_claim> ForwardedClaimFromJson(const boost::json::object& object,
                                                             time_point now);

[[nodiscard]] boost::json::object ToJson(const claim_decision& decision);
[[nodiscard]] result<claim_decision> ClaimDecisionFromJson(const boost::json::value& value);

}  // namespace quincebank
