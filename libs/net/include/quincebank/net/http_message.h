#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincebank {

struct http_header {
  std::string name;
  std::string value;
};

/// \brief Header fields in order. Names compare without case.
class http_headers {
 public:
  http_headers() = default;
  http_headers(std::initializer_list<http_header> fields) : fields_(fields) {}

  [[nodiscard]] std::optional<std::string_view> Find(std::string_view name) const noexcept;
  /// \brief Returns the value, or an empty text if the field is absent.
  [[nodiscard]] std::string_view Get(std::string_view name) const noexcept;
  /// \brief Replaces all fields of that name.
  void Set(std::string_view name, std::string value);
  void Add(std::string name, std::string value);
  void Remove(std::string_view name);

  [[nodiscard]] auto begin() const noexcept { return fields_.begin(); }
  [[nodiscard]] auto end() const noexcept { return fields_.end(); }

 private:
  std::vector<http_header> fields_;
};

struct http_request {
  std::string method = "GET";
  std::string target = "/";
  http_headers headers;
  std::string body;
};

struct http_response {
  int status = 200;
  http_headers headers;
  std::string body;
};

/// \brief Whether a field describes one connection and must not be forwarded (RFC 9110, 7.6.1).
[[nodiscard]] bool IsHopByHop(std::string_view name) noexcept;

/// \brief Path and decoded query of a request target.
struct parsed_target {
  std::string path;
  std::vector<std::pair<std::string, std::string>> query;

  [[nodiscard]] std::optional<std::string_view> Query(std::string_view name) const noexcept;
};

/// \brief Splits a request target; nothing if it is not a valid origin form.
[[nodiscard]] std::optional<parsed_target> ParseTarget(std::string_view target);

}  // namespace quincebank
