#include <oleander/platform/OperatorDocuments.h>
#include <oleander/tool/Tool.h>

#include <iostream>

int main(int count, char **values)
{
    oleander::Terminal terminal{std::cout, std::cerr};
    const std::vector<std::string> arguments(values + 1, values + count);
    const oleander::OperatorFormat format = oleander::platform::makeOperatorFormat();
    return static_cast<int>(oleander::runTool(arguments, terminal, &format));
}
