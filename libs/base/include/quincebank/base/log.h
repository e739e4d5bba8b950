#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace quincebank {

/// \brief Prepares logging to standard error. Call once, at the start of `main`.
///
/// \param verbose  also writes debug lines.
void InitLogging(bool verbose);

/// \brief Writes log lines with the fixed prefix of one part of the system.
///
/// \example
///   constexpr logger kLog{"agent"};
///   kLog.Info("limit raised to ", limit);
class logger {
 public:
  explicit constexpr logger(std::string_view part) noexcept : part_(part) {}

  template <typename... Args>
  void Debug(const Args&... args) const {
    Write(level::kDebug, Join(args...));
  }
  template <typename... Args>
  void Info(const Args&... args) const {
    Write(level::kInfo, Join(args...));
  }
  template <typename... Args>
  void Warning(const Args&... args) const {
    Write(level::kWarning, Join(args...));
  }
  template <typename... Args>
  void Error(const Args&... args) const {
    Write(level::kError, Join(args...));
  }

 private:
  enum class level { kDebug, kInfo, kWarning, kError };

  template <typename... Args>
  static std::string Join(const Args&... args) {
    std::ostringstream stream;
    (stream << ... << args);
    return std::move(stream).str();
  }
  void Write(level severity, const std::string& line) const;

  std::string_view part_;
};

}  // namespace quincebank
