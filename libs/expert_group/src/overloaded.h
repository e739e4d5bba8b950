#pragma once

namespace quincebank {

/// \brief Visitor made of one function for each alternative of a variant.
template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace quincebank
