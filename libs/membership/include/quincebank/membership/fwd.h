#pragma once

namespace quincebank {

class config_exchange;
class host_view;
struct config_peer;
struct exchange_action;
struct listed_host;

}  // namespace quincebank
