#include "frontend/listen.h"

#include "core/error.h"
#include "generated/errors.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <string.h>

bool listen_address_parse(const char *text, uint16_t port, union listen_address *address,
                          GError **error)
{
    memset(address, 0, sizeof(*address));
    if (inet_pton(AF_INET, text, &address->v4.sin_addr) == 1) {
        address->v4.sin_family = AF_INET;
        address->v4.sin_port = htons(port);
        return true;
    }
    if (inet_pton(AF_INET6, text, &address->v6.sin6_addr) == 1) {
        address->v6.sin6_family = AF_INET6;
        address->v6.sin6_port = htons(port);
        return true;
    }
    g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, "%s is not a numeric IP address",
                text);
    return false;
}

bool listen_address_is_loopback(const struct sockaddr *address)
{
    if (address->sa_family == AF_INET) {
        const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
        return (ntohl(v4->sin_addr.s_addr) >> IN_CLASSA_NSHIFT) == IN_LOOPBACKNET;
    }
    if (address->sa_family == AF_INET6) {
        const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
        return IN6_IS_ADDR_LOOPBACK(&v6->sin6_addr);
    }
    return false;
}

uint16_t listen_address_port(const union listen_address *address)
{
    return ntohs(address->any.sa_family == AF_INET6 ? address->v6.sin6_port : address->v4.sin_port);
}

unsigned listen_address_flags(const union listen_address *address)
{
    return address->any.sa_family == AF_INET6 ? MHD_USE_IPv6 : 0;
}

void listen_set_error(const char *address, uint16_t port, GError **error)
{
    const char *cause = errno == 0 ? "unknown cause" : g_strerror(errno);
    g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION,
                "can not listen at %s port %u: %s", address, port, cause);
}

void listen_log(void *user, const char *format, va_list arguments)
{
    const char *prefix = user;
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MESSAGE", "%s: %s", prefix, g_strchomp(text));
}
