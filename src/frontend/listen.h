/* What both HTTP listeners share: the address to listen at, and the log of libmicrohttpd. */
#ifndef SW_FRONTEND_LISTEN_H
#define SW_FRONTEND_LISTEN_H

#include <glib.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* Where to listen, as libmicrohttpd takes it. */
union listen_address {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
};

/* Reads an IP number. Fails with ERROR_KIND_INVALID_CONFIGURATION. */
bool listen_address_parse(const char *text, uint16_t port, union listen_address *address,
                          GError **error);

/* True for an address of this machine only. */
bool listen_address_is_loopback(const struct sockaddr *address);

/* The port, in the host's order. */
uint16_t listen_address_port(const union listen_address *address);

/* MHD_USE_IPv6 or 0. */
unsigned listen_address_flags(const union listen_address *address);

/* Raises ERROR_KIND_INVALID_CONFIGURATION for a listener that did not start; reads errno. */
void listen_set_error(const char *address, uint16_t port, GError **error);

/* A logger for MHD_OPTION_EXTERNAL_LOGGER; `user` is the prefix of its lines. */
void listen_log(void *user, const char *format, va_list arguments);

#endif
