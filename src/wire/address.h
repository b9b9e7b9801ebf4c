/* IPv4 addresses as text, "127.0.0.1:8000". Daemons are met by IP number only: no names are looked
 * up. No state; any thread. */
#ifndef SW_WIRE_ADDRESS_H
#define SW_WIRE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/* Reads an IP number and a port from 0 to 65535; false, with `out` untouched, for anything else. */
bool parse_address(const char *text, struct sockaddr_in *out);

/* The text of an address, as parse_address reads it. The caller frees it by g_free. */
char *format_address(const struct sockaddr_in *address);

#endif
