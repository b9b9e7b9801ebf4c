/* Ports for programs under test; see the header. */
#include "free_port.h"

#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

uint16_t
free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof address;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int handle = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(bind(handle, (struct sockaddr *)&address, sizeof address), ==, 0);
    getsockname(handle, (struct sockaddr *)&address, &length);
    close(handle);
    return ntohs(address.sin_port);
}
