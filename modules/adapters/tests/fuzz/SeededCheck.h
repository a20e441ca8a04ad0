#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleander::fuzz {

/// The seed that every run uses unless OLEANDER_FUZZ_SEED names another.
constexpr std::uint64_t defaultSeed = 20261206;

inline std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *const text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Checks a RapidCheck property with the same inputs in every run. OLEANDER_FUZZ_SEED and
/// OLEANDER_FUZZ_FACTOR (a multiple of the number of inputs) search further by hand.
template <typename Property>
void checkSeeded(const std::string &name, int inputs, Property property)
{
    rc::detail::TestParams params;
    params.seed = numberFromEnvironment("OLEANDER_FUZZ_SEED", defaultSeed);
    params.maxSuccess = inputs * static_cast<int>(numberFromEnvironment("OLEANDER_FUZZ_FACTOR", 1));
    const rc::detail::TestMetadata metadata{name, name};
    const auto result = rc::detail::checkTestable(std::move(property), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>())
        << "seed " << params.seed << ": " << text.str();
}

struct CorpusEntry
{
    std::string name;
    std::string bytes;
};

/// The files of one folder of the corpus, ordered by name.
inline std::vector<CorpusEntry> corpus(const std::string &folder)
{
    std::vector<CorpusEntry> entries;
    const std::filesystem::path root = OLEANDER_SOURCE_DIR "/modules/adapters/tests/corpus";
    for (const auto &file : std::filesystem::directory_iterator(root / folder)) {
        std::ifstream stream(file.path(), std::ios::binary);
        entries.push_back(
            {file.path().filename().string(), {std::istreambuf_iterator<char>(stream), {}}});
    }
    std::ranges::sort(entries, {}, &CorpusEntry::name);
    return entries;
}

/// A number below `end`, whatever the size of the generated input.
inline std::size_t indexBelow(std::size_t end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, end));
}

/// Changes a message as a faulty or hostile sender would: other bytes, missing, repeated and
/// inserted ranges, and words that mean something to the parser.
inline std::string mutated(std::string bytes, std::span<const std::string_view> words)
{
    constexpr std::size_t longestRange = 64;
    const std::size_t changes = 1 + indexBelow(4);
    for (std::size_t change = 0; change < changes; ++change) {
        const std::size_t place = indexBelow(bytes.size() + 1);
        const std::size_t count = indexBelow(std::min(longestRange, bytes.size() - place) + 1);
        switch (indexBelow(5)) {
        case 0:
            if (place < bytes.size())
                bytes[place] = static_cast<char>(indexBelow(256));
            break;
        case 1:
            bytes.erase(place, count);
            break;
        case 2:
            bytes.insert(place, bytes.substr(place, count));
            break;
        case 3:
            bytes.resize(place);
            break;
        default:
            bytes.insert(place, words[indexBelow(words.size())]);
        }
    }
    return bytes;
}

/// Cuts a message into the pieces in which it is sent.
inline std::vector<std::string> cutIntoPieces(std::string_view bytes)
{
    std::vector<std::string> pieces;
    const std::size_t largest = std::size_t{1} << indexBelow(14);
    while (!bytes.empty()) {
        const std::size_t size = 1 + indexBelow(std::min(largest, bytes.size()));
        pieces.emplace_back(bytes.substr(0, size));
        bytes.remove_prefix(size);
    }
    return pieces;
}

} // namespace oleander::fuzz
