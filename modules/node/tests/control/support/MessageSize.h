#pragma once

#include <oleander/ports/PeerMessage.h>

#include <cstddef>

namespace oleander::testing {

/// Bytes of one message on the network in addition to its body: HTTP/2 frame and header block, TCP
/// and IP headers, and an acknowledgement.
inline constexpr std::size_t messageOverheadBytes = 160;

/// Estimated size of a message in MessagePack without overhead: 9 bytes for each number, 3 bytes of
/// length before each text, and 4 bytes for each struct.
inline std::size_t encodedSize(const ViewExchange &message)
{
    constexpr std::size_t number = 9;
    constexpr std::size_t length = 3;
    constexpr std::size_t structure = 4;
    std::size_t size = structure + length + message.from.text().size() + 2 * number + 2;
    const auto summarySize = [](const SectionSummary &summary) {
        return structure + length + summary.name.size() + 2 * number;
    };
    for (const SectionSummary &summary : message.held)
        size += summarySize(summary);
    for (const std::string &name : message.wanted)
        size += length + name.size();
    for (const Section &section : message.newer)
        size += summarySize(section.summary) + length + section.body.size();
    for (const CrashNotice &notice : message.crashes) {
        size += structure + 2 * length + 2 * number + notice.service.text().size()
                + notice.server.text().size();
    }
    return size;
}

} // namespace oleander::testing
