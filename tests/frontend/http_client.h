/* A small HTTP client over libcurl for tests. */
#ifndef SW_TESTS_FRONTEND_HTTP_CLIENT_H
#define SW_TESTS_FRONTEND_HTTP_CLIENT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* An HTTP exchange. */
struct exchange {
    long status; /* 0 if there was no answer */
    GString *body;
    GString *head; /* all header lines */
};

/* Sends a request to 127.0.0.1 and waits for the answer or the connection's end. `body` is sent
 * unless NULL; `headers` is a NULL-terminated list, or NULL. */
void http_exchange(uint16_t port, const char *method, const char *path, const char *body,
                   size_t length, const char *const *headers, struct exchange *exchange);

/* The value of a header, or NULL; the caller frees it. */
char *exchange_header(const struct exchange *exchange, const char *name);

void exchange_clear(struct exchange *exchange);

#endif
