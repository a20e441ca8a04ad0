#include <oleander/daemon/Daemon.h>
#include <oleander/daemon/GatewayDaemon.h>
#include <oleander/platform/Platform.h>

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <pthread.h>
#include <sstream>

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// Blocks the stop signals in this thread and those it starts, so that only main() takes them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

std::optional<oleander::DaemonSettings> readSettings(const std::string &path,
                                                     oleander::Reason &reason)
{
    std::ifstream file(path);
    if (!file) {
        reason.set(oleander::ErrorKind::BadRequest, "can not be read");
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return oleander::parseDaemonSettings(text.str(), reason);
}

int run(const std::string &path)
{
    const sigset_t signals = blockStopSignals();
    FLAGS_logtostderr = true;
    google::InitGoogleLogging("oleanderwayd");
    oleander::Reason reason;
    auto settings = readSettings(path, reason);
    if (!settings) {
        std::cerr << "oleanderwayd: " << path << ": " << reason.text << '\n';
        return exitUsage;
    }
    oleander::Daemon daemon(std::move(*settings));
    if (!daemon.start(reason)) {
        std::cerr << "oleanderwayd: " << reason.text << '\n';
        return exitFailure;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    daemon.beginStop();
    daemon.wait();
    return 0;
}

/// Runs as a gateway on the users' platform, which names the settings file.
int runOnPlatform()
{
    const std::string path = oleander::platform::settingsPath();
    oleander::Reason reason;
    auto settings = oleander::loadGatewaySettings(path, reason);
    if (!settings) {
        std::cerr << "oleanderwayd: " << path << ": " << reason.text << '\n';
        return exitUsage;
    }
    oleander::GatewayDaemon daemon(std::move(*settings), path,
                                   oleander::platform::makeGatewayPlatform());
    if (!daemon.start(reason)) {
        std::cerr << "oleanderwayd: " << reason.text << '\n';
        return exitFailure;
    }
    daemon.run();
    return 0;
}

} // namespace

int main(int count, char **values)
{
    cxxopts::Options options("oleanderwayd", "One daemon of the oleanderway query tier.");
    options.add_options()("settings", "the daemon's settings file, JSON",
                          cxxopts::value<std::string>())(
        "platform", "run as a gateway on the users' platform")("help", "prints this");
    try {
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("platform") > 0)
            return runOnPlatform();
        if (arguments.count("settings") == 0) {
            std::cerr << "oleanderwayd: --settings is missing\n";
            return exitUsage;
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "oleanderwayd: " << error.what() << '\n';
        return exitUsage;
    }
}
