/* A daemon's callers' listener as a test needs it: answers what it is told to, counts requests. */
#ifndef SW_TESTS_LOAD_FAKE_DAEMON_H
#define SW_TESTS_LOAD_FAKE_DAEMON_H

#include <glib.h>
#include <stdbool.h>

/* What the fake does with the next request. */
struct fake_reply {
    unsigned status;
    const char *body;           /* NULL: the connection is closed without an answer */
    const char *const *headers; /* name, value, ..., NULL */
};

struct fake_daemon;

/* Listens on a free port of the loopback. `replies` are given in turn, the last one again and
 * again; borrowed. */
struct fake_daemon *fake_daemon_new(const struct fake_reply *replies, guint count);
void fake_daemon_free(struct fake_daemon *fake);

/* "127.0.0.1:PORT". */
const char *fake_daemon_address(const struct fake_daemon *fake);

/* Whole requests received. */
guint fake_daemon_requests(struct fake_daemon *fake);

/* The last request: its body, and the value of one of its headers (NULL if it had none). The caller
 * frees both. */
char *fake_daemon_body(struct fake_daemon *fake);
char *fake_daemon_header(struct fake_daemon *fake, const char *name);
char *fake_daemon_path(struct fake_daemon *fake);

#endif
