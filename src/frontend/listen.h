/* Functions common to both HTTP listeners: the listen address, and the log of libmicrohttpd. */
#ifndef SW_FRONTEND_LISTEN_H
#define SW_FRONTEND_LISTEN_H

#include <glib.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* Listen address, in the form that libmicrohttpd uses. */
union listen_address {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
};

/* Parses a numeric IP address. Fails with ERROR_KIND_INVALID_CONFIGURATION. */
bool listen_address_parse(const char *text, uint16_t port, union listen_address *address,
                          GError **error);

/* True for a loopback address. */
bool listen_address_is_loopback(const struct sockaddr *address);

/* The port, in host byte order. */
uint16_t listen_address_port(const union listen_address *address);

/* Returns MHD_USE_IPv6 for an IPv6 address, else 0. */
unsigned listen_address_flags(const union listen_address *address);

/* Sets ERROR_KIND_INVALID_CONFIGURATION for a listener that did not start, with the cause from
 * errno. */
void listen_set_error(const char *address, uint16_t port, GError **error);

/* A logger for MHD_OPTION_EXTERNAL_LOGGER; `user` is the prefix of the log lines. */
void listen_log(void *user, const char *format, va_list arguments);

#endif
