/* Free ports for programs under test; see the header. */
#include "free_port.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/* Below the kernel's range for outgoing connections: a client's local port could otherwise be the
 * port of a listener that has not started yet. */
#define PORT_FIRST 12000
#define PORT_AFTER 32000
#define ATTEMPTS   1000

static bool
is_free(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int handle = socket(AF_INET, SOCK_STREAM, 0);
    bool free = bind(handle, (struct sockaddr *)&address, sizeof address) == 0;
    close(handle);
    return free;
}

/* A random port, so that tests that run at the same time seldom use the same one. */
static uint16_t
random_port(void)
{
    static GRand *random;
    if (random == NULL) {
        random = g_rand_new();
    }
    return (uint16_t)g_rand_int_range(random, PORT_FIRST, PORT_AFTER);
}

uint16_t
free_port(void)
{
    static bool used[PORT_AFTER];
    for (int i = 0; i < ATTEMPTS; i++) {
        uint16_t port = random_port();
        if (!used[port] && is_free(port)) {
            used[port] = true;
            return port;
        }
    }
    g_error("no free port found in %d attempts", ATTEMPTS);
}
