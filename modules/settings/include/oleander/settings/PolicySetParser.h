#pragma once

#include <oleander/core/Policy.h>
#include <oleander/settings/Finding.h>

#include <optional>
#include <string_view>

namespace oleander {

/// Reads the published value `config`: fleet, defaults and exceptions.
///
/// The document is checked whole. It is refused for anything unknown, missing, written twice, of a
/// wrong type or out of range; for an exception without a reason, without a subject or without
/// values; for two exceptions that cover the same subject and change the same field; and for
/// values that contradict each other for some subject. The version is the one that the platform
/// gave with the value.
std::optional<PolicySet> parsePolicySet(std::string_view text, SectionVersion version,
                                        Reason &reason);

/// The same, with every fault instead of the first. Empty exactly when `findings` was added to.
std::optional<PolicySet> readPolicySet(std::string_view text, SectionVersion version,
                                       Findings &findings);

/// Values of a checked set that contradict each other for some subject. Part of readPolicySet().
void checkAcrossFields(const PolicySet &set, Findings &findings);

} // namespace oleander
