#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/time.h"
#include "quincebank/net/http_message.h"

namespace quincebank {

/// \brief What a client says of its request, beside method, path and body.
struct client_request {
  std::string attempt_id;  ///< Unique for each try of a client; upstreams echo it.
  std::string host;
  std::string path;  ///< Without query.
  std::string api_key;
  std::optional<milliseconds> time_left;      ///< How long the client waits.
  std::optional<std::uint64_t> resume_after;  ///< Last event of a stream that the client has.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
};

/// \brief What an entry adds to a request for one upstream.
struct upstream_dispatch {
  std::string upstream_id;
  milliseconds time_left{0};
  std::string workspace;  ///< Empty if the request has none.
  std::optional<std::uint64_t> resume_after;
};

/// \brief What the header of an upstream's answer says.
struct upstream_response_info {
  std::string attempt_id;       ///< Of the request that it answers; empty if it names none.
  bool authentic = false;       ///< It carries the upstream's own mark.
  bool encoded = false;         ///< The body is not in the form that the upstream sends.
  bool not_run = false;         ///< The upstream refused and will never run the request.
  bool wrong_instance = false;  ///< Another upstream has the address; not run.
  std::string faulty_upstream;  ///< Upstream whose failure made it refuse; may be empty.
  std::optional<milliseconds> retry_after;
};

/// \brief Reads and writes the header fields of the deployment's HTTP interface.
class exchange_codec {
 public:
  virtual ~exchange_codec() = default;

  [[nodiscard]] virtual client_request DecodeRequest(const http_request& request) const = 0;
  [[nodiscard]] virtual http_request EncodeForUpstream(const http_request& request,
                                                       const upstream_dispatch& dispatch) const = 0;
  [[nodiscard]] virtual upstream_response_info DecodeResponse(
      int status,
      const http_headers& headers) const = 0;
  /// \brief Fields of an upstream's answer that the client gets.
  [[nodiscard]] virtual http_headers EncodeForClient(const http_headers& headers) const = 0;
  /// \brief Marks an answer of this entry's own with the request it belongs to.
  virtual void TagOwnResponse(http_response& response, std::string_view attempt_id) const = 0;
};

}  // namespace quincebank
