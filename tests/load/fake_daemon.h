/* A fake of a daemon's client listener: sends prepared replies and counts requests. */
#ifndef SW_TESTS_LOAD_FAKE_DAEMON_H
#define SW_TESTS_LOAD_FAKE_DAEMON_H

#include <glib.h>
#include <stdbool.h>

/* The reply to one request. */
struct fake_reply {
    unsigned status;
    const char *body;           /* NULL: the connection is closed without a reply */
    const char *const *headers; /* name, value, ..., NULL */
};

struct fake_daemon;

/* Listens on a free port of the loopback. `replies` are sent in order, the last one repeatedly;
 * they are borrowed. */
struct fake_daemon *fake_daemon_new(const struct fake_reply *replies, guint count);
void fake_daemon_free(struct fake_daemon *fake);

/* "127.0.0.1:PORT". */
const char *fake_daemon_address(const struct fake_daemon *fake);

/* Number of complete requests received. */
guint fake_daemon_requests(struct fake_daemon *fake);

/* The body of the last request, and the value of one of its headers (NULL if absent). The caller
 * frees both. */
char *fake_daemon_body(struct fake_daemon *fake);
char *fake_daemon_header(struct fake_daemon *fake, const char *name);
char *fake_daemon_path(struct fake_daemon *fake);

#endif
