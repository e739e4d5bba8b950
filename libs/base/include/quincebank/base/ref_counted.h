#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace quincebank {

/// \brief Base of objects that several threads share, with the count in the object.
template <typename T>
using ref_counted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

/// \brief Counted pointer to a `ref_counted` object.
template <typename T>
using ref_ptr = boost::intrusive_ptr<T>;

}  // namespace quincebank
