#pragma once

// IWYU pragma: begin_exports
#include "quincebank/membership/config_exchange.h"
#include "quincebank/membership/config_peer.h"
#include "quincebank/membership/fwd.h"
#include "quincebank/membership/host_view.h"
#include "quincebank/membership/offer_plan.h"
#include "quincebank/membership/peer_plan.h"
#include "quincebank/membership/rendezvous.h"
// IWYU pragma: end_exports
