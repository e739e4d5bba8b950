#include "quincebank/base/file.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace quincebank {

result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return MakeError(error_code::kNotFound, "can't read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

}  // namespace quincebank
