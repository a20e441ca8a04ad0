#pragma once

#include <oleander/tool/Tool.h>

#include <string>
#include <vector>

namespace oleander {

/// What a run of the tool left behind.
struct ToolRun
{
    ExitCode code = ExitCode::Ok;
    std::string out;
    std::string err;
};

/// Runs the tool inside the test.
ToolRun runInTest(const std::vector<std::string> &arguments);

/// A folder that is removed at the end of the test.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] const std::string &path() const { return m_path; }
    /// Writes a file below the folder and returns its path.
    [[nodiscard]] std::string write(const std::string &name, const std::string &text) const;

private:
    std::string m_path;
};

/// Path of an example fleet's folder or file in the source tree.
std::string examplePath(const std::string &name);

/// The text of a file; it must exist.
std::string fileText(const std::string &path);

} // namespace oleander
