#pragma once

namespace quincebank {

class attempt_ledger;
class claim_bucket;
class claim_sweeper;
class claim_writer;
class keyed_request;
struct claim;
struct claim_decision;
struct claim_floor;
struct claim_key;
struct request_action;
struct request_key;
struct request_spec;

}  // namespace quincebank
