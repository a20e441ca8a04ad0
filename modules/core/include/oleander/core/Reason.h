#pragma once

#include <oleander/core/ErrorKind.h>

#include <string>
#include <utility>

namespace oleander {

/// Why a function returned an empty std::optional.
///
/// Fallible functions take a Reason by reference as their last parameter and return std::optional.
/// The reason is written only when the result is empty. The text is for a person and names the
/// offending value's path and unit where there is one; it never holds a payload.
struct Reason
{
    ErrorKind kind = ErrorKind::None;
    std::string text;

    void set(ErrorKind newKind, std::string newText)
    {
        kind = newKind;
        text = std::move(newText);
    }
};

} // namespace oleander
