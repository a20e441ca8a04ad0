#pragma once

#include <oleander/node/SectionParsers.h>

namespace oleander {

/// Returns the parsers from modules/settings, which every daemon uses.
SectionParsers settingsParsers();

} // namespace oleander
