#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/net/http_message.h"

namespace quincebank {

/// \brief Decoded target and header fields of a client request.
struct client_request {
  std::string attempt_id;  ///< Unique for each attempt of the client; upstreams echo it.
  std::string host;
  std::string path;  ///< Without the query string.
  std::string api_key;
  std::optional<milliseconds> time_left;  ///< How long the client still waits.
  /// Id of the last stream event that the client received.
  std::optional<std::uint64_t> resume_after;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;  ///< 0 if the client states no limit.
  /// The client's estimate, right at the median and often far off; 0 if it states none.
  std::int64_t expected_output_tokens = 0;
  /// Ids of the prompt segments that other requests may share, in order. Without the last one,
  /// which belongs to the request or its session.
  std::vector<std::string> shared_segments;
};

/// \brief Header values that an entry adds when it forwards a request to an upstream.
struct upstream_dispatch {
  std::string upstream_id;  ///< Instance that must run the request; any other one refuses it.
  milliseconds time_left{0};
  std::string workspace;  ///< Empty if the request has none.
  std::optional<std::uint64_t> resume_after;
  /// Place in the queue of an engine, 0 (first) to 9; nothing where priorities do not differ.
  std::optional<int> engine_priority;
};

/// \brief Decoded status and header fields of an upstream's response.
struct upstream_response_info {
  std::string attempt_id;       ///< Echoed from the request; empty if the field is missing.
  bool authentic = false;       ///< Carries the stamp that only upstreams set.
  bool encoded = false;         ///< Has a content encoding, which only an intermediary adds.
  bool not_run = false;         ///< The upstream rejected the request and will never run it.
  bool wrong_instance = false;  ///< Another upstream has the address now; the request was not run.
  /// Id of the upstream whose failure caused the rejection; may be empty.
  std::string faulty_upstream;
  bool leaving = false;  ///< The upstream is shutting down.
  /// Requests per second that the upstream takes from all entries together, at least 0; nothing if
  /// it states no limit.
  std::optional<double> rate_limit;
  /// Length of a stated limit that is no such number; 0 if it can be read.
  std::size_t unreadable_limit_bytes = 0;
  /// Time for which an upstream that rejected the request asks for no others.
  std::optional<milliseconds> retry_after;
};

/// \brief Reads and writes the platform-specific header fields of HTTP requests and responses.
class exchange_codec {
 public:
  virtual ~exchange_codec() = default;

  [[nodiscard]] virtual client_request DecodeRequest(const http_request& request) const = 0;
  /// \brief Returns the request that is sent to an upstream, without its body.
  [[nodiscard]] virtual http_request EncodeForUpstream(const http_request& request,
                                                       const upstream_dispatch& dispatch) const = 0;
  [[nodiscard]] virtual upstream_response_info DecodeResponse(
      int status,
      const http_headers& headers) const = 0;
  /// \brief Returns the header fields of an upstream's response that are passed to the client.
  [[nodiscard]] virtual http_headers EncodeForClient(const http_headers& headers) const = 0;
  /// \brief Sets the attempt id on a response that this entry generated itself.
  virtual void TagOwnResponse(http_response& response, std::string_view attempt_id) const = 0;
};

}  // namespace quincebank
