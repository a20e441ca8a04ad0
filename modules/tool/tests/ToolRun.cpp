#include "ToolRun.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace oleander {

ToolRun runInTest(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    Terminal terminal{out, err};
    ToolRun run;
    run.code = runTool(arguments, terminal);
    run.out = out.str();
    run.err = err.str();
    return run;
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "oleander-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code error;
    std::filesystem::remove_all(m_path, error);
}

std::string TemporaryFolder::write(const std::string &name, const std::string &text) const
{
    const std::string path = m_path + "/" + name;
    std::filesystem::create_directories(std::filesystem::path(path).parent_path());
    std::ofstream(path) << text;
    return path;
}

std::string examplePath(const std::string &name)
{
    return std::string(OLEANDER_SOURCE_DIR) + "/examples/" + name;
}

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("no file " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace oleander
