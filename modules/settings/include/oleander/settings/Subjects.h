#pragma once

#include <oleander/core/Policy.h>

#include <optional>

namespace oleander {

/// The widest subject that both of these cover, or nothing when they have none in common, such as
/// two different backends.
std::optional<Subject> commonSubject(const Subject &left, const Subject &right);

} // namespace oleander
