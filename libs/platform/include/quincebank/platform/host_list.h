#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/net_fwd.h"

namespace quincebank {

/// \brief Host as the platform's list shows it, with a lag.
struct host_entry {
  std::string host;
  std::string failure_domain;
  std::string role;      ///< `entry` or `upstream`.
  endpoint process;      ///< Address of the system's process on that host.
  bool leaving = false;  ///< The host goes away soon.

  [[nodiscard]] bool operator==(const host_entry&) const = default;
};

/// \brief Client of the platform's host list.
class host_list {
 public:
  virtual ~host_list() = default;
  /// \returns The list, or nothing if it has not changed since the last successful call.
  [[nodiscard]] virtual result<std::optional<std::vector<host_entry>>> ReadIfChanged() = 0;
};

/// \brief Parses the Prometheus HTTP service discovery format with the labels `host`,
/// `failure_domain`, `role` and `state` (`live` or `leaving`).
[[nodiscard]] result<std::vector<host_entry>> ParseHostList(std::string_view text);

/// \brief Makes a client that reads the format from `GET path`.
///
/// It asks with `If-None-Match`, so that a service with entity tags sends the list only when it has
/// changed: at 1,020 hosts the list takes about 170 KB.
[[nodiscard]] std::unique_ptr<host_list> MakeHttpHostList(http_client& http,
                                                          endpoint service,
                                                          std::string path,
                                                          milliseconds timeout);

}  // namespace quincebank
