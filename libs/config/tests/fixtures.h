#pragma once

#include <string>
#include <string_view>

#include "quincebank/config/config.h"

namespace quincebank::fixtures {

/// Whole document of a small deployment; `west` is the state of one failure domain.
[[nodiscard]] inline std::string Document(std::string_view multan = "in") {
  return R"({
  // Regions and failure domains.
  "domains": {"owner": "ops", "kind": "failure_domains", "failure_domains": [
    {"name": "lahore", "region": "punjab"},
    {"name": "multan", "region": "punjab", "state": ")" +
         std::string(multan) + R"("}]},
  "models": {"owner": "ml", "kind": "model_versions", "model_versions": [
    {"model": "munshi", "version": "3", "adapters": ["quotes"]}]},
  "services": {"owner": "web", "kind": "services", "services": [
    {"name": "munshi", "kind": "model", "model": "munshi", "version": "3", "routes": [
      {"method": "POST", "path_prefix": "/v1/completions", "repeatable": true}]},
    {"name": "bahi", "kind": "plain", "routes": [
      {"method": "*", "path_prefix": "/"},
      {"method": "GET", "path_prefix": "/stock", "repeatable": true}]}]},
  "upstreams": {"owner": "ops", "kind": "upstreams", "upstreams": [
    {"name": "munshi-1", "host": "h1", "failure_domain": "lahore", "service": "munshi",
     "agent_address": "127.0.0.1", "agent_port": 7001, "upstream_address": "127.0.0.1",
     "upstream_port": 8001, "cold_limit": 1, "full_limit": 8, "queue_limit": 4},
    {"name": "munshi-2", "host": "h2", "failure_domain": "multan", "service": "munshi",
     "agent_address": "127.0.0.1", "agent_port": 7002, "upstream_address": "127.0.0.1",
     "upstream_port": 8002, "cold_limit": 1, "full_limit": 8, "checks_fencing": true},
    {"name": "bahi-1", "host": "h3", "failure_domain": "lahore", "service": "bahi",
     "agent_address": "127.0.0.1", "agent_port": 7003, "upstream_address": "127.0.0.1",
     "upstream_port": 8003, "cold_limit": 2, "full_limit": 4}]},
  "workspaces-a": {"owner": "sales", "kind": "workspaces", "workspaces": [
    {"name": "stalls", "weight": 4, "priority": 7}, {"name": "halls"}]},
  "objectives": {"owner": "ops", "kind": "objectives", "objectives": [
    {"service": "munshi", "availability": 0.999, "latency_threshold_ms": 1200,
     "latency_percent": 95},
    {"service": "bahi", "workspace": "stalls"}]},
})";
}

/// Replaces the one occurrence of `from`.
[[nodiscard]] inline std::string Replace(std::string text,
                                         std::string_view from,
                                         std::string_view to) {
  const std::size_t at = text.find(from);
  if (at != std::string::npos)
    text.replace(at, from.size(), to);
  return text;
}

}  // namespace quincebank::fixtures
