#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>

/// Prints as many free ports of loopback as asked for.
int main(int count, char **values)
{
    const int wanted = count > 1 ? std::atoi(values[1]) : 1;
    for (int number = 0; number < wanted; ++number) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            return 2;
        // The descriptors stay open until the end, so that no port is printed twice.
        std::printf("%d\n", ntohs(address.sin_port));
    }
    return 0;
}
