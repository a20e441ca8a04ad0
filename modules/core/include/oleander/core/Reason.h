#pragma once

#include <oleander/core/ErrorKind.h>

#include <string>
#include <utility>

namespace oleander {

/// The error that made a function return an empty std::optional.
///
/// Fallible functions take a Reason by reference as their last parameter and return std::optional.
/// The reason is written only when the result is empty. The text is human-readable and names the
/// path and unit of the invalid value where there is one; it never contains a payload.
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
