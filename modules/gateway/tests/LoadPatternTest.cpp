#include "/tmp/knob.h"
#include "support/LoadDay.h"

#include <gtest/gtest.h>

#include <iostream>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

void slow(LoadDay &day, int count)
{
    for (int service = 0; service < count; ++service)
        day.servers().conduct(addressOf(service, 0)).slowness = 7;
}
void dark(LoadDay &day)
{
    day.servers().conduct(addressOf(0, 0)).isDark = true;
    day.servers().conduct(addressOf(0, 1)).isDark = true;
}
void grey(LoadDay &day)
{
    for (int service = 0; service < 20; ++service)
        for (int r = 0; r < 2; ++r)
            if ((service * 2 + r) % 5)
                day.servers().conduct(addressOf(service, r)).refusedShare = .4;
}
void crash(LoadDay &day)
{
    for (int service = 0; service < 6; ++service)
        day.servers().crash(addressOf(service, 1));
}

void play(const char *name, std::function<void(LoadDay &)> change)
{
    double c[3] = {0, 0, 0}, sv[3] = {0, 0, 0};
    const int n = 4;
    for (int seed = 1; seed <= n; ++seed) {
        GatewayPolicy p;
        p.extras.hedgeShare = knob("HS", .08);
        p.hedgeQuantile = PerMille{(unsigned)knob("HQ", 900)};
        p.extras.share = knob("ES", .19);
        p.leftoverDelay = milliseconds((int)knob("LD", 60));
        p.assumedInstances = (int)knob("AI", 24);
        p.extras.allowance = knob("EA", 1.0);
        LoadDay day(busyDay(), p, seed);
        day.at(seconds(3), [&] { change(day); });
        day.run(seconds(16));
        int i = 0;
        for (const char *path : {"/search/", "/urgent/", "/notes/"}) {
            auto f = day.figures(path, seconds(4), seconds(12));
            c[i] += f.creditShare() / n;
            sv[i] += f.servedShare() / n;
            ++i;
        }
    }
    std::cout << name << " credit " << c[0] << ' ' << c[1] << ' ' << c[2] << "  served " << sv[0]
              << ' ' << sv[1] << ' ' << sv[2] << '\n';
}

TEST(LoadPattern, Explore)
{
    play("calm", [](LoadDay &) {});
    play("slow8", [](LoadDay &d) { slow(d, 8); });
    play("slow4", [](LoadDay &d) { slow(d, 4); });
    play("slow8+dark", [](LoadDay &d) {
        slow(d, 8);
        dark(d);
    });
    play("grey", [](LoadDay &d) { grey(d); });
    play("crash6", [](LoadDay &d) { crash(d); });
}

TEST(LoadPattern, Probe)
{
    GatewayPolicy p;
    p.leftoverDelay = milliseconds(5);
    LoadDay day(busyDay(), p, 3);
    day.at(seconds(3), [&] { slow(day, 8); });
    day.run(seconds(5));
    auto before = [&] {
        std::vector<int> v;
        for (int s = 0; s < 10; ++s)
            for (int r = 0; r < 2; ++r)
                v.push_back(day.servers().tally(addressOf(s, r)).arrived);
        return v;
    };
    auto a = before();
    auto ex = [&](int s, int r) { return day.servers().tally(addressOf(s, r)).executed; };
    int e0 = ex(0, 1), r0 = day.servers().tally(addressOf(0, 1)).refused,
        d0 = day.servers().tally(addressOf(0, 1)).dropped;
    for (int k = 0; k < 40; ++k) {
        day.run(milliseconds(100));
        if (k % 4 == 0) {
            std::cout << "q:";
            for (int s = 0; s < 10; ++s)
                for (int r = 0; r < 2; ++r)
                    std::cout << ' ' << day.servers().waiting(addressOf(s, r));
            std::cout << '\n';
        }
    }
    auto b = before();
    std::cout << "arrivals/s:";
    for (size_t i = 0; i < a.size(); ++i)
        std::cout << ' ' << (b[i] - a[i]) / 4;
    std::cout << "\n executed " << (ex(0, 1) - e0) / 4 << " refused "
              << (day.servers().tally(addressOf(0, 1)).refused - r0) / 4 << " dropped "
              << (day.servers().tally(addressOf(0, 1)).dropped - d0) / 4 << '\n';
    for (int s = 0; s < 9; ++s) {
        auto &pool = day.instance(0).fleet.pool(serviceNamed(s));
        std::cout << s << ": ";
        for (auto *sv : pool.servers)
            std::cout << sv->score().slowness << '/' << sv->score().failureShare << "  ";
        std::cout << '\n';
    }
}
} // namespace
