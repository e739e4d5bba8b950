#pragma once

// IWYU pragma: begin_exports
#include "quincebank/platform/consul_kv.h"
#include "quincebank/platform/host_list.h"
#include "quincebank/platform/kv_store.h"
#include "quincebank/platform/upstream_probe.h"
// IWYU pragma: end_exports
