#include <oleander/gateway/ServerLink.h>

namespace oleander::gateway {

ReplyOwner ownerOfReply(std::optional<std::string_view> echoedId, const RequestId &awaited,
                        bool isFirstOnConnection)
{
    if (echoedId)
        return *echoedId == awaited.text() ? ReplyOwner::Request : ReplyOwner::Other;
    return isFirstOnConnection ? ReplyOwner::OnlyRequest : ReplyOwner::Unknown;
}

} // namespace oleander::gateway
