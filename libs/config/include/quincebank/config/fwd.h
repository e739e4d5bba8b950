#pragma once

namespace quincebank {

class apply_flow;
class config_holder;
class effective_config;
struct apply_plan;
struct apply_request;
struct config_document;
struct config_root;
struct config_section;
struct config_snapshot;
struct root_announcement;

}  // namespace quincebank
