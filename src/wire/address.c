/* Parsing and formatting of IPv4 addresses. */
#include "wire/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#define PORT_MAX 65535

bool parse_address(const char *text, struct sockaddr_in *out)
{
    const char *colon = strchr(text, ':');
    if (colon == NULL) {
        return false;
    }
    guint64 port = 0;
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, PORT_MAX, &port, NULL)) {
        return false;
    }
    g_autofree char *host = g_strndup(text, (gsize)(colon - text));
    struct in_addr number;
    if (inet_pton(AF_INET, host, &number) != 1) {
        return false;
    }
    *out = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)port),
        .sin_addr = number,
    };
    return true;
}

char *format_address(const struct sockaddr_in *address)
{
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
    return g_strdup_printf("%s:%u", host, ntohs(address->sin_port));
}
