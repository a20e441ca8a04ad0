#pragma once

#include <oleander/node/SectionParsers.h>

namespace oleander {

/// The parsers of modules/settings, as every daemon uses them.
SectionParsers settingsParsers();

} // namespace oleander
