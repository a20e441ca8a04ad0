#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace oleander {

/// Writes rows as columns of equal width, two spaces apart.
void writeTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

} // namespace oleander
