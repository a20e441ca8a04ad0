#include <boost/assert.hpp>

#include <cstdio>
#include <cstdlib>
#include <string_view>

// Boost calls these for a failed assertion, since the build defines
// BOOST_ENABLE_ASSERT_DEBUG_HANDLER. Release builds (NDEBUG) have no assertions.
#ifndef NDEBUG

namespace {

/// Beast 1.74 asserts that five bytes of the last chunk are there when it looks for the end of the
/// trailer again. An empty chunked body whose last chunk arrives as "0\r\n" and then "\r" has four,
/// which the parser handles correctly. Without this exception any sender could end the process.
bool isKnownToBeWrong(std::string_view expression, std::string_view file)
{
    return expression == "n >= 5" && file.ends_with("boost/beast/http/impl/basic_parser.ipp");
}

[[noreturn]] void abortWith(const char *expression, const char *message, const char *function,
                            const char *file, long line)
{
    std::fprintf(stderr, "%s:%ld: %s: assertion '%s' failed. %s\n", file, line, function,
                 expression, message);
    std::abort();
}

} // namespace

// The names are those of Boost.
// NOLINTBEGIN(readability-identifier-naming)
namespace boost {

void assertion_failed(const char *expr, const char *function, const char *file, long line)
{
    if (!isKnownToBeWrong(expr, file))
        abortWith(expr, "", function, file, line);
}

void assertion_failed_msg(const char *expr, const char *msg, const char *function, const char *file,
                          long line)
{
    abortWith(expr, msg, function, file, line);
}

} // namespace boost
// NOLINTEND(readability-identifier-naming)

#endif
