#pragma once

#include <string>

#include "quincebank/base/error.h"
#include "quincebank/expert_group/messages_json.h"
#include "quincebank/net/http_client.h"

namespace quincebank {

/// \brief HTTP client of the engine of one rank.
class engine_client {
 public:
  engine_client(http_client& http, endpoint engine, int rank);

  [[nodiscard]] result<engine_view> View();
  [[nodiscard]] result<token_counts> Tokens();
  /// \param map   digest of the map, for `stage`.
  /// \param body  JSON form of the map, for `stage`.
  [[nodiscard]] result<void> Send(const engine_order& order,
                                  const std::string& map,
                                  const std::string& body);

 private:
  [[nodiscard]] result<std::string> Call(const char* method, const char* path, std::string body);

  http_client& http_;
  const endpoint engine_;
  const std::string prefix_;
};

}  // namespace quincebank
