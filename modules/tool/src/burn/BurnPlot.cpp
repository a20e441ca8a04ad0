#include "burn/BurnPlot.h"

#include "burn/BurnWords.h"

#include <algorithm>
#include <sstream>

namespace oleander {

namespace {

// Sizes in pixels
constexpr double plotWidth = 420;
constexpr double plotHeight = 180;
constexpr double leftMargin = 52;
constexpr double topMargin = 26;
constexpr double bottomMargin = 34;
constexpr double rightMargin = 12;
constexpr double areaWidth = plotWidth - leftMargin - rightMargin;
constexpr double areaHeight = plotHeight - topMargin - bottomMargin;
constexpr double baseline = topMargin + areaHeight;

constexpr auto latencyColour = "#2b6cb0";
constexpr auto coverageColour = "#c05621";

/// Collects the elements of one drawing.
class Drawing
{
public:
    explicit Drawing(const std::string &title)
    {
        m_out << "<svg role=\"img\" width=\"" << plotWidth << "\" height=\"" << plotHeight
              << "\" viewBox=\"0 0 " << plotWidth << ' ' << plotHeight << "\"><title>"
              << escaped(title) << "</title>\n";
        text(leftMargin, topMargin - 10, "start", title);
    }

    void bar(double x, double width, double share, const std::string &colour,
             const std::string &hint)
    {
        const double height = std::clamp(share, 0.0, 1.0) * areaHeight;
        m_out << "<rect x=\"" << x << "\" y=\"" << baseline - height << "\" width=\"" << width
              << "\" height=\"" << height << "\" fill=\"" << colour << "\"><title>" << escaped(hint)
              << "</title></rect>\n";
    }

    void line(double x1, double y1, double x2, double y2, const std::string &style)
    {
        m_out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2
              << "\" " << style << "/>\n";
    }

    void text(double x, double y, const std::string &anchor, const std::string &words)
    {
        m_out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">"
              << escaped(words) << "</text>\n";
    }

    void axes()
    {
        const std::string style = "stroke=\"#444\"";
        line(leftMargin, baseline, plotWidth - rightMargin, baseline, style);
        line(leftMargin, topMargin, leftMargin, baseline, style);
    }

    /// A horizontal or vertical mark with words beside it.
    void level(double share, const std::string &words)
    {
        const double y = baseline - share * areaHeight;
        line(leftMargin, y, plotWidth - rightMargin, y, "stroke=\"#888\" stroke-dasharray=\"4 3\"");
        text(leftMargin - 4, y + 4, "end", words);
    }

    std::string finish()
    {
        m_out << "</svg>\n";
        return m_out.str();
    }

private:
    std::ostringstream m_out;
};

/// The top of the axis of budgets: a whole budget at least.
double budgetScale(const BackendReport &backend)
{
    double largest = 1;
    for (const WindowReport &window : backend.windows)
        largest = std::max({largest, window.latencyBurnt, window.coverageBurnt});
    return largest;
}

/// Bins from the first to the last that holds something.
struct BinRange
{
    std::size_t first = 0;
    std::size_t last = 0;
    std::uint64_t largest = 0;
};

BinRange usedBins(const std::vector<std::uint64_t> &counts, std::size_t objectiveBin)
{
    BinRange range{objectiveBin, objectiveBin, 0};
    for (std::size_t bin = 0; bin < counts.size(); ++bin) {
        if (counts[bin] == 0)
            continue;
        range.first = std::min(range.first, bin);
        range.last = std::max(range.last, bin);
        range.largest = std::max(range.largest, counts[bin]);
    }
    return range;
}

} // namespace

std::string budgetPlot(const BackendReport &backend)
{
    constexpr double groupShare = 0.35;
    Drawing drawing("budget burnt: latency (blue), coverage (orange)");
    const double scale = budgetScale(backend);
    const double group = areaWidth / static_cast<double>(burnWindows.size());
    const double width = group * groupShare;
    for (std::size_t index = 0; index < burnWindows.size(); ++index) {
        const WindowReport &window = backend.windows.at(index);
        const std::string name(burnWindows.at(index).name);
        const double middle = leftMargin + group * (static_cast<double>(index) + 0.5);
        drawing.bar(middle - width, width, window.latencyBurnt / scale, latencyColour,
                    name + " latency " + percentText(window.latencyBurnt));
        drawing.bar(middle, width, window.coverageBurnt / scale, coverageColour,
                    name + " coverage " + percentText(window.coverageBurnt));
        drawing.text(middle, baseline + 16, "middle", name);
    }
    drawing.level(1 / scale, "100%");
    if (scale > 2)
        drawing.level(1, percentText(scale));
    drawing.axes();
    return drawing.finish();
}

std::string latencyPlot(const BackendReport &backend)
{
    const WindowReport &window = backend.windows.back();
    const std::vector<std::uint64_t> counts = window.counts.latencies.counts();
    const std::size_t objectiveBin = LatencyHistogram::binOf(backend.objectives.latency);
    const BinRange range = usedBins(counts, objectiveBin);
    Drawing drawing("latencies, " + std::string(burnWindows.back().name) + ", objective dashed");
    const double width = areaWidth / static_cast<double>(range.last - range.first + 1);
    const auto leftOf = [&](std::size_t bin) {
        return leftMargin + width * static_cast<double>(bin - range.first);
    };
    for (std::size_t bin = range.first; bin <= range.last; ++bin) {
        if (counts[bin] == 0)
            continue;
        const double share = static_cast<double>(counts[bin]) / static_cast<double>(range.largest);
        drawing.bar(leftOf(bin), width, share, latencyColour,
                    "up to " + millisecondText(LatencyHistogram::upperEdge(bin))
                        + " ms: " + std::to_string(counts[bin]));
    }
    const double objective = leftOf(objectiveBin) + width;
    drawing.line(objective, topMargin, objective, baseline,
                 "stroke=\"#222\" stroke-dasharray=\"4 3\"");
    drawing.text(leftMargin, baseline + 16, "start",
                 millisecondText(LatencyHistogram::upperEdge(range.first)) + " ms");
    drawing.text(plotWidth - rightMargin, baseline + 16, "end",
                 millisecondText(LatencyHistogram::upperEdge(range.last)) + " ms");
    drawing.text(leftMargin - 4, topMargin + 8, "end", std::to_string(range.largest));
    drawing.axes();
    return drawing.finish();
}

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

} // namespace oleander
