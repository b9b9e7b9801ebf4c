/* IPv4 addresses as text, "127.0.0.1:8000". Daemons are addressed by IP number only; host names are
 * not resolved. No state; any thread. */
#ifndef SW_WIRE_ADDRESS_H
#define SW_WIRE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/* Parses an IP number and a port from 0 to 65535. False, with `out` unchanged, for any other text.
 */
bool parse_address(const char *text, struct sockaddr_in *out);

/* Formats an address as parse_address reads it. The caller frees the text with g_free. */
char *format_address(const struct sockaddr_in *address);

#endif
