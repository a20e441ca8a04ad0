#include <oleander/settings/Finding.h>

namespace oleander {

std::string toText(const Finding &finding)
{
    return finding.path + ": " + finding.text;
}

void setReason(const Findings &findings, Reason &reason)
{
    if (findings.empty())
        return;
    std::string text = toText(findings.front());
    if (findings.size() > 1)
        text += " (and " + std::to_string(findings.size() - 1) + " more)";
    reason.set(ErrorKind::BadRequest, text);
}

} // namespace oleander
